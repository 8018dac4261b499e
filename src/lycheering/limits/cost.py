"""Moving estimates of what a request costs its target."""

from __future__ import annotations

import dataclasses

FIRST_BASE_MS = 5.0
FIRST_PIECE_MS = 40.0
FIRST_TOKEN_MS = 10.0
FIRST_CALL_MS = 20.0
SMOOTHING = 0.1
MIN_MISSING_PIECES = 0.25
MAX_SAMPLE_RATIO = 4.0


def _blend(old: float, sample: float) -> float:
    # one outlier, such as a paused process, must not move the estimate far
    bounded = min(max(sample, old / MAX_SAMPLE_RATIO), old * MAX_SAMPLE_RATIO)
    return old + SMOOTHING * (bounded - old)


@dataclasses.dataclass(frozen=True)
class Cost:
    """The expected work of one request.

    Attributes:
        prefill_ms: Time until its first token, once the target has it.
        decode_ms: Time from there to its end.
    """

    prefill_ms: float
    decode_ms: float

    @property
    def service_ms(self) -> float:
        """Time from sending to the whole answer."""
        return self.prefill_ms + self.decode_ms


class CostModel:
    """Learns a target's times from its answers.

    Attributes:
        base_ms: Time to the first token of a cached prompt.
        piece_ms: Time to prefill one missing piece.
        token_ms: Time between two tokens.
        call_ms: Time of a plain service's call.
        length_share: How much of the tokens allowed answers use.
    """

    def __init__(self) -> None:
        self.base_ms = FIRST_BASE_MS
        self.piece_ms = FIRST_PIECE_MS
        self.token_ms = FIRST_TOKEN_MS
        self.call_ms = FIRST_CALL_MS
        self.length_share = 1.0
        self._last_head_ms = 0.0

    def completion(self, missing_pieces: float, tokens: int) -> Cost:
        """Returns the expected cost of a completion."""
        prefill_ms = self.base_ms + missing_pieces * self.piece_ms
        decode_ms = tokens * self.length_share * self.token_ms
        return Cost(prefill_ms, decode_ms)

    def call(self) -> Cost:
        """Returns the expected cost of a plain service's call."""
        return Cost(0.0, self.call_ms)

    def learn_prefill(
        self, sent_ms: float, head_ms: float, missing_pieces: float
    ) -> None:
        """Learns from the time to an answer's first token.

        Args:
            sent_ms: When the request was sent.
            head_ms: When its first token came.
            missing_pieces: Pieces that the target did not find cached.
        """
        # prompts are prefilled one at a time, so this one began no sooner
        # than the one before it ended
        began_ms = max(sent_ms, self._last_head_ms)
        self._last_head_ms = head_ms
        spent_ms = max(0.1, head_ms - began_ms)
        if missing_pieces < MIN_MISSING_PIECES:
            self.base_ms = _blend(self.base_ms, spent_ms)
            return
        prefill_ms = max(0.1, spent_ms - self.base_ms)
        self.piece_ms = _blend(self.piece_ms, prefill_ms / missing_pieces)

    def learn_decode(self, duration_ms: float, tokens: int) -> None:
        """Learns from the time that some tokens took."""
        if tokens > 0:
            self.token_ms = _blend(
                self.token_ms, max(0.01, duration_ms / tokens)
            )

    def learn_length(self, tokens: int, max_tokens: int) -> None:
        """Learns how long an answer was, of the length allowed."""
        if max_tokens > 0:
            share = min(1.0, tokens / max_tokens)
            self.length_share += SMOOTHING * (share - self.length_share)

    def learn_call(self, duration_ms: float) -> None:
        """Learns from a plain service's whole answer."""
        self.call_ms = _blend(self.call_ms, max(0.1, duration_ms))


__all__ = ["Cost", "CostModel"]
