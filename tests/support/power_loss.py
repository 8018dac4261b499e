"""Takes from folders what a loss of power takes: all that is not synced."""

from __future__ import annotations

import contextlib
import os
import pathlib
import shutil
import stat
from unittest import mock


class SyncRecorder:
    """Records the content of files and folders at each of their syncs.

    Attributes:
        has_power: Whether syncs are still recorded.
    """

    def __init__(self):
        self.has_power = True
        self._data_by_inode = {}
        self._inode_by_name_by_folder = {}

    @contextlib.contextmanager
    def recording(self):
        """Records the syncs of this process."""
        with contextlib.ExitStack() as stack:
            for name in ("fsync", "fdatasync"):
                real = getattr(os, name)
                stack.enter_context(
                    mock.patch.object(os, name, self._recorded(real))
                )
            yield

    def _recorded(self, sync):
        def recorded(descriptor):
            sync(descriptor)
            if self.has_power:
                self._record(descriptor)

        return recorded

    def _record(self, descriptor):
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self._inode_by_name_by_folder[path] = {
                entry.name: entry.inode() for entry in os.scandir(path)
            }
            return
        # a new file is durable with its own sync
        names = self._inode_by_name_by_folder.setdefault(path.parent, {})
        names[path.name] = status.st_ino
        self._data_by_inode[status.st_ino] = path.read_bytes()

    def lose_unsynced(self, folder):
        """Replaces a folder by what was synced of it."""
        synced = {
            path: {
                name: self._data_by_inode[inode]
                for name, inode in names.items()
                if inode in self._data_by_inode
            }
            for path, names in self._inode_by_name_by_folder.items()
            if path.is_relative_to(folder)
        }
        shutil.rmtree(folder)
        folder.mkdir()
        for path, data_by_name in synced.items():
            path.mkdir(parents=True, exist_ok=True)
            for name, data in data_by_name.items():
                (path / name).write_bytes(data)


__all__ = ["SyncRecorder"]
