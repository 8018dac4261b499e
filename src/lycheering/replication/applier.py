"""Applies committed entries to the state machine and takes snapshots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.store import entries
from lycheering.store import snapshots
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores

MAX_BATCH_ENTRIES = 256

_LOG = logs.get("replication")


class Applier:
    """Applies entries to the state machine up to the commit index."""

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self._snapshot_task: asyncio.Task[None] | None = None
        # bytes of the entries applied since the last snapshot
        self._applied_bytes = 0

    async def run(self) -> None:
        """Applies entries as they are committed, until cancelled."""
        core = self._core
        while True:
            await core.committed.wait()
            core.committed.clear()
            while core.applied_index < core.commit_index:
                self._apply_batch()
                self._snapshot_if_due()
                # yields to the event loop, so that a long backlog does not
                # delay heartbeats
                await asyncio.sleep(0)

    def _apply_batch(self) -> None:
        core = self._core
        last = min(core.commit_index, core.applied_index + MAX_BATCH_ENTRIES)
        for index in range(core.applied_index + 1, last + 1):
            entry = core.log.entry(index)
            result = b""
            if entry.kind == entries.EntryKind.COMMAND:
                result = core.machine.apply(index, entry.data)
            core.applied_index = index
            self._applied_bytes += len(entry.data)
            if core.leadership is not None:
                core.leadership.resolve(index, result)
            if entry.kind == entries.EntryKind.CONFIGURATION:
                self._step_down_if_removed()
        core.applied.advance(core.applied_index)

    def _step_down_if_removed(self) -> None:
        core = self._core
        if core.leadership is not None and not core.configuration.is_voter(
            core.id
        ):
            core.step_down("removed")

    def _snapshot_if_due(self) -> None:
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        if self._is_snapshot_due():
            # runs in the background: a slow or full disk must not hold up the
            # entries that follow
            self._snapshot_task = self._core.spawn(
                self._snapshot_while_due(), "snapshot"
            )

    def _is_snapshot_due(self) -> bool:
        core = self._core
        latest = core.store.snapshots.latest
        snapshot_index = latest.position.index if latest else 0
        new_entries = core.applied_index - snapshot_index
        return new_entries > 0 and (
            new_entries >= core.settings.snapshot_entries
            or self._applied_bytes >= core.settings.snapshot_bytes
        )

    async def _snapshot_while_due(self) -> None:
        """Takes snapshots; the next may be due once one is written."""
        while self._is_snapshot_due():
            await self._save_snapshot(self._make_snapshot())

    def _make_snapshot(self) -> snapshots.Snapshot:
        core = self._core
        self._applied_bytes = 0
        index = core.applied_index
        term = core.log.term_at(index)
        assert term is not None
        position = entries.Position(index, term)
        configuration = core.history.at(index).encode()
        return snapshots.Snapshot(
            position, configuration, core.machine.snapshot()
        )

    async def _save_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        core = self._core
        position = snapshot.position
        await core.store.snapshots.save(snapshot)
        if core.store.snapshots.latest is not snapshot:
            return
        core.history.discard_before(position.index)
        await core.log.compact(
            position,
            core.settings.retained_entries,
            core.settings.retained_bytes,
        )
        _LOG.event(
            "snapshot_taken",
            index=position.index,
            bytes=len(snapshot.data),
            log_bytes=core.log.size(),
        )


__all__ = ["MAX_BATCH_ENTRIES", "Applier"]
