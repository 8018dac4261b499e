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
        core = self._core
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return
        latest = core.store.snapshots.latest
        snapshot_index = latest.position.index if latest else 0
        index = core.applied_index
        if index - snapshot_index < core.settings.snapshot_entries:
            return
        term = core.log.term_at(index)
        assert term is not None
        position = entries.Position(index, term)
        configuration = core.history.at(index).encode()
        data = core.machine.snapshot()
        snapshot = snapshots.Snapshot(position, configuration, data)
        # runs in the background: a slow or full disk must not hold up the
        # entries that follow
        self._snapshot_task = core.spawn(
            self._save_snapshot(snapshot), "snapshot"
        )

    async def _save_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        core = self._core
        position = snapshot.position
        await core.store.snapshots.save(snapshot)
        if core.store.snapshots.latest is not snapshot:
            return
        core.history.discard_before(position.index)
        await core.log.compact(position, core.settings.retained_entries)
        _LOG.event(
            "snapshot_taken",
            index=position.index,
            bytes=len(snapshot.data),
            log_bytes=core.log.size(),
        )


__all__ = ["MAX_BATCH_ENTRIES", "Applier"]
