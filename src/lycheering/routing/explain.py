"""Keeps why recent requests went where they went."""

from __future__ import annotations

import collections
import dataclasses

MAX_KEPT = 1_000
MAX_CANDIDATES = 8


@dataclasses.dataclass(frozen=True)
class Compared:
    """A target that was compared.

    Attributes:
        target: The target's name.
        score: Lower is better.
        queue_ms: Expected wait before prefill.
        missing_pieces: Pieces expected to be computed.
        piece_ms: Time to prefill one of them.
        reason: What decided the score.
    """

    target: str
    score: float
    queue_ms: float
    missing_pieces: float
    piece_ms: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """One choice of a target.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        policy: The policy that chose.
        level_key: The key that targets were ranked by.
        width: Over how many targets the prefix is spread.
        chosen: The target taken.
        reason: Why, where it is not the first candidate.
        candidates: The first targets compared.
    """

    request_id: str
    attempt: int
    policy: str
    level_key: str
    width: int
    chosen: str
    reason: str
    candidates: tuple[Compared, ...]


class Explanations:
    """The explanations of the last requests."""

    def __init__(self, size: int = MAX_KEPT) -> None:
        self._size = size
        self._by_request_id: collections.OrderedDict[str, list[Explanation]] = (
            collections.OrderedDict()
        )

    def add(self, explanation: Explanation) -> None:
        """Keeps an explanation and drops the oldest beyond the bound."""
        request_id = explanation.request_id
        self._by_request_id.setdefault(request_id, []).append(explanation)
        while len(self._by_request_id) > self._size:
            self._by_request_id.popitem(last=False)

    def of(self, request_id: str) -> list[Explanation]:
        """Returns the choices made for a request, in order."""
        return list(self._by_request_id.get(request_id, ()))


__all__ = [
    "MAX_CANDIDATES",
    "MAX_KEPT",
    "Compared",
    "Explanation",
    "Explanations",
]
