"""The requests that an entry holds until there is room for them."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    ServedMeasure = Callable[[str], float]


@dataclasses.dataclass(frozen=True, eq=False)
class HeldRequest:
    """A request that is held.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        team: Its team.
        team_weight: The team's weight in fair sharing.
        number: Number of requests that came before it.
    """

    priority: int
    team: str
    team_weight: float
    number: int


class HeldRequests:
    """Orders the held requests of one service.

    More urgent ones go first. Among equals it is the turn of the team that
    got least of the service for its weight, then of the one that came first.
    Few requests are held at a time, so the order is found anew each time.
    """

    def __init__(self, served: ServedMeasure) -> None:
        """Creates an order without requests.

        Args:
            served: Returns the recent work of a team that was sent on.
        """
        self._served = served
        self._held: set[HeldRequest] = set()
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._held)

    def create(
        self, priority: int, team: str, team_weight: float
    ) -> HeldRequest:
        """Creates a request in its place behind earlier ones of its team."""
        return HeldRequest(priority, team, team_weight, next(self._numbers))

    def hold(self, request: HeldRequest) -> None:
        """Adds a request."""
        self._held.add(request)

    def release(self, request: HeldRequest) -> None:
        """Removes a request, if it is held."""
        self._held.discard(request)

    def has_ahead(self, request: HeldRequest) -> bool:
        """Returns whether any held request goes before a given one."""
        key = self._key(request)
        return any(self._key(other) < key for other in self._held)

    def _key(self, request: HeldRequest) -> tuple[int, float, int]:
        served = self._served(request.team) / request.team_weight
        return (request.priority, served, request.number)


__all__ = ["HeldRequest", "HeldRequests"]
