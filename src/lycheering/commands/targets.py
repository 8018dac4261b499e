"""The commands that show, drain and undrain targets."""

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


@cappa.command(name="targets", help="Show every target.")
@dataclasses.dataclass(kw_only=True)
class Targets(base.OperatorCommand):
    """Shows every target."""

    async def run(self) -> int:
        """Runs the command."""
        content = await self.client().call(calls.read("/v1/targets"))
        if self.json:
            output.print_json(content)
            return exit_codes.ExitCode.OK
        answer = client.decode(content, answers.TargetsAnswer)
        rows = [
            (
                item.name,
                item.kind,
                item.state,
                item.drained,
                item.failure_domain,
                f"{item.ip}:{item.port}",
                item.model or item.service,
            )
            for item in answer.targets
        ]
        headers = (
            "TARGET",
            "KIND",
            "STATE",
            "DRAINED",
            "FAILURE DOMAIN",
            "AGENT",
            "SERVES",
        )
        output.print_table(headers, rows)
        output.print_revision(answer.config_revision, current=answer.current)
        return exit_codes.ExitCode.OK


@cappa.command(
    name="drain", help="Drain a target, so that it gets no new requests."
)
@dataclasses.dataclass(kw_only=True)
class Drain(base.WriteCommand):
    """Drains a target, so that it gets no new requests."""

    target: Annotated[str, cappa.Arg(help="The target's name.")]

    async def run(self) -> int:
        """Runs the command."""
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.drain(metadata, self.target, drained=True)
        return await self.send_change(operator_client, call)


@cappa.command(
    name="undrain", help="Let a drained target get new requests again."
)
@dataclasses.dataclass(kw_only=True)
class Undrain(base.WriteCommand):
    """Lets a drained target get new requests again."""

    target: Annotated[str, cappa.Arg(help="The target's name.")]

    async def run(self) -> int:
        """Runs the command."""
        operator_client = self.client()
        metadata = await self.make_metadata(operator_client)
        call = calls.drain(metadata, self.target, drained=False)
        return await self.send_change(operator_client, call)


__all__ = ["Drain", "Targets", "Undrain"]
