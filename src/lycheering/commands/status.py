"""The commands that show the configuration in force and its history."""

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


@cappa.command(
    name="status", help="Show the revision in force at each process."
)
@dataclasses.dataclass(kw_only=True)
class Status(base.OperatorCommand):
    """Shows which revision is in force at each process."""

    wait: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Config revision to wait for; the exit code is 1 if it isn't "
            "in force at every live process by the timeout.",
        ),
    ] = 0
    timeout_ms: Annotated[
        int, cappa.Arg(long=True, help="How long to wait for the revision.")
    ] = DEFAULT_WAIT_MS

    async def run(self) -> int:
        """Runs the command."""
        call = calls.status(self.wait, self.timeout_ms)
        content = await self.client().call(call)
        answer = client.decode(content, answers.StatusAnswer)
        if self.json:
            output.print_json(content)
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
        output.print_table(headers, rows)
        print(f"leader {answer.leader or 'unknown'}")
        output.print_revision(answer.config_revision, current=answer.current)
        if answer.unreachable:
            print(f"could not be reached: {', '.join(answer.unreachable)}")
        if self.wait:
            state = "in force" if answer.in_force else "not in force"
            print(f"config revision {self.wait} is {state} everywhere")
            if answer.lacking:
                print(f"lacking: {', '.join(answer.lacking)}")


@cappa.command(name="history", help="Show the latest changes, newest first.")
@dataclasses.dataclass(kw_only=True)
class History(base.OperatorCommand):
    """Shows the latest changes, newest first."""

    limit: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of changes to list.")
    ] = 100

    async def run(self) -> int:
        """Runs the command."""
        call = calls.read(f"/v1/history?limit={self.limit}")
        content = await self.client().call(call)
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.HistoryAnswer)
        rows = [
            (
                change.revision,
                output.format_time(change.at_ms),
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
        output.print_table(headers, rows)
        return exit_codes.ExitCode.OK


__all__ = ["History", "Status"]
