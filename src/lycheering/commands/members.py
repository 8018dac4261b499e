"""The commands that show and replace the control instances."""

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


@cappa.command(name="show", help="Show the control instances.")
@dataclasses.dataclass(kw_only=True)
class Show(base.OperatorCommand):
    """Shows the control instances."""

    async def run(self) -> int:
        """Runs the command."""
        content = await self.client().call(calls.read("/v1/members"))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.MembersAnswer)
        rows = [
            (
                member.instance,
                f"{member.ip}:{member.port}",
                member.id,
                member.votes,
                member.instance == answer.leader,
            )
            for member in answer.members
        ]
        output.print_table(
            ("INSTANCE", "ADDRESS", "ID", "VOTES", "LEADS"), rows
        )
        if answer.change:
            print(f"in progress: {answer.change}")
        return exit_codes.ExitCode.OK


@cappa.command(name="replace", help="Replace a control instance.")
@dataclasses.dataclass(kw_only=True)
class Replace(base.OperatorCommand):
    """Replaces a control instance."""

    old: Annotated[str, cappa.Arg(help="The instance that leaves.")]
    new: Annotated[str, cappa.Arg(help="The instance that joins.")]
    address: Annotated[
        str, cappa.Arg(help="The ip:port of its internal protocol.")
    ]

    async def run(self) -> int:
        """Runs the command."""
        origin = base.parse_origin(self.address)
        body = calls.ReplaceBody(self.old, self.new, origin.ip, origin.port)
        content = await self.client().call(calls.replace_member(body))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.ReplaceAnswer)
        print(
            f"{answer.joined} joined with the log up to {answer.synced_index},"
            f" then {answer.left} left"
        )
        return exit_codes.ExitCode.OK


@cappa.command(name="cancel", help="Cancel a replacement that is in progress.")
@dataclasses.dataclass(kw_only=True)
class Cancel(base.OperatorCommand):
    """Cancels the replacement of a control instance."""

    joining: Annotated[
        str,
        cappa.Arg(
            help="Id of the joining member, as listed by `members show`."
        ),
    ]

    async def run(self) -> int:
        """Runs the command."""
        body = calls.CancelChangeBody(self.joining)
        content = await self.client().call(calls.cancel_member_change(body))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.CancelChangeAnswer)
        print(f"{answer.joining} was removed; the replacement is cancelled")
        return exit_codes.ExitCode.OK


@cappa.command(name="members", help="Show and replace control instances.")
@dataclasses.dataclass
class Members:
    """Shows and replaces control instances."""

    command: cappa.Subcommands[Show | Replace | Cancel]


__all__ = ["Cancel", "Members", "Replace", "Show"]
