"""The command that explains how a request was routed."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client
from lycheering.operator import items


@cappa.command(
    name="explain", help="Explain how the targets of a request were chosen."
)
@dataclasses.dataclass(kw_only=True)
class Explain(base.RemoteCommand):
    """Explains how the targets of a request were chosen."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    entry: Annotated[
        str,
        cappa.Arg(
            long=True,
            required=True,
            help="ip:port of the entry that handled the request.",
        ),
    ]

    async def run(self) -> int:
        """Runs the command."""
        origin = base.parse_origin(self.entry)
        operator_client = client.OperatorClient(
            [origin], base.read_key(self.key_file)
        )
        path = f"/v1/explain/{calls.quote_segment(self.request)}"
        content = await operator_client.call(calls.read(path))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.ExplainAnswer)
        for attempt in answer.attempts:
            _print_attempt(attempt)
        return exit_codes.ExitCode.OK


def _print_attempt(attempt: items.AttemptItem) -> None:
    reason = f" ({attempt.reason})" if attempt.reason else ""
    print(f"attempt {attempt.attempt}: {attempt.chosen}{reason}")
    print(
        f"policy {attempt.policy}, prefix {attempt.level_key or '-'}"
        f" over {attempt.width} targets"
    )
    rows = [
        (
            candidate.name,
            f"{candidate.score:.3f}",
            f"{candidate.queue_ms:.1f}",
            f"{candidate.missing_pieces:g}",
            candidate.reason,
        )
        for candidate in attempt.candidates
    ]
    headers = ("CANDIDATE", "SCORE", "QUEUE MS", "MISSING PIECES", "REASON")
    output.print_table(headers, rows)


__all__ = ["Explain"]
