"""The commands that show, add, replace and remove teams."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client


@cappa.command(name="show", help="Show every team.")
@dataclasses.dataclass(kw_only=True)
class Show(base.OperatorCommand):
    """Shows every team."""

    async def run(self) -> int:
        """Runs the command."""
        content = await self.client().call(calls.read("/v1/teams"))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.TeamsAnswer)
        rows = [(team.name, team.keys) for team in answer.teams]
        output.print_table(("TEAM", "KEYS"), rows)
        output.print_revision(answer.config_revision, current=answer.current)
        return exit_codes.ExitCode.OK


@cappa.command(name="put", help="Add or replace a team.")
@dataclasses.dataclass(kw_only=True)
class Put(base.WriteCommand):
    """Adds or replaces a team."""

    name: Annotated[str, cappa.Arg(help="The team's name.")]
    keys_file: Annotated[
        str,
        cappa.Arg(long=True, help="File with the bearer keys, one per line."),
    ] = ""
    digest: Annotated[
        list[str],
        cappa.Arg(
            long=True, help="SHA-256 digest of a bearer key; repeatable."
        ),
    ] = dataclasses.field(default_factory=list)

    async def run(self) -> int:
        """Runs the command."""
        keys: tuple[str, ...] = ()
        if self.keys_file:
            try:
                text = pathlib.Path(self.keys_file).read_text(encoding="utf-8")
            except OSError as error:
                problem = f"{self.keys_file}: {error.strerror}"
                raise base.UsageError(problem) from error
            keys = tuple(text.split())
        if not keys and not self.digest:
            raise base.UsageError("give --keys-file or --digest")
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.put_team(metadata, self.name, keys, tuple(self.digest))
        return await self.send_change(operator_client, call)


@cappa.command(name="remove", help="Remove a team.")
@dataclasses.dataclass(kw_only=True)
class Remove(base.WriteCommand):
    """Removes a team."""

    name: Annotated[str, cappa.Arg(help="The team's name.")]

    async def run(self) -> int:
        """Runs the command."""
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        return await self.send_change(
            operator_client, calls.remove_team(metadata, self.name)
        )


@cappa.command(name="teams", help="Show, add, replace and remove teams.")
@dataclasses.dataclass
class Teams:
    """Shows, adds, replaces and removes teams."""

    command: cappa.Subcommands[Show | Put | Remove]


__all__ = ["Put", "Remove", "Show", "Teams"]
