"""Remembers which attempts have ended or must not start any more."""

from __future__ import annotations

import collections

RETENTION_MS = 600_000
MAX_ENDED_RUNS = 20_000

RunKey = tuple[str, int]


class EndedRuns:
    """The recently ended attempts, by request id and attempt number.

    At most `MAX_ENDED_RUNS` are kept, each for `RETENTION_MS`.
    """

    def __init__(self) -> None:
        self._ended_ms_by_key: collections.OrderedDict[RunKey, float] = (
            collections.OrderedDict()
        )
        self._last_overflow_ms = float("-inf")

    def __contains__(self, key: RunKey) -> bool:
        """Returns whether an attempt is remembered as ended."""
        return key in self._ended_ms_by_key

    def add(self, key: RunKey, now_ms: float) -> None:
        """Adds an attempt and drops those past the retention time."""
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
        """Returns whether all attempts of the retention time are remembered.

        It is false for a while after attempts were dropped early, as there
        were too many.
        """
        return now_ms - self._last_overflow_ms >= RETENTION_MS


__all__ = ["RETENTION_MS", "MAX_ENDED_RUNS", "EndedRuns", "RunKey"]
