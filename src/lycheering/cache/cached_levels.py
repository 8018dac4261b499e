"""Tracks which prefix levels an engine has cached, by entries' level keys."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import block_index

MAX_KNOWN_LEVELS = 32_768
MAX_EVENT_DELAY_MS = 1_000.0


@dataclasses.dataclass
class PrefixLevel:
    """One prefix level of a prompt that was sent to the engine.

    Attributes:
        piece_count: Number of pieces up to the end of the level.
        last_block_key: The key of the last of these pieces.
        counts_until_ms: Until when the level counts as cached without a
            cache event of the engine.
    """

    piece_count: int
    last_block_key: bytes
    counts_until_ms: float = 0.0


class CachedLevels:
    """Estimates how much of a prompt the engine caches or is computing."""

    def __init__(
        self, index: block_index.BlockIndex, clock: clocks.Clock
    ) -> None:
        self._index = index
        self._clock = clock
        self._level_by_key: dict[str, PrefixLevel] = {}

    def add(
        self, level_keys: Sequence[str], levels: Sequence[PrefixLevel]
    ) -> None:
        """Adds the levels of a prompt that will be sent to the engine.

        Args:
            level_keys: The key of each level, outermost first.
            levels: The levels, in the same order.
        """
        for key, level in zip(level_keys, levels, strict=False):
            known = self._level_by_key.pop(key, None)
            if (
                known is not None
                and known.last_block_key == level.last_block_key
            ):
                level.counts_until_ms = max(
                    level.counts_until_ms, known.counts_until_ms
                )
            self._level_by_key[key] = level
        while len(self._level_by_key) > MAX_KNOWN_LEVELS:
            del self._level_by_key[next(iter(self._level_by_key))]

    def mark_computed(self, level_keys: Sequence[str]) -> None:
        """Marks levels as just computed, until their cache events are due."""
        until_ms = self._clock.now_ms() + MAX_EVENT_DELAY_MS
        self._set_counts_until(level_keys, until_ms)

    def mark_not_computed(self, level_keys: Sequence[str]) -> None:
        """Marks levels whose computation ended early as not computed."""
        self._set_counts_until(level_keys, 0.0)

    def clear(self) -> None:
        """Removes all levels, as the engine's cache is empty."""
        self._level_by_key.clear()

    def _set_counts_until(
        self, level_keys: Sequence[str], until_ms: float
    ) -> None:
        for key in level_keys:
            level = self._level_by_key.get(key)
            if level is not None:
                level.counts_until_ms = until_ms

    def cached_piece_count(self, level_keys: Sequence[str]) -> int:
        """Returns how many leading pieces of a prompt count as cached.

        Args:
            level_keys: The keys of the prompt's levels, outermost first.
        """
        if not self._index.is_synced:
            return 0
        now_ms = self._clock.now_ms()
        for key in reversed(level_keys):
            level = self._level_by_key.get(key)
            if level is None:
                continue
            if now_ms < level.counts_until_ms:
                return level.piece_count
            if self._index.count_cached_prefix((level.last_block_key,)):
                return level.piece_count
        return 0


__all__ = ["MAX_EVENT_DELAY_MS", "CachedLevels", "PrefixLevel"]
