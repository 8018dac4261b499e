"""Keeps the last slots of a target for others than those that fill it."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.limits import queue as queues

ACTIVE_MS = 10_000.0
PEAK_HALF_LIFE_MS = 5_000.0
DECAY_STEP_MS = 250.0
MIN_PEAK = 0.1


@dataclasses.dataclass(frozen=True)
class Others:
    """What the teams but one had running at once.

    Attributes:
        teams: Their number.
        total: The sum of their peaks.
    """

    teams: int
    total: float


class _Peaks:
    """The most that each team had running at once, halved with time."""

    def __init__(self) -> None:
        self._peak_by_team: dict[str, float] = {}
        self._total = 0.0
        self._decayed_ms = 0.0

    def note(self, team: str, running: int, now_ms: float) -> None:
        self._decay(now_ms)
        old = self._peak_by_team.get(team, 0.0)
        if running > old:
            self._peak_by_team[team] = running
            self._total += running - old

    def without(self, team: str, now_ms: float) -> Others:
        self._decay(now_ms)
        own = self._peak_by_team.get(team, 0.0)
        return Others(
            len(self._peak_by_team) - (team in self._peak_by_team),
            max(0.0, self._total - own),
        )

    def _decay(self, now_ms: float) -> None:
        if now_ms - self._decayed_ms < DECAY_STEP_MS:
            return
        share = 0.5 ** ((now_ms - self._decayed_ms) / PEAK_HALF_LIFE_MS)
        self._decayed_ms = now_ms
        self._peak_by_team = {
            team: peak * share
            for team, peak in self._peak_by_team.items()
            if peak * share >= MIN_PEAK
        }
        self._total = sum(self._peak_by_team.values())


class SlotReserve:
    """Holds requests back that would take the last slots from others.

    A team leaves them to other teams, and a priority to more urgent
    ones, but only while those sent something lately. The other teams are
    left as many as they lately had running at once, as long as the team
    keeps its fair share.

    Attributes:
        slots: All slots.
        open_slots: Slots that one team or priority may fill at most.
    """

    def __init__(self) -> None:
        self.slots = 1
        self.open_slots = 1
        self._peaks = _Peaks()
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._running_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._last_ms_by_priority: dict[int, float] = {}
        self._last_team = ""
        self._last_ms = float("-inf")
        self._other_ms = float("-inf")

    def entered(self, waiting: queues.Waiting) -> None:
        """Learns that a request came."""
        if waiting.team != self._last_team:
            self._other_ms = self._last_ms
            self._last_team = waiting.team
        self._last_ms = waiting.arrival_ms
        self._last_ms_by_priority[waiting.priority] = waiting.arrival_ms

    def started(self, waiting: queues.Waiting) -> None:
        """Learns that a request takes a slot."""
        self._running_by_team[waiting.team] += 1
        self._peaks.note(
            waiting.team,
            self._running_by_team[waiting.team],
            waiting.arrival_ms,
        )
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
        others = self._peaks.without(team, now_ms)
        if not others.total:
            return self.open_slots
        fair = self.slots // (others.teams + 1)
        left = self.slots - math.ceil(others.total)
        return max(1, fair, min(self.open_slots, left))

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
