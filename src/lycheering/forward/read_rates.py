"""How fast engines read prompts, learned from what answers took."""

from __future__ import annotations

# what an engine is taken to read before any answer of its service came
FIRST_TOKENS_PER_MS = 40.0
LEAST_TOKENS_PER_MS = 2.0
MOST_TOKENS_PER_MS = 2_000.0
HALF_LIFE_MS = 6_000.0
# how much the first guess counts: as that many answers of the usual spread
GUESS_ANSWERS = 2.0
USUAL_SPREAD_TOKENS = 4_000.0
# time of answers for which an engine is taken to be like the others
ALIKE_MS = 500.0
MOST_FACTOR = 8.0
# one answer counts as if it had taken this many times what was expected, at
# most, for all engines and for its own
MOST_TIMES = 2.0
MOST_OWN_TIMES = 4.0
SLACK_MS = 50.0


class ServiceRate:
    """How fast the engines of a service read, all together.

    A line through recent answers: the time to the first token against the
    tokens that were read until then. What each answer takes besides (links,
    steps, fetches) is in its foot, and counts neither as speed nor as queue.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._tokens = 0.0
        self._ms = 0.0
        self._tokens_tokens = 0.0
        self._tokens_ms = 0.0
        self._at_ms = 0.0

    def tokens_per_ms(self) -> float:
        """Returns the prompt tokens that an engine reads in a millisecond."""
        spread = GUESS_ANSWERS * USUAL_SPREAD_TOKENS**2
        product = spread / FIRST_TOKENS_PER_MS
        if self._weight:
            spread += self._tokens_tokens - self._tokens**2 / self._weight
            product += self._tokens_ms - self._tokens * self._ms / self._weight
        if product <= 0:
            return MOST_TOKENS_PER_MS
        rate = spread / product
        return min(MOST_TOKENS_PER_MS, max(LEAST_TOKENS_PER_MS, rate))

    def expected_ms(self, tokens: int) -> float:
        """Returns the time to the first token of an answer.

        Args:
            tokens: The tokens that are read until then.
        """
        rate = self.tokens_per_ms()
        foot_ms = 0.0
        if self._weight:
            foot_ms = (self._ms - self._tokens / rate) / self._weight
        return max(0.0, foot_ms) + tokens / rate

    def take(self, tokens: int, spent_ms: float, now_ms: float) -> None:
        """Takes in how long tokens took to be read.

        Args:
            tokens: The tokens of the prompt and of those before it.
            spent_ms: The time to the first token.
            now_ms: The time.
        """
        most_ms = MOST_TIMES * self.expected_ms(tokens) + SLACK_MS
        ms = min(most_ms, max(0.0, spent_ms))
        kept = 0.5 ** (max(0.0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._weight = self._weight * kept + 1.0
        self._tokens = self._tokens * kept + tokens
        self._ms = self._ms * kept + ms
        self._tokens_tokens = self._tokens_tokens * kept + tokens**2
        self._tokens_ms = self._tokens_ms * kept + tokens * ms


class ReadRate:
    """How fast one engine reads, as against the others of its service."""

    def __init__(self, service: ServiceRate) -> None:
        """Prepares it.

        Args:
            service: The rate of all engines of the service.
        """
        self._service = service
        self._spent_ms = 0.0
        self._expected_ms = 0.0
        self._at_ms = 0.0

    def factor(self) -> float:
        """Returns how many times as long as others this engine takes."""
        spent_ms = self._spent_ms + ALIKE_MS
        factor = spent_ms / (self._expected_ms + ALIKE_MS)
        return min(MOST_FACTOR, max(1.0 / MOST_FACTOR, factor))

    def tokens_per_ms(self) -> float:
        """Returns the prompt tokens that it reads in a millisecond."""
        return self._service.tokens_per_ms() / self.factor()

    def take(self, tokens: int, spent_ms: float, now_ms: float) -> None:
        """Takes in how long tokens took to be read.

        Args:
            tokens: The tokens of the prompt and of those before it; 0 where
                that is not known.
            spent_ms: The time to the first token.
            now_ms: The time.
        """
        if tokens <= 0:
            return
        expected_ms = self._service.expected_ms(tokens)
        most_ms = MOST_OWN_TIMES * expected_ms + SLACK_MS
        ms = min(most_ms, max(0.0, spent_ms))
        kept = 0.5 ** (max(0.0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._spent_ms = self._spent_ms * kept + ms
        self._expected_ms = self._expected_ms * kept + expected_ms
        self._service.take(tokens, spent_ms, now_ms)


__all__ = ["ReadRate", "ServiceRate"]
