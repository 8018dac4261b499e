"""Runs an entry or a control instance with the platform's adapter."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.commands import exit_codes
from lycheering.commands import roles
from lycheering.settings import load
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.settings import model

SETTINGS_VARIABLE = "LYCHEERING_SETTINGS"

_LOG = logs.get("run")


def run(role: str) -> int:
    """Runs a process of a role until it is asked to shut down.

    Args:
        role: The role, `entry` or `control`.

    Returns:
        The exit code of the process.
    """
    settings_file = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load.load(settings_file)
        load.require_section(
            settings, roles.SECTION_BY_ROLE[role], settings_file
        )
        load.require_section(settings, "direct", settings_file)
    except load.SettingsError as error:
        print(error, file=sys.stderr)
        return exit_codes.ExitCode.FAILED
    logs.install(
        role, settings.instance.name, settings.log.level, stream=sys.stdout
    )
    try:
        asyncio.run(_run_role(role, settings))
    except Exception as error:
        problem = "; ".join(str(line) for line in roles.problems(error))
        _LOG.error("failed", error=problem)
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


async def _run_role(role: str, settings: model.Settings) -> None:
    build = _build_entry if role == "entry" else _build_control
    application = build(settings)
    # exempts the objects that exist by now from garbage collection, as they
    # live as long as the process
    gc.freeze()
    gc.enable()
    await application.run()


def _build_entry(settings: model.Settings) -> app_api.Application:
    # imported here, so that a process loads only the modules of its role
    from lycheering.forward import daemon
    from lycheering.platform import header_codec

    application = app_api.Application(settings.instance.drain_timeout_ms)
    entry = daemon.DirectEntry(settings, header_codec.PlatformHeaderCodec())
    application.add(entry)
    return application


def _build_control(settings: model.Settings) -> app_api.Application:
    from lycheering.control import daemon
    from lycheering.control.direct import api as direct_api
    from lycheering.platform import engine_calls
    from lycheering.platform import instance_list
    from lycheering.platform import operator_api
    from lycheering.platform import store_calls

    assert settings.direct is not None
    adapter = direct_api.DirectAdapter(
        targets=instance_list.InstanceList(settings.direct),
        engines=engine_calls.PlatformEngines(),
        stores=store_calls.PlatformStores(),
        create_operator_app=lambda admin: (
            operator_api.OperatorApi(admin).application
        ),
    )
    return daemon.ControlDaemon(settings, adapter).application


__all__ = ["run"]
