"""Keeps the last slots of a target for others than those that fill it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from lycheering.limits import floods
from lycheering.limits import recent

if TYPE_CHECKING:
    from lycheering.limits import queue as queues

ACTIVE_MS = 10_000.0
BURST_HALF_LIFE_MS = 250.0
NEED_HALF_LIFE_MS = 10_000.0
BUSY_SHARE = 0.8
SPREAD = 3.0  # of a Poisson number of requests, in standard deviations
OVERLOAD_SHARE = 0.25  # of the weights: more are not a few teams' flood


def _with_margin(slots: float, spread: float) -> int:
    return math.ceil(slots + spread * math.sqrt(slots))


class SlotReserve:
    """Holds requests back that would take the last slots from others.

    A team leaves them to other teams, and a priority to more urgent
    ones, but only while those sent something lately. Teams that ask the
    whole fleet for more than their fair share leave the others, on a busy
    target, as many as their requests of late needed, with a margin for
    chance, but together keep their fair share.

    Attributes:
        open_slots: Slots that one team or priority may fill at most.
    """

    def __init__(self, queue: queues.FairQueue) -> None:
        self.open_slots = 1
        self._slots = 1
        self._queue = queue
        self._burst = recent.RecentWork(BURST_HALF_LIFE_MS, BURST_HALF_LIFE_MS)
        self._need = recent.RecentWork(NEED_HALF_LIFE_MS)
        self._floods = floods.Floods()
        self._flood_slots = 1
        self._flood_slots_ms = float("-inf")
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
        self._slots = slots
        self.open_slots = open_slots

    def entered(self, waiting: queues.Waiting) -> None:
        """Learns that a request came."""
        team = waiting.team
        work_ms = waiting.cost.service_ms
        now_ms = waiting.arrival_ms
        self._burst.note(team, waiting.share, work_ms, now_ms)
        self._need.note(team, waiting.share, work_ms, now_ms)
        self._floods.state(team, waiting.share_use, now_ms)
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
        slots = self.team_slots(waiting.team, now_ms)
        running = sum(
            count
            for team, count in self._running_by_team.items()
            if self.are_together(team, waiting.team, now_ms)
        )
        if running >= slots:
            return True
        return self._holds_priority(waiting.priority, now_ms)

    def is_flood(self, team: str, now_ms: float) -> bool:
        """Returns whether a team is over its fair share of the fleet."""
        return self._floods.is_flood(team, now_ms)

    def are_together(self, team: str, other: str, now_ms: float) -> bool:
        """Returns whether two teams fill the same slots."""
        if team == other:
            return True
        return self.is_flood(team, now_ms) and self.is_flood(other, now_ms)

    def team_slots(self, team: str, now_ms: float) -> int:
        """Returns the slots that a team may fill for now.

        Teams over their fair share of the fleet fill them together.
        """
        same = team == self._last_team
        other_ms = self._other_ms if same else self._last_ms
        if now_ms - other_ms >= ACTIVE_MS:
            return self._slots
        if not self.is_flood(team, now_ms):
            return self.open_slots
        if now_ms != self._flood_slots_ms:
            self._flood_slots_ms = now_ms
            self._flood_slots = self._find_flood_slots(now_ms)
        return self._flood_slots

    def use(self, now_ms: float) -> float:
        """Returns what is asked of the target, in parts of its slots."""
        self._burst.decay(now_ms)
        running = sum(self._running_by_team.values())
        return max(self._burst.total(), running) / max(1, self._slots)

    def _is_busy(self) -> bool:
        present = len(self._queue) + sum(self._running_by_team.values())
        return max(self._burst.total(), present) >= BUSY_SHARE * self._slots

    def _recent(self) -> recent.RecentWork:
        # an overload that just began does not show in the longer average
        if self._burst.total() > self._need.total():
            return self._burst
        return self._need

    def _find_flood_slots(self, now_ms: float) -> int:
        self._need.decay(now_ms)
        teams = self._floods.teams(now_ms)
        flooding = sum(self._need.own(team) for team in teams)
        others = max(0.0, self._need.total() - flooding)
        part = self._need.share_of(teams)
        spread = SPREAD if part <= OVERLOAD_SHARE else 0.0
        left = self._slots - _with_margin(others, spread)
        if not self._is_busy():
            return min(self.open_slots, max(left, self._slots // 2))
        fair = math.floor(self._slots * part)
        return max(1, fair, min(self.open_slots, left))

    def share_slots(self, waiting: queues.Waiting) -> float:
        """Returns the slots that a request's team gets if it wants more."""
        return waiting.share * self._recent().level(self._slots)

    def rates(self) -> list[recent.Rate]:
        """Returns how fast each team brought work as of late."""
        return self._recent().rates()

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
