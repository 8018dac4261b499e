"""What the log holds."""

from __future__ import annotations

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

    COMMAND = 0
    CONFIGURATION = 1
    NO_OPERATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: What the data means.
        data: A command of the state machine, or a configuration.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A place in the log.

    Attributes:
        index: Index of the entry, 0 before the first.
        term: Term of the entry.
    """

    index: int = 0
    term: int = 0


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Entries written together; they replace all from their first index on.

    Attributes:
        first_index: Index that the entries start at.
        entries: The entries; none only removes the later ones.
        is_reset: Whether all earlier entries are dropped as well.
    """

    first_index: int
    entries: list[Entry]
    is_reset: bool = False

    def is_in_order(self) -> bool:
        """Returns whether each entry's index is that of its place."""
        return self.first_index > 0 and all(
            entry.index == place
            for place, entry in enumerate(self.entries, self.first_index)
        )


__all__ = ["Batch", "Entry", "EntryKind", "Position"]
