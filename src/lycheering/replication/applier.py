"""Applies committed entries and takes snapshots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.store import entries
from lycheering.store import snapshots
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores

APPLY_BATCH = 256

_LOG = logs.get("replication")


class Applier:
    """Brings the state machine up to the commit index."""

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self._saving: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Applies entries as they are committed."""
        core = self._core
        while True:
            await core.committed.wait()
            core.committed.clear()
            while core.applied_index < core.commit_index:
                self._apply_batch()
                self._snapshot_when_due()
                # lets heartbeats through while much is applied
                await asyncio.sleep(0)

    def _apply_batch(self) -> None:
        core = self._core
        last = min(core.commit_index, core.applied_index + APPLY_BATCH)
        for index in range(core.applied_index + 1, last + 1):
            entry = core.log.entry(index)
            result = b""
            if entry.kind == entries.EntryKind.COMMAND:
                result = core.machine.apply(index, entry.data)
            core.applied_index = index
            if core.leadership is not None:
                core.leadership.resolve(index, result)
            if entry.kind == entries.EntryKind.CONFIGURATION:
                self._leave_when_removed()
        core.applied.advance(core.applied_index)

    def _leave_when_removed(self) -> None:
        core = self._core
        if core.leadership is not None and not core.configuration.is_voter(
            core.id
        ):
            core.step_down("removed")

    def _snapshot_when_due(self) -> None:
        core = self._core
        if self._saving is not None and not self._saving.done():
            return
        latest = core.store.snapshots.latest
        before = latest.position.index if latest else 0
        index = core.applied_index
        if index - before < core.settings.snapshot_entries:
            return
        term = core.log.term_at(index)
        assert term is not None
        position = entries.Position(index, term)
        configuration = core.history.at(index).encode()
        data = core.machine.snapshot()
        snapshot = snapshots.Snapshot(position, configuration, data)
        # entries go on being applied, however slow or full the disk is
        self._saving = core.spawn(self._save(snapshot), "snapshot")

    async def _save(self, snapshot: snapshots.Snapshot) -> None:
        core = self._core
        position = snapshot.position
        await core.store.snapshots.save(snapshot)
        if core.store.snapshots.latest is not snapshot:
            return
        core.history.forget_before(position.index)
        await core.log.compact(position, core.settings.kept_entries)
        _LOG.event(
            "snapshot_taken",
            index=position.index,
            bytes=len(snapshot.data),
            log_bytes=core.log.size(),
        )


__all__ = ["APPLY_BATCH", "Applier"]
