"""Remembers which attempts ended or must not begin any more."""

from __future__ import annotations

import collections

RETENTION_MS = 600_000
MAX_ENDED_RUNS = 20_000

RunKey = tuple[str, int]


class EndedRuns:
    """Attempts by their request's id and their number."""

    def __init__(self) -> None:
        self._ended_ms_by_key: collections.OrderedDict[RunKey, float] = (
            collections.OrderedDict()
        )
        self._last_overflow_ms = float("-inf")

    def __contains__(self, key: RunKey) -> bool:
        """Returns whether an attempt is known."""
        return key in self._ended_ms_by_key

    def add(self, key: RunKey, now_ms: float) -> None:
        """Adds an attempt, and drops those added long ago."""
        self._ended_ms_by_key[key] = now_ms
        self._ended_ms_by_key.move_to_end(key)
        while self._ended_ms_by_key:
            oldest = next(iter(self._ended_ms_by_key))
            age_ms = now_ms - self._ended_ms_by_key[oldest]
            if age_ms < RETENTION_MS:
                if len(self._ended_ms_by_key) <= MAX_ENDED_RUNS:
                    break
                self._last_overflow_ms = now_ms
            del self._ended_ms_by_key[oldest]

    def is_complete(self, now_ms: float) -> bool:
        """Returns whether no recent attempt was forgotten."""
        return now_ms - self._last_overflow_ms >= RETENTION_MS


__all__ = ["RETENTION_MS", "MAX_ENDED_RUNS", "EndedRuns", "RunKey"]
