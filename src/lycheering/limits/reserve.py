"""Keeps the last slots of a target for others than those that fill it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.limits import queue as queues

ACTIVE_MS = 10_000.0


class SlotReserve:
    """Holds requests back that would take the last slots from others.

    A team leaves them to other teams, and a priority to more urgent
    ones, but only while those sent something lately.

    Attributes:
        open_slots: Slots that one team or priority may fill.
    """

    def __init__(self) -> None:
        self.open_slots = 1
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
        if self._running_by_team[team] < self.open_slots:
            return False
        same = team == self._last_team
        other_ms = self._other_ms if same else self._last_ms
        return now_ms - other_ms < ACTIVE_MS

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
