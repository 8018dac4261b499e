"""The blocks that one incarnation of an engine has cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.cache import api

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.cache import life


class BlockIndex:
    """Blocks of the present engine incarnation and weights version.

    The index only guides decisions. While it is not in step with the
    engine it counts as empty.

    Attributes:
        synced: Whether the index is in step with the engine's events.
        incarnation: The engine incarnation that the blocks belong to.
        weights_version: The weights that the blocks belong to.
    """

    def __init__(self, ages: life.EvictionAge) -> None:
        """Starts empty.

        Args:
            ages: Learns when blocks are stored and evicted.
        """
        self._ages = ages
        self.synced = False
        self.incarnation = ""
        self.weights_version = ""
        self._keys: set[bytes] = set()
        self._next_seq = 0

    def __len__(self) -> int:
        return len(self._keys)

    def restore(self, listing: api.BlockListing) -> None:
        """Takes over an engine's listing."""
        self.incarnation = listing.incarnation
        self.weights_version = listing.weights_version
        self._keys = {bytes.fromhex(item.block) for item in listing.blocks}
        self._next_seq = listing.seq + 1
        self.synced = True

    def drop(self) -> None:
        """Forgets all blocks until the next listing."""
        self.synced = False
        self._keys = set()

    def clear(self, weights_version: str) -> None:
        """Forgets all blocks, as other weights are in use.

        Args:
            weights_version: The weights that blocks belong to from now on.
        """
        self._keys = set()
        self._ages.cleared()
        self.weights_version = weights_version

    def apply(self, event: api.CacheEvent) -> bool:
        """Follows one event.

        Args:
            event: The event.

        Returns:
            False if events are missing before it or it comes from
            another incarnation; the index has then dropped all blocks.
        """
        if event.incarnation != self.incarnation:
            self.drop()
            return False
        if event.kind is api.EventKind.TICK:
            expected = event.seq < self._next_seq
        else:
            expected = event.seq <= self._next_seq
        if not expected:
            self.drop()
            return False
        if event.kind is api.EventKind.TICK or event.seq < self._next_seq:
            return True
        self._next_seq = event.seq + 1
        self._follow(event)
        return True

    def _follow(self, event: api.CacheEvent) -> None:
        if event.kind is api.EventKind.CLEARED:
            self.clear(event.weights_version)
        elif event.kind is api.EventKind.EVICTED:
            key = bytes.fromhex(event.block)
            self._keys.discard(key)
            self._ages.evicted(key)
        elif event.weights_version == self.weights_version:
            key = bytes.fromhex(event.block)
            self._keys.add(key)
            self._ages.used((key,))

    def matched_count(self, keys: Iterable[bytes]) -> int:
        """Returns how many leading keys are cached."""
        count = 0
        if not self.synced:
            return count
        for key in keys:
            if key not in self._keys:
                break
            count += 1
        return count


__all__ = ["BlockIndex"]
