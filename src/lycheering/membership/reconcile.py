"""Decides from the platform's list and from sessions which targets leave."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.membership import platform_list

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

# for this long after a target returned, its list entry may still be that of its
# previous incarnation
MAX_LIST_LAG_MS = 15_000


@dataclasses.dataclass(frozen=True)
class TargetStateChange:
    """A change of a target's state.

    Attributes:
        target: The target's name.
        agent_incarnation: The agent incarnation that the change is for; it has
            no effect on another one.
        state: The new state.
    """

    target: str
    agent_incarnation: str
    state: records.TargetState


@dataclasses.dataclass(frozen=True)
class Observations:
    """Observations that the state of targets is derived from.

    Attributes:
        listed_by_instance: The platform's list, None if there is no platform.
        silent_targets: Targets whose agents have had no session with any
            control instance for some time.
        reactivated_ms_by_target: When targets last returned to live.
        wall_ms: The current wall-clock time.
    """

    listed_by_instance: Mapping[str, platform_list.ListedState] | None
    silent_targets: AbstractSet[str]
    reactivated_ms_by_target: Mapping[str, int]
    wall_ms: int


def decide_state_changes(
    targets: Iterable[records.Target], observations: Observations
) -> list[TargetStateChange]:
    """Returns the state changes that follow from the observations.

    The list alone can mark a target as leaving but not as live, as a lagging
    list may still contain an instance that has left. A target is gone if it is
    silent and not on the list. Without a list, it is gone if it is silent and
    was leaving before.
    """
    changes = []
    for target in targets:
        state = _new_state(target, observations)
        if state is not None and state != target.state:
            changes.append(
                TargetStateChange(target.name, target.agent_incarnation, state)
            )
    return changes


def depends_on_silence(
    target: records.Target,
    listed: Mapping[str, platform_list.ListedState] | None,
) -> bool:
    """Returns whether a target is gone if its agent is silent."""
    if target.state == records.TargetState.GONE:
        return False
    if listed is None:
        return target.state == records.TargetState.LEAVING
    return target.instance not in listed


def _new_state(
    target: records.Target, observations: Observations
) -> records.TargetState | None:
    """Returns the state that the observations require, None if none."""
    if target.state == records.TargetState.GONE:
        return None
    listed = observations.listed_by_instance
    if depends_on_silence(target, listed):
        is_silent = target.name in observations.silent_targets
        return records.TargetState.GONE if is_silent else None
    if listed is None:
        return None
    if listed[target.instance] != platform_list.ListedState.LEAVING:
        return None
    reactivated_ms = observations.reactivated_ms_by_target.get(target.name)
    if (
        reactivated_ms is not None
        and observations.wall_ms - reactivated_ms < MAX_LIST_LAG_MS
    ):
        # the list entry may be that of the previous incarnation
        return None
    return records.TargetState.LEAVING


__all__ = [
    "MAX_LIST_LAG_MS",
    "TargetStateChange",
    "Observations",
    "decide_state_changes",
    "depends_on_silence",
]
