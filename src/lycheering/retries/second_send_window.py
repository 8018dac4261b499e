"""Limits second sends within a sliding time window."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock


@dataclasses.dataclass(frozen=True)
class SecondSendSettings:
    """Limits on the number of second sends within a time window.

    Attributes:
        ratio: Second sends per request within the window.
        shared_allowance: Additional second sends, for all processes together.
        window_ms: Length of the window.
    """

    ratio: float
    shared_allowance: float
    window_ms: float


class SecondSendLimiter:
    """Limits this process's second sends to one service.

    Attributes:
        process_count: Number of processes that share the allowance.
    """

    def __init__(self, settings: SecondSendSettings, time: clock.Clock) -> None:
        self.process_count = 1
        self._settings = settings
        self._clock = time
        self._requests_ms: collections.deque[float] = collections.deque()
        self._second_sends_ms: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Counts a request once, regardless of how often it is sent."""
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        self._requests_ms.append(now_ms)

    def try_spend(self) -> bool:
        """Counts a second send if the limit allows it; returns whether."""
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        allowed = self._settings.ratio * len(
            self._requests_ms
        ) + self._settings.shared_allowance / max(1, self.process_count)
        if len(self._second_sends_ms) + 1 > allowed:
            return False
        self._second_sends_ms.append(now_ms)
        return True

    def _drop_expired(self, now_ms: float) -> None:
        expired_ms = now_ms - self._settings.window_ms
        for times in (self._requests_ms, self._second_sends_ms):
            while times and times[0] <= expired_ms:
                times.popleft()


__all__ = ["SecondSendLimiter", "SecondSendSettings"]
