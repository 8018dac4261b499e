"""The command that shows counters."""

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


@cappa.command(
    name="counters",
    help="Show the counters of a control instance or of a target's agent.",
)
@dataclasses.dataclass(kw_only=True)
class Counters(base.OperatorCommand):
    """Shows counters and gauges."""

    target: Annotated[
        str, cappa.Arg(help="The target whose agent's counters are shown.")
    ] = ""

    async def run(self) -> int:
        """Runs the command."""
        path = "/v1/counters"
        if self.target:
            path += f"/{calls.quote_segment(self.target)}"
        content = await self.client().call(calls.read(path))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.CountersAnswer)
        value_by_name = {**answer.counters, **answer.gauges}
        output.print_table(("NAME", "VALUE"), sorted(value_by_name.items()))
        return exit_codes.ExitCode.OK


__all__ = ["Counters"]
