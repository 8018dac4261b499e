"""The data folder: lock, identity of the disk, durable file operations."""

from __future__ import annotations

import asyncio
import concurrent.futures
import fcntl
import os
import pathlib
import secrets
from typing import TYPE_CHECKING
from typing import TypeVar

from lycheering.store import errors
from lycheering.store import frames

if TYPE_CHECKING:
    from collections.abc import Callable

_T = TypeVar("_T")

DISK_ID_BYTES = 8
_LOCK_FILE = "lock"
_DISK_ID_FILE = "disk-id"


class DataFolder:
    """A folder on a disk that one process at a time may use.

    File operations run in one thread, in the order they were asked for. Long
    ones have a thread of their own, so that syncs of the log do not wait.

    Attributes:
        path: Where the folder is.
        disk_id: Random id made when the folder was first used.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the folder, and creates it when missing.

        Raises:
            FolderInUseError: Another process uses the folder.
            DamagedFileError: The folder holds files but no identity.
        """
        self.path = path
        if not path.exists():
            path.mkdir(parents=True)
            sync_folder(path.parent)
        self._lock = self._acquire_lock()
        try:
            self.disk_id = self._load_disk_id()
        except BaseException:
            os.close(self._lock)
            raise
        self._thread = _start_thread("store")
        self._long_thread = _start_thread("store-long")

    async def run(self, operation: Callable[[], _T]) -> _T:
        """Runs a file operation in the folder's thread."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._thread, operation)

    async def run_long(self, operation: Callable[[], _T]) -> _T:
        """Runs a long file operation beside the others."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._long_thread, operation)

    def close(self) -> None:
        """Waits for running file operations and releases the folder."""
        self._thread.shutdown(wait=True)
        self._long_thread.shutdown(wait=True)
        os.close(self._lock)

    def _acquire_lock(self) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        lock = os.open(self.path / _LOCK_FILE, flags, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(lock)
            message = f"{self.path}: in use by another process"
            raise errors.FolderInUseError(message) from error
        return lock

    def _load_disk_id(self) -> str:
        path = self.path / _DISK_ID_FILE
        if path.exists():
            return frames.read_single(path).decode()
        known = {_LOCK_FILE, temporary(path).name}
        others = {file.name for file in self.path.iterdir()} - known
        if others:
            reason = "missing although the folder holds files"
            raise errors.DamagedFileError(path, 0, reason)
        disk_id = secrets.token_hex(DISK_ID_BYTES)
        write_durably(path, frames.encode(disk_id.encode()))
        return disk_id


def _start_thread(name: str) -> concurrent.futures.ThreadPoolExecutor:
    return concurrent.futures.ThreadPoolExecutor(1, thread_name_prefix=name)


def temporary(path: pathlib.Path) -> pathlib.Path:
    """Returns where a file is written before it takes its name."""
    return path.with_name(f"{path.name}.new")


def sync_folder(path: pathlib.Path) -> None:
    """Makes created, renamed and removed files of a folder durable."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write_durably(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file so that a crash leaves the old or the new content."""
    new = temporary(path)
    with open(new, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.rename(path)
    sync_folder(path.parent)


__all__ = [
    "DISK_ID_BYTES",
    "DataFolder",
    "sync_folder",
    "temporary",
    "write_durably",
]
