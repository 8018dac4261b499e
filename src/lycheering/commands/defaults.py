"""The commands that show and set defaults."""

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
from lycheering.operator import values


@cappa.command(name="show", help="Show every default in force.")
@dataclasses.dataclass(kw_only=True)
class Show(base.OperatorCommand):
    """Shows every default in force."""

    async def run(self) -> int:
        """Runs the command."""
        content = await self.client().call(calls.read("/v1/defaults"))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.DefaultsAnswer)
        rows = [
            (item.option, item.value, item.is_set) for item in answer.defaults
        ]
        output.print_table(("OPTION", "VALUE", "SET"), rows)
        output.print_revision(answer.config_revision, current=answer.current)
        return exit_codes.ExitCode.OK


@cappa.command(name="set", help="Set a default.")
@dataclasses.dataclass(kw_only=True)
class Set(base.WriteCommand):
    """Sets a default."""

    option: Annotated[str, cappa.Arg(help="The option's name.")]
    value: Annotated[str, cappa.Arg(help="The new default.")]

    async def run(self) -> int:
        """Runs the command."""
        try:
            value = values.parse(self.option, self.value)
        except ValueError as error:
            raise base.UsageError(str(error)) from error
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.set_default(metadata, self.option, value)
        return await self.send_change(operator_client, call)


@cappa.command(name="defaults", help="Show and set defaults.")
@dataclasses.dataclass
class Defaults:
    """Shows and sets defaults."""

    command: cappa.Subcommands[Show | Set]


__all__ = ["Defaults", "Set", "Show"]
