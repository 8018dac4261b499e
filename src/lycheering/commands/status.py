"""The commands that show what is in force and how it came to be."""

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

DEFAULT_WAIT_MS = 10_000


@cappa.command(name="status", help="Show who has which config in force.")
@dataclasses.dataclass(kw_only=True)
class Status(base.OperatorCommand):
    """Shows who has which configuration in force."""

    wait: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Config revision to wait for; exit code 1 if some live "
            "process lacks it in the end.",
        ),
    ] = 0
    timeout_ms: Annotated[
        int, cappa.Arg(long=True, help="How long to wait.")
    ] = DEFAULT_WAIT_MS

    async def run(self) -> int:
        """Runs the command."""
        call = calls.status(self.wait, self.timeout_ms)
        content = await self.client().call(call)
        answer = client.decode(content, answers.StatusAnswer)
        if self.json:
            output.as_json(content)
        else:
            self._print(answer)
        if self.wait and not answer.in_force:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK

    def _print(self, answer: answers.StatusAnswer) -> None:
        rows = [
            (
                process.name,
                process.role,
                process.failure_domain,
                process.view_revision,
                f"{process.last_heard_ms:.0f} ms",
            )
            for process in answer.processes
        ]
        headers = ("PROCESS", "ROLE", "FAILURE DOMAIN", "VIEW", "HEARD")
        output.table(headers, rows)
        print(f"leader {answer.leader or 'unknown'}")
        output.revision(answer.config_revision, current=answer.current)
        if answer.unreachable:
            print(f"could not be asked: {', '.join(answer.unreachable)}")
        if self.wait:
            state = "in force" if answer.in_force else "not in force"
            print(f"config revision {self.wait} is {state} everywhere")
            if answer.lacking:
                print(f"lacking: {', '.join(answer.lacking)}")


@cappa.command(name="history", help="Show the last changes, newest first.")
@dataclasses.dataclass(kw_only=True)
class History(base.OperatorCommand):
    """Shows the last changes, newest first."""

    limit: Annotated[
        int, cappa.Arg(long=True, help="The most changes listed.")
    ] = 100

    async def run(self) -> int:
        """Runs the command."""
        call = calls.read(f"/v1/history?limit={self.limit}")
        content = await self.client().call(call)
        if self.json:
            output.as_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.HistoryAnswer)
        rows = [
            (
                change.revision,
                output.moment(change.at_ms),
                change.operator,
                change.kind,
                change.subject,
                change.value,
                change.reason,
            )
            for change in answer.changes
        ]
        headers = (
            "REVISION",
            "AT",
            "OPERATOR",
            "KIND",
            "SUBJECT",
            "VALUE",
            "REASON",
        )
        output.table(headers, rows)
        return exit_codes.ExitCode.OK


__all__ = ["History", "Status"]
