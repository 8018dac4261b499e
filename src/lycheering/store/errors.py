"""Exceptions raised by the data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class StoreError(Exception):
    """Base class of all data folder errors."""


class DamagedFileError(StoreError):
    """A file is corrupt or missing, or does not fit the other files.

    Attributes:
        path: The affected file or folder.
        offset: Offset of the first damaged byte, in bytes.
        reason: Description of the damage.
    """

    def __init__(self, path: pathlib.Path, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at offset {offset}: {reason}")
        self.path = path
        self.offset = offset
        self.reason = reason


class FolderInUseError(StoreError):
    """Another process has locked the data folder."""


class WriteFailedError(StoreError):
    """A write or sync failed; the log accepts no further writes."""


class NoRoomError(StoreError):
    """The disk has no space left for a write, which may be retried later."""


__all__ = [
    "DamagedFileError",
    "FolderInUseError",
    "NoRoomError",
    "StoreError",
    "WriteFailedError",
]
