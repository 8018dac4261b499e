"""A bound on retries, so that failures do not multiply the load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock

FLOOR_PER_S = 2.0
FIRST_TOKENS = 10.0
MAX_TOKENS = 50.0
FIRST_PAUSE_MS = 5.0
MAX_PAUSE_MS = 200.0


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    The floor lets a process that sees few requests retry at all; it adds
    nothing once first attempts earn more than the floor.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._tokens = FIRST_TOKENS
        self._earned = 0.0
        self._filled_ms = time.now_ms()

    def earn(self, ratio: float) -> None:
        """Counts a first attempt.

        Args:
            ratio: Retries allowed per first attempt.
        """
        self._earned += ratio
        self._add(ratio)

    def spend(self) -> bool:
        """Takes one retry out of the budget, if there is one left."""
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._filled_ms) / 1_000
        self._filled_ms = now_ms
        self._add(max(0.0, elapsed_s * FLOOR_PER_S - self._earned))
        self._earned = 0.0
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + tokens)


def pause_ms(attempt: int) -> float:
    """Returns how long to wait after an attempt, with jitter.

    Args:
        attempt: The number of the attempt that failed, from 1.
    """
    longest = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (attempt - 1))
    return random.uniform(0.0, longest)


__all__ = ["FLOOR_PER_S", "MAX_TOKENS", "RetryBudget", "pause_ms"]
