"""Decides from the platform's list and from sessions who is leaving."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.membership import platform

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

# how long after a target came back its list entry may still be the old one
LIST_LAG_MS = 15_000


@dataclasses.dataclass(frozen=True)
class Mark:
    """A target whose state has to change.

    Attributes:
        target: The target's name.
        agent_incarnation: The incarnation that is meant.
        state: Its state from now on.
    """

    target: str
    agent_incarnation: str
    state: records.TargetState


@dataclasses.dataclass(frozen=True)
class Sighting:
    """What is known beside the fleet view.

    Attributes:
        listed_by_instance: The platform's list; None where there is none.
        silent_targets: Targets that no control instance hears.
        revived_ms_by_target: When targets last came back.
        wall_ms: Wall-clock time now.
    """

    listed_by_instance: Mapping[str, platform.ListedState] | None
    silent_targets: AbstractSet[str]
    revived_ms_by_target: Mapping[str, int]
    wall_ms: int


def decide(targets: Iterable[records.Target], seen: Sighting) -> list[Mark]:
    """Returns the marks that follow from what is seen.

    The list alone makes a target leave, but never live: a list that lags
    may call an instance live that has left. Gone takes both the list and
    silence, or silence after the target was leaving where there is no list.
    """
    marks = []
    for target in targets:
        state = _state_of(target, seen)
        if state is not None and state != target.state:
            marks.append(Mark(target.name, target.agent_incarnation, state))
    return marks


def depends_on_silence(
    target: records.Target,
    listed: Mapping[str, platform.ListedState] | None,
) -> bool:
    """Returns whether silence would make a target gone."""
    if target.state == records.TargetState.GONE:
        return False
    if listed is None:
        return target.state == records.TargetState.LEAVING
    return target.instance not in listed


def _state_of(
    target: records.Target, seen: Sighting
) -> records.TargetState | None:
    if target.state == records.TargetState.GONE:
        return None
    listed = seen.listed_by_instance
    if depends_on_silence(target, listed):
        is_silent = target.name in seen.silent_targets
        return records.TargetState.GONE if is_silent else None
    if listed is None:
        return None
    if listed[target.instance] != platform.ListedState.LEAVING:
        return None
    revived_ms = seen.revived_ms_by_target.get(target.name)
    if revived_ms is not None and seen.wall_ms - revived_ms < LIST_LAG_MS:
        # the entry may be of the incarnation before
        return None
    return records.TargetState.LEAVING


__all__ = [
    "LIST_LAG_MS",
    "Mark",
    "Sighting",
    "decide",
    "depends_on_silence",
]
