"""Moves kept KV cache between the engine and the store beside it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.targets import api as targets_api
from lycheering.targets import kept as kept_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering import clock as clocks
    from lycheering.cache import pieces

MAX_LOOKUPS = 64
MAX_EXPORTED_KEYS = 4_096
MAX_EXPORTS_AT_ONCE = 2
FIRST_IMPORT_MS = 10.0
FIRST_LOOKUP_MS = 5.0
FIRST_EXPORT_MS = 10.0
SMOOTHING = 0.2

_LOG = logs.get("kept")


class KeptMover(app_api.Part):
    """Imports kept blocks where that is faster than computing them.

    Attributes:
        import_ms: Time to import one block.
        lookup_ms: Time to ask the store.
        export_ms: Time to export one block.
    """

    def __init__(self, store: kept_api.KeptStore, clock: clocks.Clock) -> None:
        self.import_ms = FIRST_IMPORT_MS
        self.lookup_ms = FIRST_LOOKUP_MS
        self.export_ms = FIRST_EXPORT_MS
        self._store = store
        self._clock = clock
        self._exported: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._exports = 0
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Begins with nothing."""

    async def stop(self) -> None:
        """Ends exports that are under way."""
        await self._tasks.cancel_all()

    async def bring(
        self,
        missing: Sequence[pieces.ChainLink],
        weights_version: str,
        piece_ms: float,
    ) -> int:
        """Imports what the store has of the pieces that are missing.

        Args:
            missing: The pieces, outermost first.
            weights_version: The weights that they must come from.
            piece_ms: Time to compute one of them.

        Returns:
            How many were imported.
        """
        gain_ms = len(missing) * (piece_ms - self.import_ms)
        if not missing or gain_ms <= self.lookup_ms:
            return 0
        try:
            asked_ms = self._clock.now_ms()
            found = await self._store.find(
                missing[:MAX_LOOKUPS], weights_version
            )
            found_ms = self._clock.now_ms()
            spent_ms = found_ms - asked_ms
            self.lookup_ms += SMOOTHING * (spent_ms - self.lookup_ms)
            if not found or piece_ms <= self.import_ms:
                return 0
            count = await self._store.fetch(found, weights_version)
        except targets_api.TargetError as error:
            _LOG.warning("import_failed", detail=str(error))
            return 0
        if count:
            spent_ms = self._clock.now_ms() - found_ms
            self.import_ms += SMOOTHING * (spent_ms / count - self.import_ms)
        return count

    def keep(self, computed: Sequence[pieces.ChainLink]) -> None:
        """Has pieces exported that were just computed, each once."""
        new = [link.key for link in computed if link.key not in self._exported]
        if not new or self._exports >= MAX_EXPORTS_AT_ONCE:
            return
        for key in new:
            self._exported[key] = None
        while len(self._exported) > MAX_EXPORTED_KEYS:
            self._exported.popitem(last=False)
        self._exports += 1
        self._tasks.spawn(self._keep(new), "kept:export")

    async def _keep(self, keys: Sequence[bytes]) -> None:
        try:
            await self._export(keys)
        except targets_api.TargetError as error:
            _LOG.warning("export_failed", detail=str(error))
            for key in keys:
                self._exported.pop(key, None)
        finally:
            self._exports -= 1

    async def absent(
        self, links: Sequence[pieces.ChainLink], weights_version: str
    ) -> list[pieces.ChainLink]:
        """Returns the pieces that the store lacks for the weights.

        Raises:
            TargetError: If the store can't be asked.
        """
        return await self._store.absent(links, weights_version)

    async def export(self, links: Sequence[pieces.ChainLink]) -> None:
        """Has the engine put pieces into the store now.

        Raises:
            TargetError: If the engine can't be asked.
        """
        await self._export([link.key for link in links])

    async def _export(self, keys: Sequence[bytes]) -> None:
        began_ms = self._clock.now_ms()
        await self._store.export(keys)
        spent_ms = (self._clock.now_ms() - began_ms) / len(keys)
        self.export_ms += SMOOTHING * (spent_ms - self.export_ms)


__all__ = ["KeptMover"]
