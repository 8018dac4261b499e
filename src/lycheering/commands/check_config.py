"""The command that checks a configuration before it is sent."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
from typing import TYPE_CHECKING
from typing import Annotated

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.config_check import findings
from lycheering.config_check import fleet_options
from lycheering.config_check import route_tables
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import errors
from lycheering.operator import seed as seeds
from lycheering.platform import documents
from lycheering.settings import findings as settings_findings
from lycheering.web import client as web_client

if TYPE_CHECKING:
    from lycheering.operator import client
    from lycheering.routes import api as routes

TABLE_PATH = "/v1/routes"
TABLE_TIMEOUT_MS = 3_000.0
MAX_TABLE_BYTES = 16_777_216


@cappa.command(
    name="check-config",
    help="Check a route table or a seed file before it is sent.",
)
@dataclasses.dataclass(kw_only=True)
class CheckConfig(base.OperatorCommand):
    """Checks a route table or a seed file before it is sent."""

    file: Annotated[
        str, cappa.Arg(help="A route table (JSON) or a seed file (INI).")
    ]
    against: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Route table to compare with, in place of the one in force.",
        ),
    ] = ""
    strict: Annotated[
        bool, cappa.Arg(long=True, help="Let warnings fail the check.")
    ] = False

    async def run(self) -> int:
        """Runs the command."""
        content = _read(self.file)
        if content.lstrip().startswith(b"{"):
            report = await self._check_table(content)
        else:
            report = await self._check_seed()
        if self.json:
            print(json.dumps(dataclasses.asdict(report), indent=2))
        else:
            _print(report)
        has_failed = report.has_errors or (self.strict and report.findings)
        if has_failed:
            return exit_codes.ExitCode.FAILED
        return exit_codes.ExitCode.OK

    async def _check_table(self, content: bytes) -> findings.Report:
        try:
            table = documents.read_table(content)
        except documents.DocumentError as error:
            return findings.Report(
                [findings.error("", text) for text in error.findings]
            )
        active = None
        if self.against:
            active = _parse_active(_read(self.against), self.against)
        elif self._is_online():
            active = await self._fetch_table()
        return route_tables.check(table, active)

    async def _check_seed(self) -> findings.Report:
        if self.against:
            raise base.UsageError("--against: for route tables only")
        try:
            seed = seeds.load(self.file)
        except settings_findings.SettingsError as error:
            return findings.Report(
                [findings.error("", str(finding)) for finding in error.findings]
            )
        active = None
        if self._is_online():
            active = await _fetch_fleet(self.client())
        return fleet_options.check(seed, active)

    def _is_online(self) -> bool:
        return bool(self.at or os.environ.get(base.ENDPOINTS_VARIABLE))

    async def _fetch_table(self) -> routes.RouteTable | None:
        """Returns the table in force; None if there is none yet.

        Raises:
            UnreachableError: If no control instance answered.
        """
        problems = []
        for origin in self.origins():
            try:
                reply = await web_client.fetch(
                    origin,
                    "GET",
                    TABLE_PATH,
                    timeout_ms=TABLE_TIMEOUT_MS,
                    max_bytes=MAX_TABLE_BYTES,
                )
            except web_client.HttpError as error:
                problems.append(f"{origin.host_header}: {error}")
                continue
            if reply.head.status == 200:
                return _parse_active(reply.body, origin.host_header)
            text = reply.body[:200].decode(errors="replace")
            problems.append(
                f"{origin.host_header}: status {reply.head.status} {text}"
            )
        raise errors.UnreachableError("; ".join(problems))


def _read(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise base.UsageError(f"{file}: {error.strerror}") from error


def _parse_active(content: bytes, source: str) -> routes.RouteTable:
    try:
        return documents.read_table(content)
    except documents.DocumentError as error:
        raise errors.MalformedAnswerError(f"{source}: {error}") from error


async def _fetch_fleet(
    operator_client: client.OperatorClient,
) -> fleet_options.ActiveFleet:
    defaults = await operator_client.call_decoded(
        calls.read("/v1/defaults"), answers.DefaultsAnswer
    )
    exceptions = await operator_client.call_decoded(
        calls.read("/v1/exceptions"), answers.ExceptionsAnswer
    )
    teams = await operator_client.call_decoded(
        calls.read("/v1/teams"), answers.TeamsAnswer
    )
    targets = await operator_client.call_decoded(
        calls.read("/v1/targets"), answers.TargetsAnswer
    )
    return fleet_options.ActiveFleet(
        {item.option: item.value for item in defaults.defaults},
        {
            (
                records.Scope(
                    options.ScopeKind(item.scope.kind), item.scope.name
                ),
                item.option,
            ): item.value
            for item in exceptions.exceptions
        },
        {item.name: item.keys for item in teams.teams},
        tuple(
            fleet_options.Subject(
                item.name, item.model, item.service, item.failure_domain
            )
            for item in targets.targets
        ),
    )


def _print(report: findings.Report) -> None:
    for finding in report.findings:
        print(finding)
    if report.differences is None:
        output.print_error("not compared with a configuration in force")
    else:
        for difference in report.differences:
            print(difference)
    compared = len(report.differences or ())
    print(f"{len(report.findings)} findings, {compared} differences")


__all__ = ["CheckConfig"]
