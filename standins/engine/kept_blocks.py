"""Exchanges blocks with the store of kept KV cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blacksheep

from standins.engine import cache

if TYPE_CHECKING:
    from collections.abc import Sequence

    from blacksheep import client

    from lycheering import clock
    from standins.engine import messages

BLOCK_BODY_BYTES = 64


class KeptBlocks:
    """Exports and imports blocks.

    Attributes:
        store: URL of the store; empty without one.
        prefix_cache: The engine's cache.
        import_ms_per_piece: Time to load one block.
        clock: The clock.
    """

    def __init__(
        self,
        store: str,
        prefix_cache: cache.PrefixCache,
        import_ms_per_piece: float,
        engine_clock: clock.Clock,
    ) -> None:
        self.store = store
        self.prefix_cache = prefix_cache
        self.import_ms_per_piece = import_ms_per_piece
        self.clock = engine_clock

    async def export(
        self, keys: Sequence[str], session: client.ClientSession
    ) -> list[str]:
        """Puts cached blocks into the store.

        Args:
            keys: Keys of the blocks.
            session: The client for the store.

        Returns:
            The keys that the store has taken.
        """
        exported = []
        for key in keys:
            block = self.prefix_cache.block_by_key.get(key)
            if block is None or not self.store:
                continue
            version = self.prefix_cache.weights_version
            response = await session.put(
                f"{self.store}/kv/{key}",
                blacksheep.Content(
                    b"application/octet-stream", b"k" * BLOCK_BODY_BYTES
                ),
                headers=[
                    (b"X-Weights-Version", version.encode()),
                    (b"X-Scope", block.salt.encode()),
                ],
            )
            if response is not None and response.status < 300:
                exported.append(key)
        return exported

    async def fetch(
        self,
        blocks: Sequence[messages.BlockName],
        weights_version: str,
        session: client.ClientSession,
    ) -> list[str]:
        """Loads kept blocks into the cache.

        Args:
            blocks: The blocks, outermost first.
            weights_version: Version that the blocks must have.
            session: The client for the store.

        Returns:
            The keys now in the cache.
        """
        found: list[cache.Block] = []
        for name in blocks:
            block = cache.Block(name.block, name.parent, name.salt)
            if not await self._is_kept(block, weights_version, session):
                break
            await self.clock.sleep(self.import_ms_per_piece)
            found.append(block)
        if weights_version != self.prefix_cache.weights_version:
            return []
        self.prefix_cache.store(found)
        return [block.block for block in found]

    async def _is_kept(
        self,
        block: cache.Block,
        weights_version: str,
        session: client.ClientSession,
    ) -> bool:
        if block.block in self.prefix_cache.block_by_key:
            return True
        if not self.store:
            return False
        response = await session.get(f"{self.store}/kv/{block.block}")
        if response is None or response.status != 200:
            return False
        await response.read()
        version = response.get_first_header(b"x-weights-version")
        scope = response.get_first_header(b"x-scope")
        return (version, scope) == (
            weights_version.encode(),
            block.salt.encode(),
        )


__all__ = ["KeptBlocks"]
