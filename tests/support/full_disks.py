"""Simulates full disks below data folders."""

from __future__ import annotations

import errno
import os
from unittest import mock

from lycheering.store import folder as folders


class FullDisks:
    """Fails writes below some folders with ENOSPC after half of the bytes.

    Attributes:
        full_folders: The folders whose disk is full at present.
        failed_writes: Number of failed writes.
    """

    def __init__(self):
        self.full_folders = set()
        self.failed_writes = 0
        self._write_all = folders.write_all

    def _write(self, file, data):
        path = os.readlink(f"/proc/self/fd/{file}")
        if not any(
            path.startswith(f"{folder}/") for folder in self.full_folders
        ):
            self._write_all(file, data)
            return
        self.failed_writes += 1
        self._write_all(file, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def patch(self):
        """Returns a context in which writes below the `full_folders` fail."""
        return mock.patch.object(folders, "write_all", self._write)


__all__ = ["FullDisks"]
