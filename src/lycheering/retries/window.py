"""Second sends bounded over a sliding window of time."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock


@dataclasses.dataclass(frozen=True)
class WindowSettings:
    """How many second sends a process may make.

    Attributes:
        ratio: Second sends for each request of the window.
        allowance: Second sends of all processes beyond those.
        window_ms: Length of the window.
    """

    ratio: float
    allowance: float
    window_ms: float


class SendWindow:
    """The second sends to one service in this process.

    Attributes:
        sharers: How many processes share the allowance.
    """

    def __init__(self, settings: WindowSettings, time: clock.Clock) -> None:
        self.sharers = 1
        self._settings = settings
        self._clock = time
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Counts a request, however often it will be sent."""
        now_ms = self._clock.now_ms()
        self._drop_old(now_ms)
        self._requests.append(now_ms)

    def spend(self) -> bool:
        """Takes one second send, if there is one left."""
        now_ms = self._clock.now_ms()
        self._drop_old(now_ms)
        allowed = self._settings.ratio * len(
            self._requests
        ) + self._settings.allowance / max(1, self.sharers)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _drop_old(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._settings.window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_ms:
                times.popleft()


__all__ = ["SendWindow", "WindowSettings"]
