"""Interface that the membership watcher depends on."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering.fleet import records
    from lycheering.membership import reconcile


class Membership(abc.ABC):
    """Access to the targets of the fleet and to changes of their state."""

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Returns whether this process is the leader and may mark targets."""

    @abc.abstractmethod
    def targets(self) -> list[records.Target]:
        """Returns all targets of the fleet view."""

    @abc.abstractmethod
    def reactivated_ms_by_target(self) -> Mapping[str, int]:
        """Returns when targets last returned from leaving or gone to live."""

    @abc.abstractmethod
    async def connected_incarnations(
        self, targets: Iterable[records.Target]
    ) -> Mapping[str, str] | None:
        """Returns the agents that have a session with any control instance.

        Args:
            targets: The targets whose agents to look for.

        Returns:
            The agent incarnation of each target that has one, or None if no
            majority of control instances answered, so that it is unknown
            which agents are silent.
        """

    @abc.abstractmethod
    async def commit_state_change(
        self, change: reconcile.TargetStateChange
    ) -> None:
        """Commits a change of a target's state."""


__all__ = ["Membership"]
