"""Compares how often requests of each priority are refused."""

from __future__ import annotations

import dataclasses

HALF_LIFE_MS = 4_000.0
# fewer requests than this tell nothing about a priority
MIN_OFFERED = 3.0
# by how much more often the more urgent ones may be refused
MAX_DIFFERENCE = 0.02
# by how much the limit of a priority changes with each request
LOWERING = 0.96
RAISING = 1.02
MIN_FACTOR = 0.02
# A priority is starved if it is served this much less often than all. It
# counts attempts, of which callers make two, so that a quarter of the callers
# are served.
STARVED_FRACTION = 0.18


@dataclasses.dataclass
class _Counts:
    offered: float = 0.0
    refused: float = 0.0
    factor: float = 1.0


class KindOrder:
    """Counts the requests and the refusals of each priority.

    A less urgent kind of request must not be served more often than a more
    urgent one, yet it must not be starved either.
    """

    def __init__(self) -> None:
        self._counts_by_priority: dict[int, _Counts] = {}
        self._decayed_ms = 0.0

    def record(self, priority: int, *, is_refused: bool, now_ms: float) -> None:
        """Records that a request was sent to a target or refused.

        Args:
            priority: Its priority; 0 is the most urgent.
            is_refused: Whether it was refused.
            now_ms: The current time.
        """
        self._decay(now_ms)
        counts = self._counts_by_priority.setdefault(priority, _Counts())
        counts.offered += 1.0
        counts.refused += is_refused
        counts.factor *= LOWERING if self._goes_after(priority) else RAISING
        counts.factor = min(1.0, max(MIN_FACTOR, counts.factor))

    def refused_share(self, priority: int) -> float:
        """Returns the part of a priority's requests that was refused."""
        counts = self._counts_by_priority.get(priority)
        if counts is None or counts.offered < MIN_OFFERED:
            return 0.0
        return counts.refused / counts.offered

    def has_refusals(self) -> bool:
        """Returns whether requests were refused lately."""
        return any(
            counts.refused >= 1.0
            for counts in self._counts_by_priority.values()
        )

    def factor(self, priority: int) -> float:
        """Returns by what the limit of a priority is lowered.

        It falls for as long as more urgent requests are refused more often,
        and rises again after that.
        """
        counts = self._counts_by_priority.get(priority)
        return counts.factor if counts is not None else 1.0

    def _goes_after(self, priority: int) -> bool:
        own = self.refused_share(priority)
        return any(
            self.refused_share(other) > own + MAX_DIFFERENCE
            for other in self._counts_by_priority
            if other < priority
        )

    def is_starved(self, priority: int) -> bool:
        """Returns whether a priority is served far less often than all."""
        counts = self._counts_by_priority.get(priority)
        if counts is None or counts.offered < MIN_OFFERED:
            return False
        offered = sum(c.offered for c in self._counts_by_priority.values())
        refused = sum(c.refused for c in self._counts_by_priority.values())
        served_share = 1.0 - refused / offered
        own_share = 1.0 - counts.refused / counts.offered
        return own_share < STARVED_FRACTION * served_share

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < HALF_LIFE_MS / 32:
            return
        self._decayed_ms = now_ms
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        for counts in self._counts_by_priority.values():
            counts.offered *= factor
            counts.refused *= factor


__all__ = ["KindOrder"]
