"""Records why recent requests were routed to their targets."""

from __future__ import annotations

import collections
import dataclasses

MAX_REQUESTS = 1_000
MAX_CANDIDATES = 8


@dataclasses.dataclass(frozen=True)
class ScoredTarget:
    """A target that the policy compared with others.

    Attributes:
        target: The target's name.
        score: Lower is better.
        queue_ms: Expected wait before prefill.
        missing_pieces: Number of pieces that are likely not cached.
        piece_ms: Time to prefill one of them.
        reason: The inputs that determined the score.
    """

    target: str
    score: float
    queue_ms: float
    missing_pieces: float
    piece_ms: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Why one attempt of a request went to its target.

    Attributes:
        request_id: The id of the request.
        attempt: The number of the attempt.
        policy: The name of the policy that ranked the targets.
        level_key: The key of the prefix level that targets are ranked by.
        width: How many targets the prefix is spread over.
        chosen: The name of the chosen target.
        reason: Why the first candidate was not chosen; empty if it was.
        candidates: The best-ranked targets.
    """

    request_id: str
    attempt: int
    policy: str
    level_key: str
    width: int
    chosen: str
    reason: str
    candidates: tuple[ScoredTarget, ...]


class Explanations:
    """Keeps the explanations of the most recent requests."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._by_request_id: collections.OrderedDict[str, list[Explanation]] = (
            collections.OrderedDict()
        )

    def add(self, explanation: Explanation) -> None:
        """Adds an explanation and evicts the oldest requests if needed."""
        request_id = explanation.request_id
        self._by_request_id.setdefault(request_id, []).append(explanation)
        while len(self._by_request_id) > self._max_requests:
            self._by_request_id.popitem(last=False)

    def for_request(self, request_id: str) -> list[Explanation]:
        """Returns the explanations of a request's attempts, oldest first."""
        return list(self._by_request_id.get(request_id, ()))


__all__ = [
    "MAX_CANDIDATES",
    "MAX_REQUESTS",
    "Explanation",
    "Explanations",
    "ScoredTarget",
]
