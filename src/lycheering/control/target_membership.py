"""Gives the membership watcher access to the replicated targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.control import fleet_status
from lycheering.membership import api

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering.control import replica
    from lycheering.fleet import records
    from lycheering.membership import reconcile


class ReplicatedMembership(api.Membership):
    """Reads targets from the state machine and commits their changes."""

    def __init__(
        self, group: replica.Replica, status: fleet_status.FleetStatus
    ) -> None:
        self._group = group
        self._status = status

    def is_leader(self) -> bool:
        """Returns whether this instance is the leader and may mark targets."""
        return self._group.is_leader()

    def targets(self) -> list[records.Target]:
        """Returns all targets of the fleet view."""
        return list(self._group.machine.fleet.target_by_name.values())

    def reactivated_ms_by_target(self) -> Mapping[str, int]:
        """Returns when targets last returned from leaving or gone to live."""
        return self._group.machine.targets.reactivated_ms_by_target

    async def connected_incarnations(
        self, targets: Iterable[records.Target]
    ) -> Mapping[str, str] | None:
        """Returns the agents that have a session with any control instance.

        Returns:
            The agent incarnation by target, or None if fewer than a majority
            of the control instances answered.
        """
        asked_targets = list(targets)
        local_incarnations = fleet_status.incarnations_by_name(
            [self._status.local_status()]
        )
        connected_here = _connected_incarnations(
            asked_targets, local_incarnations
        )
        if len(connected_here) == len(asked_targets):
            return connected_here
        snapshot = await self._status.collect_incrementally()
        members = len(self._group.peers())
        answered = members - len(snapshot.unreachable)
        if answered <= members // 2:
            return None
        return _connected_incarnations(
            asked_targets, snapshot.incarnations_by_name
        )

    async def commit_state_change(
        self, change: reconcile.TargetStateChange
    ) -> None:
        """Commits a change of a target's state."""
        await self._group.propose(
            commands.MarkTarget(
                change.target, change.agent_incarnation, change.state
            )
        )


def _connected_incarnations(
    targets: Iterable[records.Target],
    incarnations_by_name: Mapping[str, set[str]],
) -> dict[str, str]:
    """Returns the registered incarnations of agents that are connected."""
    return {
        target.name: target.agent_incarnation
        for target in targets
        if target.agent_incarnation in incarnations_by_name.get(target.name, ())
    }


__all__ = ["ReplicatedMembership"]
