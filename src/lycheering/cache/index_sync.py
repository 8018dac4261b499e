"""Keeps a block index in sync with an engine's cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock as clocks
    from lycheering.cache import api
    from lycheering.cache import block_index
    from lycheering.telemetry import counters as counting

RESYNC_DELAY_MS = 250

_LOG = logs.get("cache")


class IndexSynchronizer(app_api.Part):
    """Applies an engine's events to the index and lists blocks after gaps."""

    def __init__(
        self,
        source: api.EventSource,
        index: block_index.BlockIndex,
        clock: clocks.Clock,
        counters: counting.Counters,
    ) -> None:
        self._source = source
        self._index = index
        self._clock = clock
        self._counters = counters
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts the task that reads the engine's events."""
        self._tasks.spawn_with_restarts(self._run, "cache:feed")

    async def stop(self) -> None:
        """Cancels the task that reads the engine's events."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            try:
                await self._sync_until_gap()
                self._counters.increment("cache.gap")
            except targets_api.TargetError as error:
                self._counters.increment("cache.feed_lost")
                _LOG.debug("event_stream_failed", detail=str(error))
            self._index.invalidate()
            await self._clock.sleep(RESYNC_DELAY_MS)

    async def _sync_until_gap(self) -> None:
        listing = await self._source.list_blocks()
        self._index.restore(listing)
        _LOG.event(
            "index_synced",
            incarnation=listing.incarnation,
            weights_version=listing.weights_version,
            blocks=len(self._index),
        )
        async for event in self._source.cache_events(listing.seq + 1):
            if not self._index.apply(event):
                return


__all__ = ["RESYNC_DELAY_MS", "IndexSynchronizer"]
