"""Recognizes callers that return, and spreads the times of their returns."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# a caller with this much less time than usual has used it on an attempt
MIN_USED_MS = 100.0
# timeouts tell returns only while this part of them is the usual one
MIN_USUAL_SHARE = 0.5
MIN_OBSERVED = 5.0
MEMORY_REQUESTS = 200.0
# part of the room that is expected for those who return
RETURN_SHARE = 0.5
# callers wait for no longer than a third of the time that they have left
MAX_WAIT_FRACTION = 0.3
MIN_SPREAD_FRACTION = 0.5


class ReturnDetector:
    """Tells by the time that a caller has left whether it was here before.

    An attempt bears a new id each time, and attempts of one caller reach
    different entries, so nothing that an entry stores would help. But callers
    of a route have the same timeout at their first attempt, and less at each
    later one. If the timeouts of a route differ anyway, they tell nothing, and
    no request counts as a return.
    """

    def __init__(self) -> None:
        self._usual_ms = 0.0
        self._usual_weight = 0.0
        self._total_weight = 0.0

    def has_returned(self, timeout_ms: float | None) -> bool:
        """Records the timeout of a caller; returns whether it has returned.

        Args:
            timeout_ms: The time that the caller has left; None if unknown.
        """
        if timeout_ms is None:
            return False
        is_lower = timeout_ms < self._usual_ms - MIN_USED_MS
        keep = 1.0 - 1.0 / MEMORY_REQUESTS
        self._usual_weight *= keep
        self._total_weight = self._total_weight * keep + 1.0
        if not is_lower:
            if timeout_ms > self._usual_ms + MIN_USED_MS:
                self._usual_weight = 0.0
            self._usual_weight += 1.0
            self._usual_ms = max(self._usual_ms, timeout_ms)
        share = self._usual_weight / self._total_weight
        if share < MIN_USUAL_SHARE / 2 and is_lower:
            # what was usual has become rare, as after a change of the route
            self._usual_ms = timeout_ms
            self._usual_weight = 1.0
            self._total_weight = 1.0
            return False
        return (
            is_lower
            and share >= MIN_USUAL_SHARE
            and self._total_weight >= MIN_OBSERVED
        )


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
