"""The log of one member: entries in memory, synced in groups."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.store import entries as items
from lycheering.store import errors
from lycheering.store import segments

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.store import folder as folders


@dataclasses.dataclass
class _Waiter:
    write_number: int
    done: asyncio.Future[None]


class EntryLog:
    """Entries after the last snapshot, and a few before it.

    Appending takes effect in memory at once; all that was appended while a
    sync runs goes into the next one.

    Attributes:
        synced_index: Last index that is durable.
        on_synced: Called after each sync.
        failure: Why nothing more can be written, if so.
    """

    def __init__(
        self, folder: folders.DataFolder, base: items.Position
    ) -> None:
        """Loads the log.

        Args:
            folder: Where the files are.
            base: Position of the last snapshot.

        Raises:
            DamagedFileError: The files do not hold the whole log.
        """
        self._folder = folder
        self._files = segments.SegmentFiles(folder.path)
        self._entries: list[items.Entry] = []
        self._first_index = 1
        self._base = base
        self._pending: list[items.Batch] = []
        self._waiters: list[_Waiter] = []
        self._appended = 0
        self._written = 0
        self._flush: asyncio.Task[None] | None = None
        self.on_synced: Callable[[], None] = lambda: None
        self.failure: errors.WriteFailedError | None = None
        for batch in self._files.load():
            self._take(batch)
        self._fit_to_base()
        self.synced_index = self.last_index

    @property
    def first_index(self) -> int:
        """The first index held in memory."""
        return self._first_index

    @property
    def last_index(self) -> int:
        """The last index, synced or not."""
        return self._first_index + len(self._entries) - 1

    @property
    def last(self) -> items.Position:
        """The position of the last entry."""
        term = self.term_at(self.last_index)
        assert term is not None
        return items.Position(self.last_index, term)

    def term_at(self, index: int) -> int | None:
        """Returns an entry's term, or None where it is not known any more."""
        if self._first_index <= index <= self.last_index:
            return self._entries[index - self._first_index].term
        if index == self._base.index:
            return self._base.term
        return None

    def entry(self, index: int) -> items.Entry:
        """Returns the entry at an index that the log holds."""
        return self._entries[index - self._first_index]

    def read(
        self, first_index: int, max_entries: int, max_bytes: int
    ) -> list[items.Entry]:
        """Returns entries from an index on, at least one if there is one."""
        start = first_index - self._first_index
        found: list[items.Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def append(self, first_index: int, entries: list[items.Entry]) -> None:
        """Puts entries at an index and drops all that followed it.

        Raises:
            WriteFailedError: An earlier write failed.
        """
        self._queue(items.Batch(first_index, entries))

    def reset(self, base: items.Position) -> None:
        """Drops all entries; the next one follows a snapshot."""
        self._base = base
        self._queue(items.Batch(base.index + 1, [], is_reset=True))

    async def sync(self) -> None:
        """Waits until all that was appended before the call is durable.

        Raises:
            WriteFailedError: It could not be made durable.
        """
        if self.failure is not None:
            raise self.failure
        if self._written >= self._appended:
            return
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(self._appended, done))
        await done

    async def compact(self, base: items.Position, keep_entries: int) -> None:
        """Drops entries that a snapshot covers, from memory and disk.

        Args:
            base: Position of the snapshot.
            keep_entries: How many before it stay, for members that lag.
        """
        self._base = base
        first_index = base.index + 1 - keep_entries
        if first_index > self._first_index:
            del self._entries[: first_index - self._first_index]
            self._first_index = first_index
        removable = self._first_index - 1
        await self._folder.run(lambda: self._files.remove_up_to(removable))

    def size(self) -> int:
        """Returns the length of the files, in bytes."""
        return self._files.size()

    async def close(self) -> None:
        """Finishes the writes asked for and closes the files."""
        if self._flush is not None:
            await self._flush
        await self._folder.run(self._files.close)

    def _queue(self, batch: items.Batch) -> None:
        if self.failure is not None:
            raise self.failure
        self._take(batch)
        self.synced_index = min(self.synced_index, batch.first_index - 1)
        self._pending.append(batch)
        self._appended += 1
        if self._flush is None:
            self._flush = asyncio.create_task(self._flush_pending())

    def _take(self, batch: items.Batch) -> None:
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

    def _fit_to_base(self) -> None:
        base = self._base
        if self.last_index < base.index:
            self._first_index = base.index + 1
            self._entries = []
            return
        if self._first_index > base.index + 1:
            reason = f"no entries from {base.index + 1} to {self._first_index}"
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
            self._flush = None

    async def _flush_once(self) -> None:
        batches = _merge(self._pending)
        self._pending = []
        last_index = self.last_index
        written = self._appended
        await self._folder.run(lambda: self._files.write(batches))
        firsts = [batch.first_index - 1 for batch in self._pending]
        self.synced_index = min([last_index, *firsts])
        self._written = written
        waiting = self._waiters
        self._waiters = [w for w in waiting if w.write_number > written]
        for waiter in waiting:
            if waiter.write_number <= written and not waiter.done.done():
                waiter.done.set_result(None)
        self.on_synced()

    def _fail(self, error: Exception) -> None:
        # a failed sync may have dropped the data, so it is not tried again
        self.failure = errors.WriteFailedError(str(error))
        self.failure.__cause__ = error
        for waiter in self._waiters:
            if not waiter.done.done():
                waiter.done.set_exception(self.failure)
        self._waiters = []
        self.on_synced()


def _merge(batches: list[items.Batch]) -> list[items.Batch]:
    """Joins batches that follow one another, so that less is encoded."""
    merged: list[items.Batch] = []
    for batch in batches:
        last = merged[-1] if merged else None
        follows = (
            last is not None
            and not batch.is_reset
            and batch.first_index == last.first_index + len(last.entries)
        )
        if last is not None and follows:
            last.entries.extend(batch.entries)
        else:
            copied = list(batch.entries)
            merged.append(
                items.Batch(batch.first_index, copied, batch.is_reset)
            )
    return merged


__all__ = ["EntryLog"]
