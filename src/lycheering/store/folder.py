"""The data folder: its lock, its disk id and durable file operations."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import errno
import fcntl
import os
import pathlib
import secrets
from typing import TYPE_CHECKING
from typing import TypeVar

from lycheering.store import errors
from lycheering.store import frames
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

_T = TypeVar("_T")

DISK_ID_BYTES = 8
# Pause before a write that failed for lack of disk space is retried.
NO_SPACE_RETRY_PAUSE_S = 0.2
_NO_SPACE_ERROR_NUMBERS = frozenset({errno.ENOSPC, errno.EDQUOT})
_LOCK_FILE = "lock"
_DISK_ID_FILE = "disk-id"

_LOG = logs.get("store")


class DataFolder:
    """A folder on disk, locked by one process at a time.

    File operations run in one thread, in the order of submission. Long
    operations have a second thread, so that they do not delay syncs of the log.

    Attributes:
        path: Path of the folder.
        disk_id: Random id created when the folder was first used.
        is_full: Whether the last write failed for lack of disk space.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Opens and locks the folder; creates it if it is missing.

        Raises:
            FolderInUseError: Another process has locked the folder.
            DamagedFileError: The folder has files but no valid disk id.
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
        self.is_full = False
        self._is_closing = asyncio.Event()
        self._thread = _start_thread("store")
        self._long_thread = _start_thread("store-long")

    async def run(self, operation: Callable[[], _T]) -> _T:
        """Runs a file operation in the main thread of the folder.

        Raises:
            NoRoomError: If the folder is closed before the disk has space.
        """
        return await self._run(self._thread, operation)

    async def run_long(self, operation: Callable[[], _T]) -> _T:
        """Runs a long file operation in parallel to the short ones.

        Raises:
            NoRoomError: If the folder is closed before the disk has space.
        """
        return await self._run(self._long_thread, operation)

    async def _run(
        self,
        thread: concurrent.futures.ThreadPoolExecutor,
        operation: Callable[[], _T],
    ) -> _T:
        """Runs an operation; retries it while the disk has no space.

        A full disk is treated like a slow one. That is safe: data that could
        not be written has not been reported as durable to anyone.
        """
        loop = asyncio.get_running_loop()
        had_no_space = False
        while True:
            try:
                result = await loop.run_in_executor(thread, operation)
            except errors.NoRoomError as error:
                if self._is_closing.is_set():
                    raise
                had_no_space = True
                self._update_is_full(error)
            else:
                if had_no_space:
                    self._update_is_full(None)
                return result
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(NO_SPACE_RETRY_PAUSE_S):
                    await self._is_closing.wait()

    def _update_is_full(self, error: errors.NoRoomError | None) -> None:
        if error is not None and not self.is_full:
            _LOG.error("disk_full", folder=self.path, error=error)
        elif error is None and self.is_full:
            _LOG.event("disk_no_longer_full", folder=self.path)
        self.is_full = error is not None

    def stop_retrying(self) -> None:
        """Lets operations that wait for disk space fail, for a shutdown."""
        self._is_closing.set()

    def close(self) -> None:
        """Waits for running file operations and unlocks the folder."""
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
            message = f"{self.path}: locked by another process"
            raise errors.FolderInUseError(message) from error
        return lock

    def _load_disk_id(self) -> str:
        path = self.path / _DISK_ID_FILE
        if path.exists():
            body = frames.read_single(path)
            try:
                return body.decode()
            except UnicodeDecodeError as error:
                raise errors.DamagedFileError(path, 0, str(error)) from error
        expected = {_LOCK_FILE, temporary_path(path).name}
        others = {file.name for file in self.path.iterdir()} - expected
        if others:
            reason = "file is missing but the folder is not empty"
            raise errors.DamagedFileError(path, 0, reason)
        disk_id = secrets.token_hex(DISK_ID_BYTES)
        write_durably(path, frames.encode(disk_id.encode()))
        return disk_id


def _start_thread(name: str) -> concurrent.futures.ThreadPoolExecutor:
    return concurrent.futures.ThreadPoolExecutor(1, thread_name_prefix=name)


def temporary_path(path: pathlib.Path) -> pathlib.Path:
    """Returns the path that a file is written to before it is renamed."""
    return path.with_name(f"{path.name}.new")


def sync_folder(path: pathlib.Path) -> None:
    """Makes the creation, renaming and removal of files in a folder durable."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write_all(file: int, data: bytes) -> None:
    """Writes all bytes to an open file."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]


@contextlib.contextmanager
def converting_no_space_errors() -> Iterator[None]:
    """Raises NoRoomError in place of an OSError for lack of disk space."""
    try:
        yield
    except OSError as error:
        if error.errno in _NO_SPACE_ERROR_NUMBERS:
            raise errors.NoRoomError(str(error)) from error
        raise


def write_durably(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file atomically: a crash leaves the old or the new content.

    Raises:
        NoRoomError: If the disk has no space left; the old content stays.
    """
    new_path = temporary_path(path)
    # A retry truncates what a failed write left in the new file.
    with (
        converting_no_space_errors(),
        open(new_path, "wb", buffering=0) as file,
    ):
        write_all(file.fileno(), data)
        os.fsync(file.fileno())
    new_path.rename(path)
    sync_folder(path.parent)


__all__ = [
    "DISK_ID_BYTES",
    "NO_SPACE_RETRY_PAUSE_S",
    "DataFolder",
    "converting_no_space_errors",
    "sync_folder",
    "temporary_path",
    "write_all",
    "write_durably",
]
