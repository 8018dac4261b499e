"""The replicated targets as the membership watcher uses them."""

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


class LogMembership(api.Membership):
    """Reads the state machine and commits marks to the log."""

    def __init__(
        self, group: replica.Replica, status: fleet_status.FleetStatus
    ) -> None:
        self._group = group
        self._status = status

    def is_leader(self) -> bool:
        """Returns whether this process may mark targets now."""
        return self._group.is_leader()

    def targets(self) -> list[records.Target]:
        """Returns all targets of the fleet view."""
        return list(self._group.machine.fleet.target_by_name.values())

    def revived_ms_by_target(self) -> Mapping[str, int]:
        """Returns when targets last came back."""
        return self._group.machine.targets.revived_ms_by_target

    async def heard_incarnations(
        self, targets: Iterable[records.Target]
    ) -> Mapping[str, str] | None:
        """Returns which incarnations of some agents are heard anywhere."""
        asked = list(targets)
        own = fleet_status.incarnations_by_name([self._status.own()])
        heard_here = _heard(asked, own)
        if len(heard_here) == len(asked):
            return heard_here
        snapshot = await self._status.follow()
        members = len(self._group.peers())
        answered = members - len(snapshot.unreachable)
        if answered <= members // 2:
            return None
        return _heard(asked, snapshot.incarnations_by_name)

    async def mark(self, mark: reconcile.Mark) -> None:
        """Commits a mark."""
        await self._group.propose(
            commands.MarkTarget(mark.target, mark.agent_incarnation, mark.state)
        )


def _heard(
    targets: Iterable[records.Target],
    incarnations_by_name: Mapping[str, set[str]],
) -> dict[str, str]:
    """Returns the registered incarnations of those that are heard."""
    return {
        target.name: target.agent_incarnation
        for target in targets
        if target.agent_incarnation in incarnations_by_name.get(target.name, ())
    }


__all__ = ["LogMembership"]
