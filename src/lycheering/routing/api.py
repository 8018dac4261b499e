"""What a routing policy is given and what it returns."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

from lycheering.routing import levels

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheering.fleet import records


@dataclasses.dataclass(frozen=True)
class Seen:
    """What an agent told of its target when asked for this request.

    Attributes:
        held_pieces: Leading pieces of the prompt that it holds.
        queue_ms: Expected wait before prefill.
        piece_ms: Time to prefill one missing piece.
        life_ms: How long unused pieces stay cached; 0 if not known.
        prefix_use: Share of its time that the prefix ranked by takes.
    """

    held_pieces: int
    queue_ms: float
    piece_ms: float
    life_ms: float
    prefix_use: float = 0.0


@dataclasses.dataclass(frozen=True)
class Query:
    """A request as routing sees it.

    Attributes:
        request_id: The request.
        caller_request_id: The id that the caller knows it by.
        levels: The nested levels of its prompt.
        reuse_weight: 0 weighs time only, 1 weighs reuse only.
        candidates: Ranked targets to compare.
        max_width: Most targets that one hot prefix may use.
        seen_by_target: What agents told when asked.
        team: The team that asks.
        team_share: The team's weight.
    """

    request_id: str
    caller_request_id: str = ""
    levels: levels.Levels = levels.NO_LEVELS
    reuse_weight: float = 0.7
    candidates: int = 3
    max_width: int = 4
    seen_by_target: Mapping[str, Seen] = dataclasses.field(default_factory=dict)
    team: str = ""
    team_share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target that was compared.

    Attributes:
        target: The target.
        score: Lower is better; in ms where the policy weighs time.
        queue_ms: Expected wait before prefill.
        missing_pieces: Pieces expected to be computed.
        piece_ms: Time to prefill one of them.
        reason: What decided the score.
    """

    target: records.Target
    score: float
    queue_ms: float = 0.0
    missing_pieces: float = 0.0
    piece_ms: float = 0.0
    reason: str = ""


class Policy(abc.ABC):
    """Orders the targets that could serve a request."""

    name = ""

    @abc.abstractmethod
    def order(
        self, query: Query, targets: tuple[records.Target, ...]
    ) -> list[Candidate]:
        """Returns targets to try, the best first.

        Args:
            query: The request.
            targets: The targets that may serve it; never empty.
        """

    def compared(
        self, query: Query, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the targets that are worth asking before `order`."""
        return ()

    def width(self, query: Query) -> int:
        """Returns over how many targets the request's prefix is spread."""
        return 1


__all__ = ["Candidate", "Policy", "Query", "Seen"]
