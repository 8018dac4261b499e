"""Moves KV cache blocks between the engine and the KV store beside it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.targets import api as targets_api
from lycheering.targets import kv_store_client
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import prompt_pieces

MAX_LOOKUPS = 64
MAX_EXPORTED_KEYS = 4_096
MAX_CONCURRENT_EXPORTS = 2
INITIAL_IMPORT_MS = 10.0
INITIAL_LOOKUP_MS = 5.0
INITIAL_EXPORT_MS = 10.0
SMOOTHING = 0.2

_LOG = logs.get("kv_transfer")


class KvTransfer(app_api.Part):
    """Imports blocks from the KV store, and exports blocks to it.

    Blocks are imported only where that is faster than to compute them.

    Attributes:
        import_ms: Moving average of the time to import one block.
        lookup_ms: Moving average of the time of a look-up in the store.
        export_ms: Moving average of the time to export one block.
    """

    def __init__(
        self, store: kv_store_client.KvStoreClient, clock: clocks.Clock
    ) -> None:
        self.import_ms = INITIAL_IMPORT_MS
        self.lookup_ms = INITIAL_LOOKUP_MS
        self.export_ms = INITIAL_EXPORT_MS
        self._store = store
        self._clock = clock
        self._exported_keys: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._running_exports = 0
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Does nothing; transfers start on demand."""

    async def stop(self) -> None:
        """Cancels the exports in progress."""
        await self._tasks.cancel_all()

    async def import_missing(
        self,
        missing: Sequence[prompt_pieces.PieceKey],
        weights_version: str,
        piece_ms: float,
    ) -> int:
        """Imports those of the missing pieces that the store has.

        Nothing is looked up if the import can't save more time than the
        look-up takes.

        Args:
            missing: The pieces that the engine lacks, outermost first.
            weights_version: The weights they must have been computed with.
            piece_ms: Time to compute one piece, in ms.

        Returns:
            The number of pieces imported.
        """
        saved_ms = len(missing) * (piece_ms - self.import_ms)
        if not missing or saved_ms <= self.lookup_ms:
            return 0
        try:
            started_ms = self._clock.now_ms()
            found = await self._store.find_stored_prefix(
                missing[:MAX_LOOKUPS], weights_version
            )
            found_ms = self._clock.now_ms()
            spent_ms = found_ms - started_ms
            self.lookup_ms += SMOOTHING * (spent_ms - self.lookup_ms)
            if not found or piece_ms <= self.import_ms:
                return 0
            count = await self._store.import_pieces(found, weights_version)
        except targets_api.TargetError as error:
            _LOG.warning("import_failed", detail=str(error))
            return 0
        if count:
            spent_ms = self._clock.now_ms() - found_ms
            self.import_ms += SMOOTHING * (spent_ms / count - self.import_ms)
        return count

    def export_computed(
        self, computed: Sequence[prompt_pieces.PieceKey]
    ) -> None:
        """Starts to export pieces that were just computed.

        A piece is exported only once. Nothing is exported while too many
        exports are in progress.
        """
        new_keys = [
            piece_key.key
            for piece_key in computed
            if piece_key.key not in self._exported_keys
        ]
        if not new_keys or self._running_exports >= MAX_CONCURRENT_EXPORTS:
            return
        for key in new_keys:
            self._exported_keys[key] = None
        while len(self._exported_keys) > MAX_EXPORTED_KEYS:
            self._exported_keys.popitem(last=False)
        self._running_exports += 1
        self._tasks.spawn(
            self._export_or_forget(new_keys), "kv_transfer:export"
        )

    async def _export_or_forget(self, keys: Sequence[bytes]) -> None:
        try:
            await self._export(keys)
        except targets_api.TargetError as error:
            _LOG.warning("export_failed", detail=str(error))
            for key in keys:
                self._exported_keys.pop(key, None)
        finally:
            self._running_exports -= 1

    async def absent(
        self, piece_keys: Sequence[prompt_pieces.PieceKey], weights_version: str
    ) -> list[prompt_pieces.PieceKey]:
        """Returns the pieces that the store lacks for a weights version.

        Raises:
            TargetError: If the look-up in the store fails.
        """
        return await self._store.find_unstored(piece_keys, weights_version)

    async def export(
        self, piece_keys: Sequence[prompt_pieces.PieceKey]
    ) -> None:
        """Has the engine export pieces to the store.

        Raises:
            TargetError: If the request to the engine fails.
        """
        await self._export([piece_key.key for piece_key in piece_keys])

    async def _export(self, keys: Sequence[bytes]) -> None:
        started_ms = self._clock.now_ms()
        await self._store.export_pieces(keys)
        spent_ms = (self._clock.now_ms() - started_ms) / len(keys)
        self.export_ms += SMOOTHING * (spent_ms - self.export_ms)


__all__ = ["KvTransfer"]
