"""The commands that show, add and remove exceptions."""

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
from lycheering.operator import scopes
from lycheering.operator import values


@cappa.command(name="show", help="Show every exception and its reason.")
@dataclasses.dataclass(kw_only=True)
class Show(base.OperatorCommand):
    """Shows every exception and its reason."""

    async def run(self) -> int:
        """Runs the command."""
        content = await self.client().call(calls.read("/v1/exceptions"))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.ExceptionsAnswer)
        rows = [
            (
                item.exception_id,
                f"{item.scope.kind}:{item.scope.name}",
                item.option,
                item.value,
                item.operator,
                item.reason,
            )
            for item in answer.exceptions
        ]
        headers = ("ID", "SCOPE", "OPTION", "VALUE", "OPERATOR", "REASON")
        output.print_table(headers, rows)
        output.print_revision(answer.config_revision, current=answer.current)
        return exit_codes.ExitCode.OK


@cappa.command(name="add", help="Add an exception.")
@dataclasses.dataclass(kw_only=True)
class Add(base.WriteCommand):
    """Adds an exception."""

    scope: Annotated[str, cappa.Arg(help="The scope, as kind:name.")]
    option: Annotated[str, cappa.Arg(help="The option's name.")]
    value: Annotated[
        str, cappa.Arg(help="The option's value within the scope.")
    ]

    async def run(self) -> int:
        """Runs the command."""
        try:
            scope = scopes.parse(self.scope)
            value = values.parse(self.option, self.value)
            scopes.check(scope, self.option)
        except ValueError as error:
            raise base.UsageError(str(error)) from error
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.add_exception(metadata, scope, self.option, value)
        return await self.send_change(operator_client, call)


@cappa.command(name="remove", help="Remove an exception.")
@dataclasses.dataclass(kw_only=True)
class Remove(base.WriteCommand):
    """Removes an exception."""

    exception_id: Annotated[str, cappa.Arg(help="The exception's id.")]

    async def run(self) -> int:
        """Runs the command."""
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.remove_exception(metadata, self.exception_id)
        return await self.send_change(operator_client, call)


@cappa.command(name="exceptions", help="Show, add and remove exceptions.")
@dataclasses.dataclass
class Exceptions:
    """Shows, adds and removes exceptions."""

    command: cappa.Subcommands[Show | Add | Remove]


__all__ = ["Add", "Exceptions", "Remove", "Show"]
