"""Finds everything wrong with a change of the configuration."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.fleet import options

if TYPE_CHECKING:
    from lycheering.fleet import view

MAX_ID_CHARS = 128
MAX_REASON_CHARS = 2_000
MAX_VALUE_CHARS = 1_000
MAX_EXCEPTIONS = 20_000
MAX_TEAMS = 40_000
MAX_TEAM_KEYS = 16

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
_DIGEST = re.compile(r"^[0-9a-f]{64}$")


def findings_of(
    command: commands.ChangeConfig, fleet: view.FleetView
) -> list[str]:
    """Returns everything wrong with a change, whoever else changes.

    Args:
        command: The change.
        fleet: The fleet view that it would apply to.
    """
    found = _texts(command)
    match command.edit:
        case commands.SetDefault(option, value):
            found += _value(option, value)
        case commands.AddException():
            found += _exception(command.edit, fleet)
        case commands.RemoveException(exception_id):
            if exception_id not in fleet.exception_by_id:
                found.append(f"exception_id: no exception {exception_id!r}")
        case commands.PutTeam():
            found += _team(command.edit, fleet)
        case commands.RemoveTeam(name):
            if name not in fleet.team_by_name:
                found.append(f"name: no team {name!r}")
    return found


def _texts(command: commands.ChangeConfig) -> list[str]:
    found = []
    for name in ("change_id", "operator"):
        text = getattr(command, name)
        if not text.strip():
            found.append(f"{name}: is blank")
        elif len(text) > MAX_ID_CHARS:
            found.append(f"{name}: is over {MAX_ID_CHARS} characters")
    if not command.reason.strip():
        found.append("reason: is blank; a written reason is required")
    elif len(command.reason) > MAX_REASON_CHARS:
        found.append(f"reason: is over {MAX_REASON_CHARS} characters")
    if command.expected_revision < 0:
        found.append("expected_revision: is negative")
    return found


def _value(name: str, value: options.OptionValue) -> list[str]:
    option = options.OPTION_BY_NAME.get(name)
    if option is None:
        return [f"option: unknown option {name!r}"]
    if isinstance(value, float) and not math.isfinite(value):
        return [f"value: {name}: {value!r} is not a number"]
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
        return [f"value: {name}: is over {MAX_VALUE_CHARS} characters"]
    problem = option.problem(value)
    return [f"value: {problem}"] if problem else []


def _exception(edit: commands.AddException, fleet: view.FleetView) -> list[str]:
    found = _value(edit.option, edit.value)
    option = options.OPTION_BY_NAME.get(edit.option)
    if option is not None and edit.scope.kind not in option.scopes:
        allowed = ", ".join(sorted(option.scopes))
        found.append(
            f"scope: {edit.option} can't be set per {edit.scope.kind},"
            f" only per {allowed}"
        )
    if not _NAME.match(edit.scope.name):
        found.append(f"scope: {edit.scope.name!r} is not a name")
    if len(fleet.exception_by_id) >= MAX_EXCEPTIONS:
        found.append(f"exceptions: there are {MAX_EXCEPTIONS} already")
    return found


def _team(edit: commands.PutTeam, fleet: view.FleetView) -> list[str]:
    found = []
    if not _NAME.match(edit.name):
        found.append(f"name: {edit.name!r} is not a name")
    if not edit.key_digests:
        found.append("keys: a team needs a key or a key digest")
    if len(edit.key_digests) > MAX_TEAM_KEYS:
        found.append(f"keys: over {MAX_TEAM_KEYS}")
    for digest in edit.key_digests:
        if not _DIGEST.match(digest):
            found.append("key_digests: expected 64 hexadecimal digits")
            continue
        owner = fleet.team_of_digest(digest)
        if owner is not None and owner.name != edit.name:
            found.append(f"keys: a key names team {owner.name!r} already")
    is_new = edit.name not in fleet.team_by_name
    if is_new and len(fleet.team_by_name) >= MAX_TEAMS:
        found.append(f"teams: there are {MAX_TEAMS} already")
    return found


__all__ = [
    "MAX_EXCEPTIONS",
    "MAX_ID_CHARS",
    "MAX_REASON_CHARS",
    "MAX_TEAMS",
    "MAX_TEAM_KEYS",
    "MAX_VALUE_CHARS",
    "findings_of",
]
