"""The log of one member: entries in memory, written to disk in groups."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.store import entries as log_entries
from lycheering.store import errors
from lycheering.store import segments

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.store import folder as folders


@dataclasses.dataclass
class _Waiter:
    batch_count: int
    done: asyncio.Future[None]


class EntryLog:
    """Log entries after the latest snapshot, and some before it.

    Appended entries are readable from memory at once. Entries that are appended
    while a sync runs are written together by the next one.

    Attributes:
        synced_index: Last index that is durable.
        on_synced: Callback that is called after each sync, and after a failure.
        failure: Error after which the log accepts no writes, or None.
    """

    def __init__(
        self, folder: folders.DataFolder, base: log_entries.Position
    ) -> None:
        """Loads the log.

        Args:
            folder: The data folder.
            base: Position of the latest snapshot.

        Raises:
            DamagedFileError: A file is damaged or entries are missing.
        """
        self._folder = folder
        self._files = segments.SegmentFiles(folder.path)
        self._entries: list[log_entries.Entry] = []
        self._first_index = 1
        self._base = base
        self._pending: list[log_entries.Batch] = []
        self._waiters: list[_Waiter] = []
        self._appended_count = 0
        self._written_count = 0
        self._flush_task: asyncio.Task[None] | None = None
        self.on_synced: Callable[[], None] = lambda: None
        self.failure: errors.WriteFailedError | None = None
        for batch in self._files.load():
            self._apply(batch)
        self._reconcile_with_base()
        self.synced_index = self.last_index

    @property
    def first_index(self) -> int:
        """The first index that is in memory."""
        return self._first_index

    @property
    def last_index(self) -> int:
        """The last index, whether it is synced or not."""
        return self._first_index + len(self._entries) - 1

    @property
    def last(self) -> log_entries.Position:
        """The position of the last entry."""
        term = self.term_at(self.last_index)
        assert term is not None
        return log_entries.Position(self.last_index, term)

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the entry was dropped."""
        if self._first_index <= index <= self.last_index:
            return self._entries[index - self._first_index].term
        if index == self._base.index:
            return self._base.term
        return None

    def entry(self, index: int) -> log_entries.Entry:
        """Returns an entry; its index must be in memory."""
        return self._entries[index - self._first_index]

    def read(
        self, first_index: int, max_entries: int, max_bytes: int
    ) -> list[log_entries.Entry]:
        """Returns entries from an index on, within limits.

        The first entry is returned even if it exceeds the limit of bytes.

        Args:
            first_index: Index of the first entry to return.
            max_entries: Maximum number of entries.
            max_bytes: Maximum total size of their data.
        """
        start = first_index - self._first_index
        found: list[log_entries.Entry] = []
        size_bytes = 0
        for entry in self._entries[start : start + max_entries]:
            size_bytes += len(entry.data)
            if found and size_bytes > max_bytes:
                break
            found.append(entry)
        return found

    def append(
        self, first_index: int, entries: list[log_entries.Entry]
    ) -> None:
        """Writes entries at an index; drops existing entries from there on.

        Raises:
            WriteFailedError: An earlier write failed.
        """
        self._queue(log_entries.Batch(first_index, entries))

    def reset(self, base: log_entries.Position) -> None:
        """Drops all entries; the next entry follows the snapshot at `base`."""
        self._base = base
        self._queue(log_entries.Batch(base.index + 1, [], is_reset=True))

    async def sync(self) -> None:
        """Waits until all entries appended before the call are durable.

        Raises:
            WriteFailedError: A write or sync failed.
        """
        if self.failure is not None:
            raise self.failure
        if self._written_count >= self._appended_count:
            return
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(self._appended_count, done))
        await done

    async def compact(
        self,
        base: log_entries.Position,
        keep_entries: int,
        keep_bytes: int,
    ) -> None:
        """Drops entries that a snapshot covers, from memory and disk.

        Args:
            base: Position of the snapshot.
            keep_entries: Most entries up to `base` to keep, for members that
                lag behind.
            keep_bytes: Most bytes of their data.
        """
        self._base = base
        first_index = self._first_kept(base.index, keep_entries, keep_bytes)
        if first_index > self._first_index:
            del self._entries[: first_index - self._first_index]
            self._first_index = first_index
        removable = self._first_index - 1
        await self._folder.run(lambda: self._files.remove_up_to(removable))

    def size(self) -> int:
        """Returns the total length of the log files, in bytes."""
        return self._files.size()

    async def close(self) -> None:
        """Finishes pending writes and closes the files."""
        if self._flush_task is not None:
            await self._flush_task
        await self._folder.run(self._files.close)

    def _queue(self, batch: log_entries.Batch) -> None:
        if self.failure is not None:
            raise self.failure
        self._apply(batch)
        self.synced_index = min(self.synced_index, batch.first_index - 1)
        self._pending.append(batch)
        self._appended_count += 1
        if self._flush_task is None:
            self._flush_task = asyncio.create_task(self._flush_pending())

    def _apply(self, batch: log_entries.Batch) -> None:
        keeps_earlier = (
            not batch.is_reset
            and self._first_index < batch.first_index <= self.last_index + 1
        )
        if keeps_earlier:
            del self._entries[batch.first_index - self._first_index :]
            self._entries.extend(batch.entries)
        else:
            self._first_index = batch.first_index
            self._entries = list(batch.entries)

    def _first_kept(
        self, last_index: int, keep_entries: int, keep_bytes: int
    ) -> int:
        lowest = max(self._first_index, last_index + 1 - keep_entries)
        size_bytes = 0
        for index in range(last_index, lowest - 1, -1):
            size_bytes += len(self.entry(index).data)
            if size_bytes > keep_bytes:
                return index + 1
        return lowest

    def _reconcile_with_base(self) -> None:
        base = self._base
        if self.last_index < base.index:
            self._first_index = base.index + 1
            self._entries = []
            return
        if self._first_index > base.index + 1:
            reason = (
                f"expected entry {base.index + 1}, but the log starts at"
                f" {self._first_index}"
            )
            raise errors.DamagedFileError(self._folder.path, 0, reason)
        if self.term_at(base.index) != base.term:
            self.synced_index = 0
            self.reset(base)

    async def _flush_pending(self) -> None:
        try:
            while self._pending:
                await self._flush_once()
        except (OSError, errors.NoRoomError) as error:
            self._fail(error)
        finally:
            self._flush_task = None

    async def _flush_once(self) -> None:
        batches = _merge(self._pending)
        self._pending = []
        last_index = self.last_index
        written_count = self._appended_count
        await self._folder.run(lambda: self._files.write(batches))
        unchanged_indexes = [batch.first_index - 1 for batch in self._pending]
        self.synced_index = min([last_index, *unchanged_indexes])
        self._written_count = written_count
        waiting = self._waiters
        self._waiters = [
            waiter for waiter in waiting if waiter.batch_count > written_count
        ]
        for waiter in waiting:
            if waiter.batch_count <= written_count and not waiter.done.done():
                waiter.done.set_result(None)
        self.on_synced()

    def _fail(self, error: Exception) -> None:
        # A failed sync may have dropped the data, so a retry could succeed
        # without it.
        self.failure = errors.WriteFailedError(str(error))
        self.failure.__cause__ = error
        for waiter in self._waiters:
            if not waiter.done.done():
                waiter.done.set_exception(self.failure)
        self._waiters = []
        self.on_synced()


def _merge(batches: list[log_entries.Batch]) -> list[log_entries.Batch]:
    """Merges consecutive batches, so that fewer batches are encoded."""
    merged: list[log_entries.Batch] = []
    for batch in batches:
        last = merged[-1] if merged else None
        is_consecutive = (
            last is not None
            and not batch.is_reset
            and batch.first_index == last.first_index + len(last.entries)
        )
        if last is not None and is_consecutive:
            last.entries.extend(batch.entries)
        else:
            copied = list(batch.entries)
            merged.append(
                log_entries.Batch(batch.first_index, copied, batch.is_reset)
            )
    return merged


__all__ = ["EntryLog"]
