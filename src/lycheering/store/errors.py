"""Errors of the data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class StoreError(Exception):
    """Base of all errors of the data folder."""


class DamagedFileError(StoreError):
    """A file holds something that was not written there.

    Attributes:
        path: The file.
        offset: Where in the file the damage starts, in bytes.
        reason: What is wrong there.
    """

    def __init__(self, path: pathlib.Path, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at offset {offset}: {reason}")
        self.path = path
        self.offset = offset
        self.reason = reason


class FolderInUseError(StoreError):
    """Another process holds the data folder."""


class WriteFailedError(StoreError):
    """A write or sync failed; nothing more may be written to the folder."""


class NoRoomError(StoreError):
    """The disk took nothing, for lack of space; it may do so later."""


__all__ = [
    "DamagedFileError",
    "FolderInUseError",
    "NoRoomError",
    "StoreError",
    "WriteFailedError",
]
