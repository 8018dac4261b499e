"""Compares each team's demand with its fair share of the whole fleet."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from lycheering.limits import recent_work

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering import clock as clocks

HALF_LIFE_MS = 250.0
SPARSE_HALF_LIFE_MS = 10_000.0
SPARSE_COUNT = 8
# fewer than SPARSE_COUNT requests in this time are too few to tell a team's
# part of the demand
SPARSE_WINDOW_MS = 500.0
INITIAL_WORK_MS = 500.0
SMOOTHING = 0.1
BUSY_UTILIZATION = 0.8
UPDATE_INTERVAL_MS = 50.0
MAX_KNOWN_TEAMS = 20_000


class FleetShares:
    """Compares the teams' demand on all targets with their fair shares.

    One process sees only a part of the traffic, but targets report the
    utilization that all processes cause. The ratio of this process's
    capacity to its traffic is assumed to equal that of the fleet's capacity
    to all traffic. A process that sees few requests averages over a longer
    time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._short_term = recent_work.RecentWork(HALF_LIFE_MS)
        self._long_term = recent_work.RecentWork(SPARSE_HALF_LIFE_MS)
        self._current = self._long_term
        self._arrivals_ms: collections.deque[float] = collections.deque(
            maxlen=SPARSE_COUNT
        )
        self._slots_per_weight = math.inf
        self._updated_ms = float("-inf")
        # average work of a request by team, least recently used first
        self._work_ms_by_team: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_request(
        self, team: str, weight: float, fleet_utilization: Callable[[], float]
    ) -> float:
        """Records a request and compares its team with the others.

        Args:
            team: The team.
            weight: The team's weight in fair sharing.
            fleet_utilization: Returns the work offered to all targets,
                relative to what they can do.

        Returns:
            The team's demand as a multiple of its fair share; 0 while all
            demand can be met.
        """
        now_ms = self._clock.now_ms()
        work_ms = self._work_ms_by_team.get(team, INITIAL_WORK_MS)
        self._short_term.add(team, weight, work_ms, now_ms)
        self._long_term.add(team, weight, work_ms, now_ms)
        self._arrivals_ms.append(now_ms)
        if now_ms - self._updated_ms >= UPDATE_INTERVAL_MS:
            self._updated_ms = now_ms
            is_sparse = now_ms - self._arrivals_ms[0] > SPARSE_WINDOW_MS
            self._current = self._long_term if is_sparse else self._short_term
            self._slots_per_weight = self._fair_slots_per_weight(
                fleet_utilization()
            )
        return self._current.team_slots(team) / weight / self._slots_per_weight

    def record_work(self, team: str, work_ms: float) -> None:
        """Records how long a request of a team kept a slot busy."""
        average_ms = self._work_ms_by_team.pop(team, work_ms)
        updated_ms = average_ms + SMOOTHING * (work_ms - average_ms)
        self._work_ms_by_team[team] = updated_ms
        if len(self._work_ms_by_team) > MAX_KNOWN_TEAMS:
            self._work_ms_by_team.popitem(last=False)

    def _fair_slots_per_weight(self, fleet_utilization: float) -> float:
        if fleet_utilization <= BUSY_UTILIZATION:
            return math.inf
        slots = (
            self._current.total_slots() * BUSY_UTILIZATION / fleet_utilization
        )
        return self._current.fair_slots_per_weight(slots)


__all__ = ["FleetShares"]
