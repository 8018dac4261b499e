"""Runs a role of the fleet in this process."""

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
    """The interface of the `daemon` module in each role's package."""

    def build(self, settings: model.Settings) -> app_api.Application:
        """Returns the role's application without starting it."""


def run(role: str, file: str) -> int:
    """Runs a role until the process is asked to stop.

    Args:
        role: The name of the role.
        file: The path of its settings file.

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
    # imported here so that no role loads the modules of another
    module = importlib.import_module(f"lycheering.{role}.daemon")
    application = cast("RoleModule", module).build(settings)
    await application.run()


def problems(error: BaseException) -> Iterator[str]:
    """Yields the text of an error, or of each error in a group."""
    if isinstance(error, BaseExceptionGroup):
        for nested_error in error.exceptions:
            yield from problems(nested_error)
    else:
        yield f"{type(error).__name__}: {error}"


__all__ = ["SECTION_BY_ROLE", "RoleModule", "problems", "run"]
