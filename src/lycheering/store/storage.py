"""All that a member of the replicated log keeps on its disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.store import entries
from lycheering.store import errors
from lycheering.store import folder as folders
from lycheering.store import hard_state
from lycheering.store import log
from lycheering.store import snapshots

if TYPE_CHECKING:
    import pathlib


class Storage:
    """The open data folder of a member.

    Attributes:
        folder: Lock and identity.
        hard_state: Term and vote.
        snapshots: The latest snapshot.
        log: The entries after it.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the data folder; needs a running event loop.

        Raises:
            FolderInUseError: Another process uses the folder.
            DamagedFileError: A file is damaged; names the place.
        """
        self.folder = folders.DataFolder(path)
        try:
            self.hard_state = hard_state.HardStateFile(self.folder)
            self.snapshots = snapshots.SnapshotFiles(self.folder)
            latest = self.snapshots.latest
            base = latest.position if latest else entries.Position()
            self.log = log.EntryLog(self.folder, base)
            self._check_hard_state(path)
        except BaseException:
            self.folder.close()
            raise

    @property
    def disk_id(self) -> str:
        """Random id of the disk."""
        return self.folder.disk_id

    async def close(self) -> None:
        """Finishes all writes that the disk takes and releases the folder."""
        self.folder.end_waits()
        await self.hard_state.close()
        await self.log.close()
        self.folder.close()

    def _check_hard_state(self, path: pathlib.Path) -> None:
        # entries are never written before the term they belong to
        if self.log.last.term > self.hard_state.saved.term:
            reason = "older than the log"
            raise errors.DamagedFileError(path / "hard-state", 0, reason)


__all__ = ["Storage"]
