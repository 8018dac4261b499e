"""The durable state of one member of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.store import entries
from lycheering.store import errors
from lycheering.store import folder as folders
from lycheering.store import frames
from lycheering.store import hard_state
from lycheering.store import log
from lycheering.store import snapshots

if TYPE_CHECKING:
    import pathlib

_FOUNDERS_FILE = "founders"
_founders_decoder = msgspec.msgpack.Decoder(list[str])


class Storage:
    """The opened data folder of a member.

    Attributes:
        folder: The locked folder and its disk id.
        hard_state: The current term and vote.
        snapshots: The snapshot files.
        log: The log entries after the latest snapshot.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the data folder; must be called in a running event loop.

        Raises:
            FolderInUseError: Another process uses the folder.
            DamagedFileError: A file is damaged; the error has its path and
                offset.
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

    def load_founders(self) -> list[str]:
        """Returns the founders that were saved, empty if none were.

        Raises:
            DamagedFileError: The file is damaged.
        """
        path = self.folder.path / _FOUNDERS_FILE
        if not path.exists():
            return []
        body = frames.read_single(path)
        return frames.decode_body(path, body, _founders_decoder)

    def save_founders(self, founders: list[str]) -> None:
        """Saves the founders of a group that this member helps to create.

        Raises:
            NoRoomError: If the disk has no space left.
        """
        body = msgspec.msgpack.encode(founders)
        path = self.folder.path / _FOUNDERS_FILE
        folders.write_durably(path, frames.encode(body))

    @property
    def disk_id(self) -> str:
        """Random id created when the data folder was first used."""
        return self.folder.disk_id

    async def close(self) -> None:
        """Finishes pending writes and releases the folder.

        Writes that wait for disk space are abandoned.
        """
        self.folder.stop_retrying()
        await self.hard_state.close()
        await self.log.close()
        self.folder.close()

    def _check_hard_state(self, path: pathlib.Path) -> None:
        # The term is saved before any entry of it is written, so a log with a
        # later term means that the hard state file is outdated or lost.
        if self.log.last.term > self.hard_state.saved.term:
            reason = "older than the log"
            raise errors.DamagedFileError(path / "hard-state", 0, reason)


__all__ = ["Storage"]
