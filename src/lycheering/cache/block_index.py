"""The index of the blocks that one incarnation of an engine has cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.cache import api

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.cache import eviction_age as eviction_ages


class BlockIndex:
    """The keys of the blocks in the cache of the current engine incarnation.

    The index is only a hint for estimates: while it is out of sync with the
    engine, it reports no block as cached.

    Attributes:
        is_synced: Whether the index is in sync with the engine's events.
        incarnation: The engine incarnation whose blocks are listed.
        weights_version: The version of the weights that computed the blocks.
    """

    def __init__(self, eviction_age: eviction_ages.EvictionAge) -> None:
        """Creates an empty index that is out of sync.

        Args:
            eviction_age: Notified of stored and evicted blocks.
        """
        self._eviction_age = eviction_age
        self.is_synced = False
        self.incarnation = ""
        self.weights_version = ""
        self._keys: set[bytes] = set()
        self._next_seq = 0

    def __len__(self) -> int:
        return len(self._keys)

    def restore(self, listing: api.BlockListing) -> None:
        """Replaces the content by an engine's listing."""
        self.incarnation = listing.incarnation
        self.weights_version = listing.weights_version
        self._keys = {bytes.fromhex(item.block) for item in listing.blocks}
        self._next_seq = listing.seq + 1
        self.is_synced = True

    def invalidate(self) -> None:
        """Removes all blocks and stays out of sync until the next listing."""
        self.is_synced = False
        self._keys = set()

    def switch_weights(self, weights_version: str) -> None:
        """Removes all blocks, as the engine changed its weights.

        Args:
            weights_version: The version of the weights now in use.
        """
        self._keys = set()
        self._eviction_age.reset()
        self.weights_version = weights_version

    def apply(self, event: api.CacheEvent) -> bool:
        """Applies one event.

        Args:
            event: The event.

        Returns:
            False if events before it are missing or if it belongs to another
            incarnation; the index is invalidated then.
        """
        if event.incarnation != self.incarnation:
            self.invalidate()
            return False
        if event.kind is api.EventKind.TICK:
            is_in_sequence = event.seq < self._next_seq
        else:
            is_in_sequence = event.seq <= self._next_seq
        if not is_in_sequence:
            self.invalidate()
            return False
        if event.kind is api.EventKind.TICK or event.seq < self._next_seq:
            return True
        self._next_seq = event.seq + 1
        self._update_keys(event)
        return True

    def _update_keys(self, event: api.CacheEvent) -> None:
        if event.kind is api.EventKind.CLEARED:
            self.switch_weights(event.weights_version)
        elif event.kind is api.EventKind.EVICTED:
            key = bytes.fromhex(event.block)
            self._keys.discard(key)
            self._eviction_age.record_eviction(key)
        elif event.weights_version == self.weights_version:
            key = bytes.fromhex(event.block)
            self._keys.add(key)
            self._eviction_age.record_use((key,))

    def count_cached_prefix(self, keys: Iterable[bytes]) -> int:
        """Returns how many of the keys, from the first on, are cached."""
        count = 0
        if not self.is_synced:
            return count
        for key in keys:
            if key not in self._keys:
                break
            count += 1
        return count


__all__ = ["BlockIndex"]
