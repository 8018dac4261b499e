"""Moving averages of the work that requests cause at a target."""

from __future__ import annotations

import dataclasses

INITIAL_BASE_MS = 5.0
INITIAL_PIECE_MS = 40.0
INITIAL_TOKEN_MS = 10.0
INITIAL_CALL_MS = 20.0
SMOOTHING = 0.1
MIN_MISSING_PIECES = 0.25
MAX_SAMPLE_RATIO = 4.0


def _updated_average(average: float, sample: float) -> float:
    # limits the effect of one outlier, such as a paused process
    bounded = min(
        max(sample, average / MAX_SAMPLE_RATIO), average * MAX_SAMPLE_RATIO
    )
    return average + SMOOTHING * (bounded - average)


@dataclasses.dataclass(frozen=True)
class Cost:
    """The expected work of one request.

    Attributes:
        prefill_ms: Time from sending it to the target to its first token.
        decode_ms: Time from its first token to its end.
    """

    prefill_ms: float
    decode_ms: float

    @property
    def total_ms(self) -> float:
        """Time from sending it to the target to its end."""
        return self.prefill_ms + self.decode_ms


class CostModel:
    """Estimates the cost of requests from a target's earlier answers.

    Attributes:
        base_ms: Time to the first token of a fully cached prompt.
        piece_ms: Time to prefill one missing piece.
        token_ms: Time between two tokens.
        call_ms: Duration of a call to a service.
        output_length_ratio: Length of an answer, as a fraction of the
            maximum that the request allows.
    """

    def __init__(self) -> None:
        self.base_ms = INITIAL_BASE_MS
        self.piece_ms = INITIAL_PIECE_MS
        self.token_ms = INITIAL_TOKEN_MS
        self.call_ms = INITIAL_CALL_MS
        self.output_length_ratio = 1.0
        self._last_first_token_ms = 0.0

    def completion_cost(self, missing_pieces: float, tokens: int) -> Cost:
        """Returns the expected cost of a completion."""
        prefill_ms = self.base_ms + missing_pieces * self.piece_ms
        decode_ms = tokens * self.output_length_ratio * self.token_ms
        return Cost(prefill_ms, decode_ms)

    def call_cost(self) -> Cost:
        """Returns the expected cost of a call to a service."""
        return Cost(0.0, self.call_ms)

    def learn_prefill(
        self, sent_ms: float, first_token_ms: float, missing_pieces: float
    ) -> None:
        """Updates the prefill times from the time to a first token.

        Args:
            sent_ms: When the request was sent.
            first_token_ms: When its first token arrived.
            missing_pieces: Number of pieces that were not cached.
        """
        # prompts are prefilled one at a time, so this prefill began only
        # after the previous one had ended
        prefill_began_ms = max(sent_ms, self._last_first_token_ms)
        self._last_first_token_ms = first_token_ms
        elapsed_ms = max(0.1, first_token_ms - prefill_began_ms)
        if missing_pieces < MIN_MISSING_PIECES:
            self.base_ms = _updated_average(self.base_ms, elapsed_ms)
            return
        prefill_ms = max(0.1, elapsed_ms - self.base_ms)
        self.piece_ms = _updated_average(
            self.piece_ms, prefill_ms / missing_pieces
        )

    def learn_decode(self, duration_ms: float, tokens: int) -> None:
        """Updates the time per token from the duration of some tokens."""
        if tokens > 0:
            self.token_ms = _updated_average(
                self.token_ms, max(0.01, duration_ms / tokens)
            )

    def learn_length(self, tokens: int, max_tokens: int) -> None:
        """Updates the output length ratio from a finished answer."""
        if max_tokens > 0:
            ratio = min(1.0, tokens / max_tokens)
            self.output_length_ratio += SMOOTHING * (
                ratio - self.output_length_ratio
            )

    def learn_call(self, duration_ms: float) -> None:
        """Updates the duration of a call from a finished one."""
        self.call_ms = _updated_average(self.call_ms, max(0.1, duration_ms))


__all__ = ["Cost", "CostModel"]
