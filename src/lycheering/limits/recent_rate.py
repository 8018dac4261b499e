"""The recent rate of events, and the recent mean of values."""

from __future__ import annotations

import math


class RecentRate:
    """Counts events, with less weight the older they are."""

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._count = 0.0
        self._updated_ms = 0.0

    def add(self, count: float, now_ms: float) -> None:
        """Adds events that happened now."""
        self._count = self.count(now_ms) + count
        self._updated_ms = now_ms

    def count(self, now_ms: float) -> float:
        """Returns the weighted number of recent events."""
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._count * float(0.5 ** (age_ms / self._half_life_ms))

    def per_s(self, now_ms: float) -> float:
        """Returns the recent rate of events, in events a second."""
        return self.count(now_ms) * math.log(2) * 1_000 / self._half_life_ms


class RecentMean:
    """The mean of values, with less weight the older they are."""

    def __init__(self, half_life_ms: float) -> None:
        self._sum = RecentRate(half_life_ms)
        self._count = RecentRate(half_life_ms)

    def add(self, value: float, now_ms: float) -> None:
        """Adds a value that was observed now."""
        self._sum.add(value, now_ms)
        self._count.add(1, now_ms)

    def mean(self, now_ms: float) -> float:
        """Returns the weighted mean; 0 without values."""
        count = self._count.count(now_ms)
        return self._sum.count(now_ms) / count if count else 0.0


__all__ = ["RecentMean", "RecentRate"]
