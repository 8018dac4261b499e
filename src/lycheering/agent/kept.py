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
SMOOTHING = 0.2

_LOG = logs.get("kept")


class KeptMover(app_api.Part):
    """Imports kept blocks where that is faster than computing them.

    Attributes:
        import_ms: Time to import one block.
        lookup_ms: Time to ask the store.
    """

    def __init__(self, store: kept_api.KeptStore, clock: clocks.Clock) -> None:
        self.import_ms = FIRST_IMPORT_MS
        self.lookup_ms = FIRST_LOOKUP_MS
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
        self._tasks.spawn(self._export(new), "kept:export")

    async def _export(self, keys: Sequence[bytes]) -> None:
        try:
            await self._store.export(keys)
        except targets_api.TargetError as error:
            _LOG.warning("export_failed", detail=str(error))
        finally:
            self._exports -= 1


__all__ = ["KeptMover"]
