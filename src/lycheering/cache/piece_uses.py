"""Counts how often prompts use the pieces in an engine's cache."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import prompt_pieces

HALF_LIFE_MS = 60_000.0
MAX_PIECES = 32_768


@dataclasses.dataclass
class PieceUse:
    """The use count of one piece.

    Attributes:
        piece_key: The piece's key, with its parent key and cache salt.
        depth: Number of pieces before it in its prompt.
        use_count: Number of uses at `last_used_ms`, decayed by half with
            each half-life.
        last_used_ms: When the piece was last used.
    """

    piece_key: prompt_pieces.PieceKey
    depth: int
    use_count: float
    last_used_ms: float

    def decayed_count(self, now_ms: float) -> float:
        """Returns the use count, decayed until now."""
        age_ms = max(0.0, now_ms - self.last_used_ms)
        return float(self.use_count * 0.5 ** (age_ms / HALF_LIFE_MS))


class PieceUseCounter:
    """Counts the uses of the most recently used pieces."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._use_by_key: dict[bytes, PieceUse] = {}

    def record_use(self, piece_keys: Sequence[prompt_pieces.PieceKey]) -> None:
        """Counts one use of each piece of a prompt.

        Args:
            piece_keys: The keys of the pieces, outermost first.
        """
        now_ms = self._clock.now_ms()
        for depth, piece_key in enumerate(piece_keys):
            known = self._use_by_key.pop(piece_key.key, None)
            count = 1.0 if known is None else 1.0 + known.decayed_count(now_ms)
            self._use_by_key[piece_key.key] = PieceUse(
                piece_key, depth, count, now_ms
            )
        while len(self._use_by_key) > MAX_PIECES:
            del self._use_by_key[next(iter(self._use_by_key))]

    def most_used(self, min_count: float) -> list[PieceUse]:
        """Returns the pieces in descending order of their use counts.

        A piece precedes the pieces that continue it: their counts are never
        higher, and of equal counts the piece with the lower depth is first.

        Args:
            min_count: Pieces with a lower decayed use count are left out.
        """
        now_ms = self._clock.now_ms()
        decayed_uses = [
            dataclasses.replace(
                use, use_count=use.decayed_count(now_ms), last_used_ms=now_ms
            )
            for use in self._use_by_key.values()
        ]
        frequent = [use for use in decayed_uses if use.use_count >= min_count]
        return sorted(frequent, key=lambda use: (-use.use_count, use.depth))


__all__ = ["HALF_LIFE_MS", "MAX_PIECES", "PieceUse", "PieceUseCounter"]
