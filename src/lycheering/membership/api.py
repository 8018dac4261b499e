"""What watching the membership needs from its surroundings."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering.fleet import records
    from lycheering.membership import reconcile


class Membership(abc.ABC):
    """The targets as this process may read and mark them."""

    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Returns whether this process may mark targets now."""

    @abc.abstractmethod
    def targets(self) -> list[records.Target]:
        """Returns all targets of the fleet view."""

    @abc.abstractmethod
    def revived_ms_by_target(self) -> Mapping[str, int]:
        """Returns when targets last came back."""

    @abc.abstractmethod
    async def heard_incarnations(
        self, targets: Iterable[records.Target]
    ) -> Mapping[str, str] | None:
        """Returns which incarnations of some agents are heard anywhere.

        Args:
            targets: The targets whose agents are meant.

        Returns:
            Incarnations by target, or None while too few control instances
            answer to tell who is silent.
        """

    @abc.abstractmethod
    async def mark(self, mark: reconcile.Mark) -> None:
        """Commits a mark."""


__all__ = ["Membership"]
