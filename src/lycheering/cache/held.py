"""Which prefix levels an engine holds, by the keys that entries use."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import index as indexes

MAX_LEVELS = 32_768
EVENT_LAG_MS = 1_000.0


@dataclasses.dataclass
class HeldLevel:
    """One level of prompts that were sent to the engine.

    Attributes:
        pieces: Pieces up to the level's end.
        block: The key of the last of them.
        expected_until_ms: Until when it counts as held though the engine
            has not reported it.
    """

    pieces: int
    block: bytes
    expected_until_ms: float = 0.0


class HeldLevels:
    """Tells how much of a prompt the engine holds or is about to hold."""

    def __init__(self, index: indexes.BlockIndex, clock: clocks.Clock) -> None:
        self._index = index
        self._clock = clock
        self._level_by_key: dict[str, HeldLevel] = {}

    def expect(
        self, level_keys: Sequence[str], levels: Sequence[HeldLevel]
    ) -> None:
        """Learns the levels of a prompt that the engine is about to get.

        Args:
            level_keys: The key of each level, outermost first.
            levels: The levels.
        """
        for key, level in zip(level_keys, levels, strict=False):
            known = self._level_by_key.pop(key, None)
            if known is not None and known.block == level.block:
                level.expected_until_ms = max(
                    level.expected_until_ms, known.expected_until_ms
                )
            self._level_by_key[key] = level
        while len(self._level_by_key) > MAX_LEVELS:
            del self._level_by_key[next(iter(self._level_by_key))]

    def computed(self, level_keys: Sequence[str]) -> None:
        """Learns that the engine computed a prompt's levels just now."""
        until_ms = self._clock.now_ms() + EVENT_LAG_MS
        self._set_expected(level_keys, until_ms)

    def not_computed(self, level_keys: Sequence[str]) -> None:
        """Learns that the engine computes a prompt's levels no more."""
        self._set_expected(level_keys, 0.0)

    def clear(self) -> None:
        """Learns that the engine holds nothing any more."""
        self._level_by_key.clear()

    def _set_expected(self, level_keys: Sequence[str], until_ms: float) -> None:
        for key in level_keys:
            level = self._level_by_key.get(key)
            if level is not None:
                level.expected_until_ms = until_ms

    def held_pieces(self, level_keys: Sequence[str]) -> int:
        """Returns how many leading pieces of a prompt are held."""
        if not self._index.synced:
            return 0
        now_ms = self._clock.now_ms()
        for key in reversed(level_keys):
            level = self._level_by_key.get(key)
            if level is None:
                continue
            if now_ms < level.expected_until_ms:
                return level.pieces
            if self._index.matched_count((level.block,)):
                return level.pieces
        return 0


__all__ = ["EVENT_LAG_MS", "HeldLevel", "HeldLevels"]
