"""Reserves the last slots of a target for teams that do not fill it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from lycheering.limits import overuse
from lycheering.limits import recent_work

if TYPE_CHECKING:
    from lycheering.limits import queue as queues

ACTIVE_WINDOW_MS = 10_000.0
SHORT_HALF_LIFE_MS = 250.0
LONG_HALF_LIFE_MS = 10_000.0
BUSY_UTILIZATION = 0.8
# safety margin in standard deviations of a Poisson-distributed number of
# requests
MARGIN_DEVIATIONS = 3.0
# if the overusing teams have more than this fraction of the weights, the
# overload is a general one and not caused by a few teams
MAX_OVERUSE_WEIGHT_FRACTION = 0.25


def _slots_with_margin(slots: float, deviations: float) -> int:
    return math.ceil(slots + deviations * math.sqrt(slots))


class SlotReserve:
    """Holds back requests that would take the last slots from others.

    One team leaves the reserved slots to other teams, and one priority
    leaves them to more urgent ones, but only while those sent requests
    recently. On a busy target, the teams that exceed their fair share of
    the whole fleet leave the others as many slots as those recently needed,
    with a safety margin, but together they keep their own fair share.

    Attributes:
        unreserved_slots: Slots that one team or priority may fill while
            others are active.
    """

    def __init__(self, queue: queues.FairQueue) -> None:
        self.unreserved_slots = 1
        self._slots = 1
        self._queue = queue
        self._short_term = recent_work.RecentWork(
            SHORT_HALF_LIFE_MS, SHORT_HALF_LIFE_MS
        )
        self._long_term = recent_work.RecentWork(LONG_HALF_LIFE_MS)
        self._overuse = overuse.OveruseTracker()
        self._overuse_slots = 1
        self._overuse_slots_ms = float("-inf")
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._running_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._arrival_ms_by_priority: dict[int, float] = {}
        self._last_team = ""
        self._last_arrival_ms = float("-inf")
        # last arrival of a request of any team but the last one
        self._other_arrival_ms = float("-inf")

    def set_slots(self, slots: int, unreserved_slots: int) -> None:
        """Sets the number of slots.

        Args:
            slots: All slots.
            unreserved_slots: Slots that one team or priority may fill while
                others are active.
        """
        self._slots = slots
        self.unreserved_slots = unreserved_slots

    def record_arrival(self, request: queues.QueuedRequest) -> None:
        """Records that a request arrived."""
        team = request.team
        work_ms = request.cost.total_ms
        now_ms = request.arrival_ms
        self._short_term.add(team, request.team_weight, work_ms, now_ms)
        self._long_term.add(team, request.team_weight, work_ms, now_ms)
        self._overuse.record(team, request.fair_share_ratio, now_ms)
        if request.team != self._last_team:
            self._other_arrival_ms = self._last_arrival_ms
            self._last_team = request.team
        self._last_arrival_ms = request.arrival_ms
        self._arrival_ms_by_priority[request.priority] = request.arrival_ms

    def record_start(self, request: queues.QueuedRequest) -> None:
        """Records that a request occupies a slot."""
        self._running_by_team[request.team] += 1
        self._running_by_priority[request.priority] += 1

    def record_end(self, request: queues.QueuedRequest) -> None:
        """Records that a request released its slot."""
        self._running_by_priority[request.priority] -= 1
        self._running_by_team[request.team] -= 1
        if not self._running_by_team[request.team]:
            del self._running_by_team[request.team]

    def is_held_back(
        self, request: queues.QueuedRequest, now_ms: float
    ) -> bool:
        """Returns whether a request must leave a free slot to others."""
        slots = self.slot_limit(request.team, now_ms)
        running = sum(
            count
            for team, count in self._running_by_team.items()
            if self.share_slot_limit(team, request.team, now_ms)
        )
        if running >= slots:
            return True
        return self._is_priority_held_back(request.priority, now_ms)

    def is_overusing(self, team: str, now_ms: float) -> bool:
        """Returns whether a team exceeds its fair share of the fleet."""
        return self._overuse.is_overusing(team, now_ms)

    def share_slot_limit(self, team: str, other: str, now_ms: float) -> bool:
        """Returns whether the slots of two teams are limited together.

        This is so for a team and itself, and for teams that exceed their
        fair share of the fleet.
        """
        if team == other:
            return True
        return self.is_overusing(team, now_ms) and self.is_overusing(
            other, now_ms
        )

    def slot_limit(self, team: str, now_ms: float) -> int:
        """Returns how many slots a team may fill now.

        The limit of teams that exceed their fair share of the fleet applies
        to all of them together.
        """
        is_last_team = team == self._last_team
        other_ms = (
            self._other_arrival_ms if is_last_team else self._last_arrival_ms
        )
        if now_ms - other_ms >= ACTIVE_WINDOW_MS:
            return self._slots
        if not self.is_overusing(team, now_ms):
            return self.unreserved_slots
        if now_ms != self._overuse_slots_ms:
            self._overuse_slots_ms = now_ms
            self._overuse_slots = self._compute_overuse_slots(now_ms)
        return self._overuse_slots

    def utilization(self, now_ms: float) -> float:
        """Returns the work offered to the target, relative to its slots.

        It exceeds 1 while more work is offered than the target can do.
        """
        self._short_term.decay(now_ms)
        running = sum(self._running_by_team.values())
        return max(self._short_term.total_slots(), running) / max(
            1, self._slots
        )

    def _is_busy(self) -> bool:
        present = len(self._queue) + sum(self._running_by_team.values())
        return (
            max(self._short_term.total_slots(), present)
            >= BUSY_UTILIZATION * self._slots
        )

    def _current_work(self) -> recent_work.RecentWork:
        # the long-term average lags behind an overload that just began
        if self._short_term.total_slots() > self._long_term.total_slots():
            return self._short_term
        return self._long_term

    def _compute_overuse_slots(self, now_ms: float) -> int:
        self._long_term.decay(now_ms)
        teams = self._overuse.overusing_teams(now_ms)
        overusing = sum(self._long_term.team_slots(team) for team in teams)
        others = max(0.0, self._long_term.total_slots() - overusing)
        fraction = self._long_term.weight_fraction(teams)
        deviations = (
            MARGIN_DEVIATIONS
            if fraction <= MAX_OVERUSE_WEIGHT_FRACTION
            else 0.0
        )
        remaining = self._slots - _slots_with_margin(others, deviations)
        if not self._is_busy():
            return min(self.unreserved_slots, max(remaining, self._slots // 2))
        fair_slots = math.floor(self._slots * fraction)
        return max(1, fair_slots, min(self.unreserved_slots, remaining))

    def fair_share_slots(self, request: queues.QueuedRequest) -> float:
        """Returns the fair share of slots of a request's team."""
        return request.team_weight * self._current_work().fair_slots_per_weight(
            self._slots
        )

    def team_rates(self) -> list[recent_work.TeamRate]:
        """Returns the rate at which each team recently caused work."""
        return self._current_work().rates()

    def _is_priority_held_back(self, priority: int, now_ms: float) -> bool:
        running = sum(
            count
            for other, count in self._running_by_priority.items()
            if other >= priority
        )
        if running < self.unreserved_slots:
            return False
        return any(
            now_ms - arrival_ms < ACTIVE_WINDOW_MS
            for other, arrival_ms in self._arrival_ms_by_priority.items()
            if other < priority
        )


__all__ = ["ACTIVE_WINDOW_MS", "SlotReserve"]
