"""A retry budget, so that failures do not multiply the load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock

MIN_RETRIES_PER_S = 2.0
INITIAL_TOKENS = 10.0
MAX_TOKENS = 50.0
INITIAL_BACKOFF_MS = 5.0
MAX_BACKOFF_MS = 200.0


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    The bucket fills at `MIN_RETRIES_PER_S` or faster, so that a process with
    few requests can retry at all. Nothing is added to what first attempts
    earn once that exceeds this rate.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._tokens = INITIAL_TOKENS
        self._earned_since_refill = 0.0
        self._refilled_ms = time.now_ms()

    def add_first_attempt(self, ratio: float) -> None:
        """Adds tokens for a first attempt.

        Args:
            ratio: Number of retries allowed per first attempt.
        """
        self._earned_since_refill += ratio
        self._add(ratio)

    def try_spend(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._refilled_ms) / 1_000
        self._refilled_ms = now_ms
        self._add(
            max(0.0, elapsed_s * MIN_RETRIES_PER_S - self._earned_since_refill)
        )
        self._earned_since_refill = 0.0
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + tokens)


def backoff_ms(attempt: int) -> float:
    """Returns a random exponential back-off after a failed attempt.

    Args:
        attempt: The number of the failed attempt, starting at 1.
    """
    upper_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (attempt - 1))
    return random.uniform(0.0, upper_ms)


__all__ = ["MIN_RETRIES_PER_S", "MAX_TOKENS", "RetryBudget", "backoff_ms"]
