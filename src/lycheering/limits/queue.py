"""A queue that shares a target fairly among teams."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lycheering.limits import cost as costs

    HoldCheck = Callable[["Waiting", float], bool]

AGING_MS_PER_PRIORITY = 250
MAX_IDLE_TEAMS = 1_024


@dataclasses.dataclass(eq=False)
class Waiting:
    """A request in the queue.

    Attributes:
        team: The team that it belongs to.
        share: The team's weight.
        priority: Smaller is served first.
        cost: Its expected work.
        arrival_ms: When it came.
        deadline_ms: End of the request.
        turn: Done once it may start, failed once it is refused.
        start_tag: Virtual time at which its fair share begins.
        finish_tag: Virtual time at which its fair share is used.
        number: Its place among arrivals.
        share_use: What its team asks of the fleet, in parts of its fair
            share.
    """

    team: str
    share: float
    priority: int
    cost: costs.Cost
    arrival_ms: float
    deadline_ms: float
    turn: asyncio.Future[None]
    start_tag: float = 0.0
    finish_tag: float = 0.0
    number: int = 0
    share_use: float = 0.0

    @property
    def place(self) -> tuple[float, int]:
        """Its place within its priority."""
        return (self.finish_tag, self.number)


class _Level:
    """The requests of one priority, in order of their finish tags."""

    def __init__(self) -> None:
        self.ordered: list[Waiting] = []
        self.virtual_ms = 0.0
        self._finish_by_team: dict[str, float] = {}
        self._forget_above = MAX_IDLE_TEAMS

    def tag(self, waiting: Waiting) -> None:
        last = self._finish_by_team.get(waiting.team, 0.0)
        waiting.start_tag = max(self.virtual_ms, last)
        work_ms = waiting.cost.service_ms / waiting.share
        waiting.finish_tag = waiting.start_tag + work_ms

    def add(self, waiting: Waiting) -> None:
        self._finish_by_team[waiting.team] = waiting.finish_tag
        bisect.insort(self.ordered, waiting, key=_place_of)

    def remove(self, waiting: Waiting) -> bool:
        at = bisect.bisect_left(self.ordered, waiting.place, key=_place_of)
        found = at < len(self.ordered) and self.ordered[at] is waiting
        if found:
            del self.ordered[at]
            self._give_back(waiting)
        return found

    def _give_back(self, waiting: Waiting) -> None:
        if self._finish_by_team.get(waiting.team) == waiting.finish_tag:
            self._finish_by_team[waiting.team] = waiting.start_tag

    def first(self, now_ms: float, is_held: HoldCheck) -> int | None:
        for at, waiting in enumerate(self.ordered):
            if not is_held(waiting, now_ms):
                return at
        return None

    def pop(self, at: int) -> Waiting:
        waiting = self.ordered.pop(at)
        self.virtual_ms = max(self.virtual_ms, waiting.start_tag)
        if not self.ordered:
            # nobody is owed anything once nobody waits
            last_ms = max(self._finish_by_team.values(), default=0.0)
            self.virtual_ms = max(self.virtual_ms, last_ms)
            self._finish_by_team.clear()
        elif len(self._finish_by_team) > self._forget_above:
            self._forget_idle()
        return waiting

    def room(self, waiting: Waiting, team: str) -> float:
        last = self._finish_by_team.get(team, 0.0)
        return waiting.finish_tag - max(self.virtual_ms, last)

    def _forget_idle(self) -> None:
        self._finish_by_team = {
            team: finish
            for team, finish in self._finish_by_team.items()
            if finish > self.virtual_ms
        }
        kept = len(self._finish_by_team)
        self._forget_above = max(MAX_IDLE_TEAMS, 2 * kept)

    def oldest_ms(self) -> float:
        return min(waiting.arrival_ms for waiting in self.ordered)


def _place_of(waiting: Waiting) -> tuple[float, int]:
    return waiting.place


def _never_held(waiting: Waiting, now_ms: float) -> bool:
    return False


class FairQueue:
    """Serves priorities in order, and teams fairly within each.

    Within a priority, each team gets work in proportion to its share.
    A priority gains on the others as its oldest request waits.
    """

    def __init__(self) -> None:
        self._level_by_priority: dict[int, _Level] = {}
        self._count_by_team: collections.Counter[str] = collections.Counter()
        self._arrivals = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def team_count(self, team: str) -> int:
        """Returns how many requests of a team wait."""
        return self._count_by_team[team]

    def active_teams(self) -> int:
        """Returns how many teams have a request waiting."""
        return len(self._count_by_team)

    def rank(self, waiting: Waiting) -> None:
        """Gives a request its tags, without adding it."""
        self._arrivals += 1
        waiting.number = self._arrivals
        level = self._level_by_priority.get(waiting.priority)
        if level is None:
            level = _Level()
        level.tag(waiting)

    def add(self, waiting: Waiting) -> None:
        """Adds a ranked request."""
        level = self._level_by_priority.setdefault(waiting.priority, _Level())
        level.add(waiting)
        self._count_by_team[waiting.team] += 1
        self._count += 1

    def remove(self, waiting: Waiting) -> bool:
        """Takes a request out; returns whether it was still there."""
        level = self._level_by_priority.get(waiting.priority)
        if level is None or not level.remove(waiting):
            return False
        self._uncount(waiting)
        return True

    def pop(
        self, now_ms: float, is_held: HoldCheck = _never_held
    ) -> Waiting | None:
        """Takes out the request to be served next.

        Args:
            now_ms: The time, by which waiting requests gain on others.
            is_held: Tells which requests get nothing now.

        Returns:
            The request, or None if there is none to be served.
        """
        best: _Level | None = None
        best_at = 0
        best_rank = 0.0
        for priority, level in self._level_by_priority.items():
            at = level.first(now_ms, is_held)
            if at is None:
                continue
            aged = (now_ms - level.oldest_ms()) / AGING_MS_PER_PRIORITY
            rank = priority - aged
            if best is None or rank < best_rank:
                best = level
                best_at = at
                best_rank = rank
        if best is None:
            return None
        waiting = best.pop(best_at)
        self._uncount(waiting)
        return waiting

    def worst(self) -> Waiting | None:
        """Returns the request that would be served last."""
        used = [p for p, lv in self._level_by_priority.items() if lv.ordered]
        if not used:
            return None
        return self._level_by_priority[max(used)].ordered[-1]

    def ahead_of(self, waiting: Waiting) -> list[Waiting]:
        """Returns the requests to be served before a ranked one."""
        ahead: list[Waiting] = []
        for priority, level in sorted(self._level_by_priority.items()):
            if priority < waiting.priority:
                ahead += level.ordered
            elif priority == waiting.priority:
                at = bisect.bisect_left(
                    level.ordered, waiting.place, key=_place_of
                )
                ahead += level.ordered[:at]
        return ahead

    def room_before(self, waiting: Waiting, team: str) -> float:
        """Returns how much of its share a team may use before a request.

        Args:
            waiting: A ranked request.
            team: Another team.
        """
        level = self._level_by_priority.get(waiting.priority)
        if level is None:
            return waiting.finish_tag
        return max(0.0, level.room(waiting, team))

    def everyone(self) -> list[Waiting]:
        """Returns all requests."""
        return [
            waiting
            for _, level in sorted(self._level_by_priority.items())
            for waiting in level.ordered
        ]

    def _uncount(self, waiting: Waiting) -> None:
        self._count -= 1
        self._count_by_team[waiting.team] -= 1
        if not self._count_by_team[waiting.team]:
            del self._count_by_team[waiting.team]


__all__ = ["AGING_MS_PER_PRIORITY", "FairQueue", "Waiting"]
