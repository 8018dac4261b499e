"""The interface between the router and its routing policies."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from lycheering.routing import levels

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheering.fleet import records


@dataclasses.dataclass(frozen=True)
class CacheState:
    """The state of a target's cache, as its agent reports for one request.

    Attributes:
        cached_pieces: Number of leading pieces of the prompt in the cache.
        queue_ms: Expected wait before prefill.
        piece_ms: Time to prefill one missing piece.
        cache_lifetime_ms: How long unused pieces stay cached; 0 if not known.
        prefix_utilization: Fraction of the target's time that requests with the
            same ranking prefix take.
    """

    cached_pieces: int
    queue_ms: float
    piece_ms: float
    cache_lifetime_ms: float
    prefix_utilization: float = 0.0


@dataclasses.dataclass(frozen=True)
class Query:
    """The properties of a request that routing depends on.

    Attributes:
        request_id: The id of the request.
        caller_request_id: The id that the caller gave to the request.
        levels: The nested prefix levels of its prompt.
        reuse_weight: 0 minimizes latency only, 1 maximizes cache reuse
            only.
        max_candidates: How many of the best-ranked targets are compared.
        max_width: Largest number of targets that one hot prefix may use.
        cache_state_by_target: Cache states that agents reported for this
            request.
        team: The team that sent the request.
        team_weight: The team's weight in fair sharing.
    """

    request_id: str
    caller_request_id: str = ""
    levels: levels.Levels = levels.NO_LEVELS
    reuse_weight: float = 0.7
    max_candidates: int = 3
    max_width: int = 4
    cache_state_by_target: Mapping[str, CacheState] = dataclasses.field(
        default_factory=dict
    )
    team: str = ""
    team_weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target that a policy considered.

    Attributes:
        target: The target.
        score: Lower is better; in ms where the policy estimates time.
        queue_ms: Expected wait before prefill.
        missing_pieces: Number of pieces that are likely not cached.
        piece_ms: Time to prefill one of them.
        reason: The inputs that determined the score, for explanations.
    """

    target: records.Target
    score: float
    queue_ms: float = 0.0
    missing_pieces: float = 0.0
    piece_ms: float = 0.0
    reason: str = ""


class Policy(abc.ABC):
    """Ranks the targets that may serve a request."""

    name = ""

    @abc.abstractmethod
    def rank(
        self, query: Query, targets: tuple[records.Target, ...]
    ) -> list[Candidate]:
        """Returns the targets to try, the best one first.

        Args:
            query: The request.
            targets: The targets that may serve it; never empty.
        """

    def inquiry_candidates(
        self, query: Query, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the targets whose agents to query before `rank`."""
        return ()

    def width(self, query: Query) -> int:
        """Returns how many targets the request's prefix is spread over."""
        return 1


__all__ = ["CacheState", "Candidate", "Policy", "Query"]
