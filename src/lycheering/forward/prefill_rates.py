"""Estimates the prefill rate of engines from the latency of their answers."""

from __future__ import annotations

# assumed rate of a service before its first answer
INITIAL_TOKENS_PER_MS = 40.0
MIN_TOKENS_PER_MS = 2.0
MAX_TOKENS_PER_MS = 2_000.0
HALF_LIFE_MS = 6_000.0
# weight of the initial rate: this many answers with a typical token spread
INITIAL_RATE_ANSWERS = 2.0
TYPICAL_SPREAD_TOKENS = 4_000.0
# weight, as time of answers, of the assumption that an engine is as fast as
# the others of its service
EQUAL_RATE_WEIGHT_MS = 500.0
MAX_SLOWDOWN = 8.0
# Outliers are clipped: an answer counts as at most this many times the
# expected time, in the rate of the service and in that of its own engine.
MAX_SERVICE_TIME_RATIO = 2.0
MAX_TARGET_TIME_RATIO = 4.0
CLIP_SLACK_MS = 50.0


class ServicePrefillRate:
    """The mean prefill rate of all engines of a service.

    It is the slope of a weighted linear regression over recent answers: time
    to first token against the tokens prefilled until then. The intercept
    holds what an answer takes besides (network, decode steps, cache fetches),
    so that this time affects neither the rate nor the expected queue.
    """

    def __init__(self) -> None:
        self._total_weight = 0.0
        self._sum_tokens = 0.0
        self._sum_ms = 0.0
        self._sum_tokens_squared = 0.0
        self._sum_tokens_ms = 0.0
        self._updated_ms = 0.0

    def tokens_per_ms(self) -> float:
        """Returns the prompt tokens that an engine prefills per millisecond."""
        variance = INITIAL_RATE_ANSWERS * TYPICAL_SPREAD_TOKENS**2
        covariance = variance / INITIAL_TOKENS_PER_MS
        if self._total_weight:
            variance += (
                self._sum_tokens_squared
                - self._sum_tokens**2 / self._total_weight
            )
            covariance += (
                self._sum_tokens_ms
                - self._sum_tokens * self._sum_ms / self._total_weight
            )
        if covariance <= 0:
            return MAX_TOKENS_PER_MS
        rate = variance / covariance
        return min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, rate))

    def expected_ms(self, tokens: int) -> float:
        """Returns the expected time to the first token of an answer.

        Args:
            tokens: Number of tokens prefilled until then.
        """
        rate = self.tokens_per_ms()
        intercept_ms = 0.0
        if self._total_weight:
            intercept_ms = (
                self._sum_ms - self._sum_tokens / rate
            ) / self._total_weight
        return max(0.0, intercept_ms) + tokens / rate

    def observe(self, tokens: int, elapsed_ms: float, now_ms: float) -> None:
        """Adds an answer to the regression.

        Args:
            tokens: Number of tokens prefilled until its first token, those of
                the prompts before it included.
            elapsed_ms: Time to its first token.
            now_ms: The current time.
        """
        max_ms = (
            MAX_SERVICE_TIME_RATIO * self.expected_ms(tokens) + CLIP_SLACK_MS
        )
        ms = min(max_ms, max(0.0, elapsed_ms))
        decay = 0.5 ** (max(0.0, now_ms - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now_ms
        self._total_weight = self._total_weight * decay + 1.0
        self._sum_tokens = self._sum_tokens * decay + tokens
        self._sum_ms = self._sum_ms * decay + ms
        self._sum_tokens_squared = self._sum_tokens_squared * decay + tokens**2
        self._sum_tokens_ms = self._sum_tokens_ms * decay + tokens * ms


class TargetPrefillRate:
    """The prefill rate of one engine, relative to its service."""

    def __init__(self, service: ServicePrefillRate) -> None:
        """Starts with the rate of the service.

        Args:
            service: Mean rate of all engines of the service.
        """
        self._service = service
        self._elapsed_ms = 0.0
        self._expected_ms = 0.0
        self._updated_ms = 0.0

    def slowdown(self) -> float:
        """Returns the ratio of this engine's time to that of the others."""
        elapsed_ms = self._elapsed_ms + EQUAL_RATE_WEIGHT_MS
        slowdown = elapsed_ms / (self._expected_ms + EQUAL_RATE_WEIGHT_MS)
        return min(MAX_SLOWDOWN, max(1.0 / MAX_SLOWDOWN, slowdown))

    def tokens_per_ms(self) -> float:
        """Returns the prompt tokens that it prefills per millisecond."""
        return self._service.tokens_per_ms() / self.slowdown()

    def observe(self, tokens: int, elapsed_ms: float, now_ms: float) -> None:
        """Adds an answer of this engine.

        Args:
            tokens: Number of tokens prefilled until its first token, those of
                the prompts before it included; 0 if unknown.
            elapsed_ms: Time to its first token.
            now_ms: The current time.
        """
        if tokens <= 0:
            return
        expected_ms = self._service.expected_ms(tokens)
        max_ms = MAX_TARGET_TIME_RATIO * expected_ms + CLIP_SLACK_MS
        ms = min(max_ms, max(0.0, elapsed_ms))
        decay = 0.5 ** (max(0.0, now_ms - self._updated_ms) / HALF_LIFE_MS)
        self._updated_ms = now_ms
        self._elapsed_ms = self._elapsed_ms * decay + ms
        self._expected_ms = self._expected_ms * decay + expected_ms
        self._service.observe(tokens, elapsed_ms, now_ms)


__all__ = ["ServicePrefillRate", "TargetPrefillRate"]
