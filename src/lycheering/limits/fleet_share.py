"""How far each team is over its fair share of the whole fleet."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from lycheering.limits import recent

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering import clock as clocks

HALF_LIFE_MS = 250.0
SPARSE_HALF_LIFE_MS = 10_000.0
SPARSE_COUNT = 8
SPARSE_MS = 500.0  # fewer requests tell nothing about a team's part
FIRST_WORK_MS = 500.0
SMOOTHING = 0.1
BUSY_USE = 0.8
LEVEL_LIFE_MS = 50.0
MAX_KNOWN_TEAMS = 20_000


class FleetShares:
    """Compares what teams ask of all targets with their fair shares.

    A process sees a part of the traffic only. Targets tell how much is
    asked of them by everybody, so the capacity that belongs to this part
    is as large, against it, as the fleet's against the whole.
    A process that sees few requests remembers them for longer.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._short = recent.RecentWork(HALF_LIFE_MS)
        self._long = recent.RecentWork(SPARSE_HALF_LIFE_MS)
        self._recent = self._long
        self._arrivals_ms: collections.deque[float] = collections.deque(
            maxlen=SPARSE_COUNT
        )
        self._level = math.inf
        self._level_ms = float("-inf")
        # work by team, in the order of last use
        self._work_ms_by_team: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def offered(
        self, team: str, share: float, fleet_use: Callable[[], float]
    ) -> float:
        """Counts a request and compares its team with the others.

        Args:
            team: The team.
            share: The team's weight.
            fleet_use: Returns what is asked of all targets, in parts of
                what they can do.

        Returns:
            What the team asks for, in parts of its fair share; 0 while all
            get what they ask for.
        """
        now_ms = self._clock.now_ms()
        work_ms = self._work_ms_by_team.get(team, FIRST_WORK_MS)
        self._short.note(team, share, work_ms, now_ms)
        self._long.note(team, share, work_ms, now_ms)
        self._arrivals_ms.append(now_ms)
        if now_ms - self._level_ms >= LEVEL_LIFE_MS:
            self._level_ms = now_ms
            is_sparse = now_ms - self._arrivals_ms[0] > SPARSE_MS
            self._recent = self._long if is_sparse else self._short
            self._level = self._find_level(fleet_use())
        return self._recent.own(team) / share / self._level

    def spent(self, team: str, work_ms: float) -> None:
        """Learns how long a request of a team kept a slot busy."""
        known_ms = self._work_ms_by_team.pop(team, work_ms)
        blended_ms = known_ms + SMOOTHING * (work_ms - known_ms)
        self._work_ms_by_team[team] = blended_ms
        if len(self._work_ms_by_team) > MAX_KNOWN_TEAMS:
            self._work_ms_by_team.popitem(last=False)

    def _find_level(self, fleet_use: float) -> float:
        if fleet_use <= BUSY_USE:
            return math.inf
        slots = self._recent.total() * BUSY_USE / fleet_use
        return self._recent.level(slots)


__all__ = ["FleetShares"]
