"""Validates changes of the configuration."""

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
    """Returns everything that is wrong with a change.

    Whether the change conflicts with another one is not checked here.

    Args:
        command: The change.
        fleet: The fleet view that the change would apply to.
    """
    findings = _text_findings(command)
    match command.edit:
        case commands.SetDefault(option, value):
            findings += _value_findings(option, value)
        case commands.AddException():
            findings += _exception_findings(command.edit, fleet)
        case commands.RemoveException(exception_id):
            if exception_id not in fleet.exception_by_id:
                findings.append(f"exception_id: no exception {exception_id!r}")
        case commands.PutTeam():
            findings += _team_findings(command.edit, fleet)
        case commands.RemoveTeam(name):
            if name not in fleet.team_by_name:
                findings.append(f"name: no team {name!r}")
    return findings


def _text_findings(command: commands.ChangeConfig) -> list[str]:
    findings = []
    for name in ("change_id", "operator"):
        text = getattr(command, name)
        if not text.strip():
            findings.append(f"{name}: is blank")
        elif len(text) > MAX_ID_CHARS:
            findings.append(f"{name}: is over {MAX_ID_CHARS} characters")
    if not command.reason.strip():
        findings.append("reason: is blank; a written reason is required")
    elif len(command.reason) > MAX_REASON_CHARS:
        findings.append(f"reason: is over {MAX_REASON_CHARS} characters")
    if command.expected_revision < 0:
        findings.append("expected_revision: is negative")
    return findings


def _value_findings(name: str, value: options.OptionValue) -> list[str]:
    option = options.OPTION_BY_NAME.get(name)
    if option is None:
        return [f"option: unknown option {name!r}"]
    if isinstance(value, float) and not math.isfinite(value):
        return [f"value: {name}: {value!r} is not a number"]
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
        return [f"value: {name}: is over {MAX_VALUE_CHARS} characters"]
    problem = option.problem(value)
    return [f"value: {problem}"] if problem else []


def _exception_findings(
    edit: commands.AddException, fleet: view.FleetView
) -> list[str]:
    findings = _value_findings(edit.option, edit.value)
    option = options.OPTION_BY_NAME.get(edit.option)
    if option is not None and edit.scope.kind not in option.scopes:
        allowed = ", ".join(sorted(option.scopes))
        findings.append(
            f"scope: {edit.option} can't be set per {edit.scope.kind},"
            f" only per {allowed}"
        )
    if not _NAME.match(edit.scope.name):
        findings.append(f"scope: {edit.scope.name!r} is not a name")
    if len(fleet.exception_by_id) >= MAX_EXCEPTIONS:
        findings.append(f"exceptions: there are {MAX_EXCEPTIONS} already")
    return findings


def _team_findings(edit: commands.PutTeam, fleet: view.FleetView) -> list[str]:
    findings = []
    if not _NAME.match(edit.name):
        findings.append(f"name: {edit.name!r} is not a name")
    if not edit.key_digests:
        findings.append("keys: a team needs a key or a key digest")
    if len(edit.key_digests) > MAX_TEAM_KEYS:
        findings.append(f"keys: over {MAX_TEAM_KEYS}")
    for digest in edit.key_digests:
        if not _DIGEST.match(digest):
            findings.append("key_digests: expected 64 hexadecimal digits")
            continue
        owner = fleet.find_team_by_digest(digest)
        if owner is not None and owner.name != edit.name:
            findings.append(f"keys: a key names team {owner.name!r} already")
    is_new = edit.name not in fleet.team_by_name
    if is_new and len(fleet.team_by_name) >= MAX_TEAMS:
        findings.append(f"teams: there are {MAX_TEAMS} already")
    return findings


__all__ = [
    "MAX_EXCEPTIONS",
    "MAX_ID_CHARS",
    "MAX_REASON_CHARS",
    "MAX_TEAMS",
    "MAX_TEAM_KEYS",
    "MAX_VALUE_CHARS",
    "findings_of",
]
