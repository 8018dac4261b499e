"""Storage of state machine snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheering.store import entries
from lycheering.store import folder as folders
from lycheering.store import frames

if TYPE_CHECKING:
    import pathlib

_PREFIX = "snapshot-"
_SUFFIX = ".data"


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after all entries up to a position.

    Attributes:
        position: Position of the last entry that the snapshot covers.
        configuration: The encoded member configuration at that position.
        data: The encoded state of the state machine.
    """

    position: entries.Position
    configuration: bytes
    data: bytes


_decoder = msgspec.msgpack.Decoder(Snapshot)


class SnapshotFiles:
    """Loads and saves the latest snapshot of a data folder.

    Attributes:
        latest: The latest snapshot, or None if there is none.
    """

    def __init__(self, folder: folders.DataFolder) -> None:
        """Loads the latest snapshot.

        Raises:
            DamagedFileError: The latest snapshot file is damaged.
        """
        self._folder = folder
        self.latest: Snapshot | None = None
        paths = self._paths()
        if paths:
            body = frames.read_single(paths[-1])
            self.latest = frames.decode_body(paths[-1], body, _decoder)

    async def save(self, snapshot: Snapshot) -> None:
        """Makes a snapshot durable, then removes older snapshot files."""
        await self._folder.run_long(lambda: self._write(snapshot))
        latest = self.latest
        if latest is None or latest.position.index < snapshot.position.index:
            self.latest = snapshot

    def _write(self, snapshot: Snapshot) -> None:
        name = f"{_PREFIX}{snapshot.position.index:020d}{_SUFFIX}"
        path = self._folder.path / name
        body = msgspec.msgpack.encode(snapshot)
        folders.write_durably(path, frames.encode(body))
        older = [other for other in self._paths() if other.name < name]
        for other in older:
            other.unlink()
        if older:
            folders.sync_folder(self._folder.path)

    def _paths(self) -> list[pathlib.Path]:
        return sorted(self._folder.path.glob(f"{_PREFIX}*{_SUFFIX}"))


__all__ = ["Snapshot", "SnapshotFiles"]
