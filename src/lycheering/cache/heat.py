"""How often the pieces that an engine holds are used."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import pieces

HALF_LIFE_MS = 60_000.0
MAX_KEYS = 32_768


@dataclasses.dataclass
class PieceUse:
    """The use of one piece.

    Attributes:
        link: The piece's key, with its parent and scope.
        depth: Pieces before it in its prompt.
        uses: Number of uses, halved each half-life.
        at_ms: When it was used last.
    """

    link: pieces.ChainLink
    depth: int
    uses: float
    at_ms: float

    def uses_at(self, now_ms: float) -> float:
        """Returns the decayed number of uses."""
        age_ms = max(0.0, now_ms - self.at_ms)
        return float(self.uses * 0.5 ** (age_ms / HALF_LIFE_MS))


class PieceHeat:
    """Counts uses, of the pieces used last."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._use_by_key: dict[bytes, PieceUse] = {}

    def used(self, links: Sequence[pieces.ChainLink]) -> None:
        """Learns that a prompt used pieces.

        Args:
            links: The pieces, outermost first.
        """
        now_ms = self._clock.now_ms()
        for depth, link in enumerate(links):
            known = self._use_by_key.pop(link.key, None)
            uses = 1.0 if known is None else 1.0 + known.uses_at(now_ms)
            self._use_by_key[link.key] = PieceUse(link, depth, uses, now_ms)
        while len(self._use_by_key) > MAX_KEYS:
            del self._use_by_key[next(iter(self._use_by_key))]

    def hottest(self, least_uses: float) -> list[PieceUse]:
        """Returns pieces, the most used first.

        A piece comes before those that continue it, which are used no more
        often than it is.

        Args:
            least_uses: Pieces with fewer decayed uses are left out.
        """
        now_ms = self._clock.now_ms()
        found = [
            dataclasses.replace(use, uses=use.uses_at(now_ms), at_ms=now_ms)
            for use in self._use_by_key.values()
        ]
        hot = [use for use in found if use.uses >= least_uses]
        return sorted(hot, key=lambda use: (-use.uses, use.depth))


__all__ = ["HALF_LIFE_MS", "MAX_KEYS", "PieceHeat", "PieceUse"]
