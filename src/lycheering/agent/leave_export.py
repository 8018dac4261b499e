"""Exports the most used KV cache blocks of a target that leaves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheering.agent import context as contexts
    from lycheering.agent import kv_transfer
    from lycheering.cache import prompt_pieces

BLOCKS_PER_BATCH = 16

_LOG = logs.get("leave_export")


class LeaveExport(app_api.Part):
    """Exports the most used pieces of a leaving target to the KV store.

    The targets that take over its requests import them from there. Options
    limit the time of the export and the number of pieces.

    Attributes:
        exported_count: The number of pieces that the last export added to
            the store.
    """

    def __init__(
        self, context: contexts.Context, transfer: kv_transfer.KvTransfer
    ) -> None:
        self.exported_count = 0
        self._context = context
        self._transfer = transfer
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Does nothing; the export starts with the drain."""

    def begin(self) -> None:
        """Starts an export unless one is running or none is allowed."""
        context = self._context
        fleet = context.holder.fleet
        limit_ms = fleet.integer("kv.leave_export_ms", context.subject)
        is_running = self._task is not None and not self._task.done()
        if is_running or not limit_ms:
            return
        max_blocks = fleet.integer("kv.leave_export_blocks", context.subject)
        self._task = asyncio.create_task(
            self._run(limit_ms, max_blocks), name="agent:leave_export"
        )

    async def drain(self) -> None:
        """Waits for the export, whose duration is limited by an option."""
        if self._task is not None:
            await asyncio.wait([self._task])

    async def stop(self) -> None:
        """Cancels the export."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, limit_ms: float, max_blocks: int) -> None:
        self.exported_count = 0
        failure = ""
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await self._export_batches(
                    self._keys_worth_exporting()[:max_blocks]
                )
        except TimeoutError:
            failure = "timed out"
        except targets_api.TargetError as error:
            failure = str(error)
        if failure:
            self._context.counters.increment("kept.leave_export_failed")
        _LOG.event(
            "export_ended", exported=self.exported_count, failure=failure
        )

    def _keys_worth_exporting(self) -> list[prompt_pieces.PieceKey]:
        """Returns cached pieces whose reuse saves more than their export costs.

        The most used pieces come first.
        """
        context = self._context
        transfer = self._transfer
        saved_ms = context.cost_model.piece_ms - transfer.import_ms
        if saved_ms <= 0 or not self._is_index_current():
            return []
        # a piece used once is no evidence of further use, so the minimum of
        # uses is above one
        uses = context.piece_uses.most_used(1.0 + transfer.export_ms / saved_ms)
        piece_keys = [use.piece_key for use in uses]
        return [
            x for x in piece_keys if context.index.count_cached_prefix((x.key,))
        ]

    def _is_index_current(self) -> bool:
        context = self._context
        version = context.state.weights_version
        return (
            context.index.is_synced and context.index.weights_version == version
        )

    async def _export_batches(
        self, piece_keys: Sequence[prompt_pieces.PieceKey]
    ) -> None:
        version = self._context.index.weights_version
        for start in range(0, len(piece_keys), BLOCKS_PER_BATCH):
            batch = piece_keys[start : start + BLOCKS_PER_BATCH]
            absent = await self._transfer.absent(batch, version)
            if self._context.index.weights_version != version:
                # the engine dropped the blocks of the previous weights
                return
            if absent:
                await self._transfer.export(absent)
            self.exported_count += len(absent)
            self._context.counters.increment("kept.leave_exported", len(absent))


__all__ = ["BLOCKS_PER_BATCH", "LeaveExport"]
