"""Runs one role of the fleet as this process."""

from __future__ import annotations

import asyncio
import importlib
import sys
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from lycheering.commands import exit_codes
from lycheering.settings import load
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering.app import api as app_api
    from lycheering.settings import model

SECTION_BY_ROLE = {
    "entry": "entry",
    "agent": "agent",
    "control": "log_store",
}

_LOG = logs.get("run")


class RoleModule(Protocol):
    """What the `daemon` module of each role's package offers."""

    def build(self, settings: model.Settings) -> app_api.Application:
        """Returns the role's application, not yet started."""


def run(role: str, file: str) -> int:
    """Runs a role until it is told to stop.

    Args:
        role: The role.
        file: Its settings file.

    Returns:
        The process's exit code.
    """
    try:
        settings = load.load(file)
        load.require_section(settings, SECTION_BY_ROLE[role], file)
    except load.SettingsError as error:
        print(error, file=sys.stderr)
        return exit_codes.ExitCode.FAILED
    logs.install(role, settings.instance.name, settings.log.level)
    try:
        asyncio.run(_run(role, settings))
    except Exception as error:
        problem = "; ".join(str(line) for line in problems(error))
        _LOG.error("failed", error=problem)
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


async def _run(role: str, settings: model.Settings) -> None:
    # a role's imports are paid by that role alone
    module = importlib.import_module(f"lycheering.{role}.daemon")
    application = cast("RoleModule", module).build(settings)
    await application.run()


def problems(error: BaseException) -> Iterator[str]:
    """Yields one text for each error, also for those in groups."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from problems(inner)
    else:
        yield f"{type(error).__name__}: {error}"


__all__ = ["SECTION_BY_ROLE", "RoleModule", "problems", "run"]
