"""A clock in milliseconds, which tests can replace."""

from __future__ import annotations

import asyncio
import time

MS_PER_S = 1_000
NS_PER_MS = 1_000_000


class Clock:
    """The clock of one process, in milliseconds."""

    def now_ms(self) -> float:
        """Returns monotonic time, which includes time in system suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall_ms(self) -> int:
        """Returns wall-clock time since the Unix epoch, for people and logs."""
        return time.time_ns() // NS_PER_MS

    async def sleep(self, duration_ms: float) -> None:
        """Suspends the calling task for a duration."""
        await asyncio.sleep(duration_ms / MS_PER_S)


class ManualClock(Clock):
    """A clock that only moves when it is advanced.

    Attributes:
        time_ms: The current time, both monotonic and wall-clock.
    """

    def __init__(self, time_ms: float = 0.0) -> None:
        self.time_ms = time_ms

    def now_ms(self) -> float:
        """Returns the current time of this clock."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Returns the current time of this clock."""
        return int(self.time_ms)

    def advance(self, duration_ms: float) -> None:
        """Moves the clock forward."""
        self.time_ms += duration_ms


__all__ = ["MS_PER_S", "NS_PER_MS", "Clock", "ManualClock"]
