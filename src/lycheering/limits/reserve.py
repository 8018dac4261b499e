"""Keeps the last slots of a target for others than those that fill it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.limits import queue as queues

ACTIVE_MS = 10_000.0
HALF_LIFE_MS = 3_000.0
DECAY_STEP_MS = 250.0
MIN_WORK_MS = 1.0
SPREAD = 1.5  # of a Poisson number of requests, in standard deviations


class _Demand:
    """How many slots each team's requests would keep busy, as of late."""

    def __init__(self) -> None:
        self.slots = 1
        self._work_ms_by_team: dict[str, float] = {}
        self._decayed_ms = 0.0
        self._fair = 0.0
        self._total = 0.0

    def note(self, waiting: queues.Waiting) -> None:
        """Adds a request's work."""
        self._decay(waiting.arrival_ms)
        old = self._work_ms_by_team.get(waiting.team, 0.0)
        work_ms = old + waiting.cost.service_ms
        self._work_ms_by_team[waiting.team] = work_ms
        self._fair = self.slots / len(self._work_ms_by_team)
        self._total += self._capped(work_ms) - self._capped(old)

    def others(self, team: str, now_ms: float) -> float:
        """Returns the slots that all teams but one need, on average.

        A team that asks for more than its fair share counts with that.
        """
        self._decay(now_ms)
        own = self._capped(self._work_ms_by_team.get(team, 0.0))
        return max(0.0, self._total - own)

    def fair(self, team: str) -> int:
        """Returns the whole slots that a team may always fill."""
        others = len(self._work_ms_by_team) - (team in self._work_ms_by_team)
        return max(1, self.slots // (others + 1))

    def _capped(self, work_ms: float) -> float:
        return min(work_ms * math.log(2) / HALF_LIFE_MS, self._fair)

    def _decay(self, now_ms: float) -> None:
        passed_ms = now_ms - self._decayed_ms
        if passed_ms < DECAY_STEP_MS:
            return
        self._decayed_ms = now_ms
        share = 0.5 ** (passed_ms / HALF_LIFE_MS)
        self._work_ms_by_team = {
            team: work_ms * share
            for team, work_ms in self._work_ms_by_team.items()
            if work_ms * share >= MIN_WORK_MS
        }
        self._fair = self.slots / max(1, len(self._work_ms_by_team))
        self._total = sum(
            self._capped(work_ms) for work_ms in self._work_ms_by_team.values()
        )


class SlotReserve:
    """Holds requests back that would take the last slots from others.

    A team leaves them to other teams, and a priority to more urgent
    ones, but only while those sent something lately. The other teams are
    left as many as their requests of late needed, with a margin for chance,
    as long as the team keeps its fair share.

    Attributes:
        open_slots: Slots that one team or priority may fill at most.
    """

    def __init__(self) -> None:
        self.open_slots = 1
        self._demand = _Demand()
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._running_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._last_ms_by_priority: dict[int, float] = {}
        self._last_team = ""
        self._last_ms = float("-inf")
        self._other_ms = float("-inf")

    def change(self, slots: int, open_slots: int) -> None:
        """Changes the number of slots.

        Args:
            slots: All slots.
            open_slots: Those that one team or priority may fill at most.
        """
        self._demand.slots = slots
        self.open_slots = open_slots

    def entered(self, waiting: queues.Waiting) -> None:
        """Learns that a request came."""
        self._demand.note(waiting)
        if waiting.team != self._last_team:
            self._other_ms = self._last_ms
            self._last_team = waiting.team
        self._last_ms = waiting.arrival_ms
        self._last_ms_by_priority[waiting.priority] = waiting.arrival_ms

    def started(self, waiting: queues.Waiting) -> None:
        """Learns that a request takes a slot."""
        self._running_by_team[waiting.team] += 1
        self._running_by_priority[waiting.priority] += 1

    def ended(self, waiting: queues.Waiting) -> None:
        """Learns that a request left its slot."""
        self._running_by_priority[waiting.priority] -= 1
        self._running_by_team[waiting.team] -= 1
        if not self._running_by_team[waiting.team]:
            del self._running_by_team[waiting.team]

    def holds(self, waiting: queues.Waiting, now_ms: float) -> bool:
        """Returns whether a request must leave a free slot to others."""
        return self._holds_team(waiting.team, now_ms) or self._holds_priority(
            waiting.priority, now_ms
        )

    def _holds_team(self, team: str, now_ms: float) -> bool:
        same = team == self._last_team
        other_ms = self._other_ms if same else self._last_ms
        if now_ms - other_ms >= ACTIVE_MS:
            return False
        return self._running_by_team[team] >= self._team_slots(team, now_ms)

    def _team_slots(self, team: str, now_ms: float) -> int:
        others = self._demand.others(team, now_ms)
        needed = math.ceil(others + SPREAD * math.sqrt(others))
        left = min(self.open_slots, self._demand.slots - needed)
        return max(self._demand.fair(team), left)

    def _holds_priority(self, priority: int, now_ms: float) -> bool:
        running = sum(
            count
            for other, count in self._running_by_priority.items()
            if other >= priority
        )
        if running < self.open_slots:
            return False
        return any(
            now_ms - last_ms < ACTIVE_MS
            for other, last_ms in self._last_ms_by_priority.items()
            if other < priority
        )


__all__ = ["ACTIVE_MS", "SlotReserve"]
