"""The command that explains where a request went."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import calls
from lycheering.operator import client


@cappa.command(name="explain", help="Explain where a request went, and why.")
@dataclasses.dataclass(kw_only=True)
class Explain(base.RemoteCommand):
    """Explains where a request went, and why."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    entry: Annotated[
        str,
        cappa.Arg(
            long=True,
            required=True,
            help="ip:port of the entry instance that answered it.",
        ),
    ]

    async def run(self) -> int:
        """Runs the command."""
        origin = base.parse_origin(self.entry)
        remote = client.OperatorClient([origin], base.read_key(self.key_file))
        path = f"/v1/explain/{calls.quote(self.request)}"
        output.as_json(await remote.call(calls.read(path)))
        return exit_codes.ExitCode.OK


__all__ = ["Explain"]
