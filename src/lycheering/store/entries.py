"""Records of the replicated log as they are stored on disk."""

from __future__ import annotations

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """Kind of a log entry, which tells how its data is interpreted."""

    COMMAND = 0
    CONFIGURATION = 1
    NO_OPERATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended the entry.
        kind: How the data is interpreted.
        data: An encoded state machine command or member configuration.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Position(msgspec.Struct, frozen=True, array_like=True):
    """Index and term that identify one entry of the log.

    Attributes:
        index: Index of the entry; 0 is the position before the first entry.
        term: Term of the entry.
    """

    index: int = 0
    term: int = 0


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Entries written together, replacing all from their first index on.

    Attributes:
        first_index: Index of the first entry of the batch.
        entries: The entries; an empty list only removes existing entries from
            `first_index` on.
        is_reset: Whether the entries before `first_index` are removed too.
    """

    first_index: int
    entries: list[Entry]
    is_reset: bool = False

    def is_in_order(self) -> bool:
        """Returns whether the entries are numbered without gaps."""
        return self.first_index > 0 and all(
            entry.index == index
            for index, entry in enumerate(self.entries, self.first_index)
        )


__all__ = ["Batch", "Entry", "EntryKind", "Position"]
