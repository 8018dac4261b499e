"""Recognizes callers that return, and spreads the times of their returns."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# the last timeouts of a route, and after how many new ones they are looked at
KEPT_TIMEOUTS = 200
LEARN_INTERVAL = 10
MIN_TIMEOUTS = 20
# Timeouts are counted in steps of this part of the longest one. First attempts
# end where a step has less than this part of those above it.
STEP_FRACTION = 0.02
EDGE_DENSITY = 0.4
# timeouts tell returns only while this part of them are first attempts
MIN_FIRST_SHARE = 0.5
# part of the room that is expected for those who return
RETURN_SHARE = 0.5
# callers wait for no longer than a third of the time that they have left
MAX_WAIT_FRACTION = 0.3
MIN_SPREAD_FRACTION = 0.5


class ReturnDetector:
    """Tells by the time that a caller has left whether it was here before.

    An attempt bears a new id each time, and attempts of one caller reach
    different entries, so nothing that an entry stores would help. But callers
    of a route have about the same timeout at their first attempt, and less at
    each later one. Where the timeouts of a route differ without such an edge,
    they tell nothing, and no request counts as a return.
    """

    def __init__(self) -> None:
        self._timeouts_ms: collections.deque[float] = collections.deque(
            maxlen=KEPT_TIMEOUTS
        )
        self._observed = 0
        self._edge_ms = 0.0

    def has_returned(self, timeout_ms: float | None) -> bool:
        """Records the timeout of a caller; returns whether it has returned.

        Args:
            timeout_ms: The time that the caller has left; None if unknown.
        """
        if timeout_ms is None or timeout_ms <= 0:
            return False
        self._timeouts_ms.append(timeout_ms)
        self._observed += 1
        if self._observed % LEARN_INTERVAL == 0:
            self._edge_ms = self._find_edge_ms()
        return timeout_ms < self._edge_ms

    def _find_edge_ms(self) -> float:
        """Returns the shortest timeout of first attempts; 0 if unknown."""
        if len(self._timeouts_ms) < MIN_TIMEOUTS:
            return 0.0
        longest_ms = max(self._timeouts_ms)
        counts = collections.Counter(
            int((1.0 - timeout_ms / longest_ms) / STEP_FRACTION)
            for timeout_ms in self._timeouts_ms
        )
        first = 0
        for step in range(round(1.0 / STEP_FRACTION)):
            if step and counts[step] < EDGE_DENSITY * first / step:
                break
            first += counts[step]
        if first < MIN_FIRST_SHARE * len(self._timeouts_ms):
            return 0.0
        # a step more, as few of them may fall into the last one
        return longest_ms * (1.0 - STEP_FRACTION * (step + 1))


class ReturnTimes:
    """Assigns refused callers the times at which they should return.

    Each gets the time at which room for it is expected behind those that were
    refused before, so that they neither come back at once nor all together.
    The returns of each priority are spaced on their own.
    """

    def __init__(self, rng: random.Random, min_wait_ms: float) -> None:
        """Creates times without refused callers.

        Args:
            rng: Source of randomness.
            min_wait_ms: Shortest wait before a return.
        """
        self._rng = rng
        self._min_wait_ms = min_wait_ms
        self._next_ms_by_priority: dict[int, float] = collections.defaultdict(
            float
        )

    def assign(
        self,
        priority: int,
        excess_ms: float,
        room_ms: float,
        remaining_ms: float,
        now_ms: float,
    ) -> float:
        """Returns after which time a refused caller should return.

        Args:
            priority: Priority of the request.
            excess_ms: Time in which the queue becomes short enough if nothing
                is added to it.
            room_ms: Time in which as much work as the request's is done here.
            remaining_ms: Time until the caller's deadline.
            now_ms: The current time.
        """
        earliest_ms = now_ms + max(self._min_wait_ms, excess_ms)
        return_ms = max(earliest_ms, self._next_ms_by_priority[priority])
        latest_wait_ms = max(
            self._min_wait_ms, MAX_WAIT_FRACTION * remaining_ms
        )
        if return_ms - now_ms > latest_wait_ms:
            # The line is longer than callers wait. It is not made longer, and
            # those at its end are spread over the later part of their time.
            return latest_wait_ms * self._rng.uniform(MIN_SPREAD_FRACTION, 1.0)
        spacing_ms = room_ms / RETURN_SHARE
        self._next_ms_by_priority[priority] = return_ms + spacing_ms
        # jitter, as other entries refuse callers at the same time
        wait_ms = (
            return_ms
            - now_ms
            + self._rng.uniform(0.0, 1.0)
            * max(spacing_ms, 0.5 * self._min_wait_ms)
        )
        return min(wait_ms, latest_wait_ms)


__all__ = ["ReturnDetector", "ReturnTimes"]
