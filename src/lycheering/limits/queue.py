"""A queue that shares a target fairly among teams."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lycheering.limits import cost_model

    HoldCheck = Callable[["QueuedRequest", float], bool]

AGING_MS_PER_PRIORITY = 250
MAX_IDLE_TEAMS = 1_024


@dataclasses.dataclass(eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        team: The team that sent it.
        team_weight: The team's weight in fair sharing.
        priority: Smaller values are served first.
        cost: Its expected work.
        arrival_ms: When it arrived.
        deadline_ms: When it must have ended.
        admitted: Completes when the request may start, fails when it is
            refused.
        start_tag: Virtual time at which the team's share for it begins.
        finish_tag: Virtual time at which the team's share for it ends.
        arrival_number: The number of requests that arrived before it,
            plus 1.
        fair_share_ratio: The team's demand on the fleet, as a multiple of
            its fair share.
    """

    team: str
    team_weight: float
    priority: int
    cost: cost_model.Cost
    arrival_ms: float
    deadline_ms: float
    admitted: asyncio.Future[None]
    start_tag: float = 0.0
    finish_tag: float = 0.0
    arrival_number: int = 0
    fair_share_ratio: float = 0.0

    @property
    def sort_key(self) -> tuple[float, int]:
        """The key that requests of one priority are served by."""
        return (self.finish_tag, self.arrival_number)


class _PriorityLevel:
    """The requests of one priority, in order of their finish tags."""

    def __init__(self) -> None:
        self.ordered: list[QueuedRequest] = []
        self.virtual_ms = 0.0
        self._finish_tag_by_team: dict[str, float] = {}
        self._prune_threshold = MAX_IDLE_TEAMS

    def assign_tags(self, request: QueuedRequest) -> None:
        last = self._finish_tag_by_team.get(request.team, 0.0)
        request.start_tag = max(self.virtual_ms, last)
        work_ms = request.cost.total_ms / request.team_weight
        request.finish_tag = request.start_tag + work_ms

    def add(self, request: QueuedRequest) -> None:
        self._finish_tag_by_team[request.team] = request.finish_tag
        bisect.insort(self.ordered, request, key=_sort_key)

    def remove(self, request: QueuedRequest) -> bool:
        index = bisect.bisect_left(
            self.ordered, request.sort_key, key=_sort_key
        )
        found = index < len(self.ordered) and self.ordered[index] is request
        if found:
            del self.ordered[index]
            self._restore_tag(request)
        return found

    def _restore_tag(self, request: QueuedRequest) -> None:
        if self._finish_tag_by_team.get(request.team) == request.finish_tag:
            self._finish_tag_by_team[request.team] = request.start_tag

    def first_eligible(self, now_ms: float, is_held: HoldCheck) -> int | None:
        for index, request in enumerate(self.ordered):
            if not is_held(request, now_ms):
                return index
        return None

    def pop(self, index: int) -> QueuedRequest:
        request = self.ordered.pop(index)
        self.virtual_ms = max(self.virtual_ms, request.start_tag)
        if not self.ordered:
            # once the queue is empty, all teams start afresh
            last_ms = max(self._finish_tag_by_team.values(), default=0.0)
            self.virtual_ms = max(self.virtual_ms, last_ms)
            self._finish_tag_by_team.clear()
        elif len(self._finish_tag_by_team) > self._prune_threshold:
            self._prune_idle_teams()
        return request

    def virtual_gap_ms(self, request: QueuedRequest, team: str) -> float:
        last = self._finish_tag_by_team.get(team, 0.0)
        return request.finish_tag - max(self.virtual_ms, last)

    def _prune_idle_teams(self) -> None:
        self._finish_tag_by_team = {
            team: finish_tag
            for team, finish_tag in self._finish_tag_by_team.items()
            if finish_tag > self.virtual_ms
        }
        remaining = len(self._finish_tag_by_team)
        self._prune_threshold = max(MAX_IDLE_TEAMS, 2 * remaining)

    def oldest_ms(self) -> float:
        return min(request.arrival_ms for request in self.ordered)


def _sort_key(request: QueuedRequest) -> tuple[float, int]:
    return request.sort_key


def _never_held(request: QueuedRequest, now_ms: float) -> bool:
    return False


class FairQueue:
    """Serves priorities in order, and teams fairly within each priority.

    Within a priority, each team gets work in proportion to its weight. A
    priority rises as its oldest request waits, so that none starves.
    """

    def __init__(self) -> None:
        self._level_by_priority: dict[int, _PriorityLevel] = {}
        self._count_by_team: collections.Counter[str] = collections.Counter()
        self._arrivals = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def waiting_count(self, team: str) -> int:
        """Returns how many requests of a team are queued."""
        return self._count_by_team[team]

    def waiting_team_count(self) -> int:
        """Returns how many teams have queued requests."""
        return len(self._count_by_team)

    def assign_tags(self, request: QueuedRequest) -> None:
        """Assigns the tags of a request, without adding it to the queue."""
        self._arrivals += 1
        request.arrival_number = self._arrivals
        level = self._level_by_priority.get(request.priority)
        if level is None:
            level = _PriorityLevel()
        level.assign_tags(request)

    def add(self, request: QueuedRequest) -> None:
        """Adds a request whose tags were assigned by `assign_tags`."""
        level = self._level_by_priority.setdefault(
            request.priority, _PriorityLevel()
        )
        level.add(request)
        self._count_by_team[request.team] += 1
        self._count += 1

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request; returns whether it was still queued."""
        level = self._level_by_priority.get(request.priority)
        if level is None or not level.remove(request):
            return False
        self._uncount(request)
        return True

    def pop(
        self, now_ms: float, is_held: HoldCheck = _never_held
    ) -> QueuedRequest | None:
        """Removes and returns the request to be served next.

        Args:
            now_ms: The current time, which priorities are aged by.
            is_held: Returns whether a request may not be served now.

        Returns:
            The request, or None if there is none to be served.
        """
        best: _PriorityLevel | None = None
        best_index = 0
        best_priority = 0.0
        for priority, level in self._level_by_priority.items():
            index = level.first_eligible(now_ms, is_held)
            if index is None:
                continue
            aging = (now_ms - level.oldest_ms()) / AGING_MS_PER_PRIORITY
            aged_priority = priority - aging
            if best is None or aged_priority < best_priority:
                best = level
                best_index = index
                best_priority = aged_priority
        if best is None:
            return None
        request = best.pop(best_index)
        self._uncount(request)
        return request

    def last_request(self) -> QueuedRequest | None:
        """Returns the request that would be served last."""
        used = [p for p, lv in self._level_by_priority.items() if lv.ordered]
        if not used:
            return None
        return self._level_by_priority[max(used)].ordered[-1]

    def ahead_of(self, request: QueuedRequest) -> list[QueuedRequest]:
        """Returns the requests to be served before one that has tags."""
        ahead: list[QueuedRequest] = []
        for priority, level in sorted(self._level_by_priority.items()):
            if priority < request.priority:
                ahead += level.ordered
            elif priority == request.priority:
                index = bisect.bisect_left(
                    level.ordered, request.sort_key, key=_sort_key
                )
                ahead += level.ordered[:index]
        return ahead

    def virtual_gap_ms(self, request: QueuedRequest, team: str) -> float:
        """Returns the virtual time that a team may use before a request.

        Multiplied by the team's weight, this is the work of the team's
        future requests that are served before the given request.

        Args:
            request: A request that has tags.
            team: Another team.
        """
        level = self._level_by_priority.get(request.priority)
        if level is None:
            return request.finish_tag
        return max(0.0, level.virtual_gap_ms(request, team))

    def all_requests(self) -> list[QueuedRequest]:
        """Returns all requests, by priority and finish tag."""
        return [
            request
            for _, level in sorted(self._level_by_priority.items())
            for request in level.ordered
        ]

    def _uncount(self, request: QueuedRequest) -> None:
        self._count -= 1
        self._count_by_team[request.team] -= 1
        if not self._count_by_team[request.team]:
            del self._count_by_team[request.team]


__all__ = ["AGING_MS_PER_PRIORITY", "FairQueue", "QueuedRequest"]
