"""The files that hold the log, each an append-only run of frames."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

import msgspec

from lycheering import counts
from lycheering.store import entries
from lycheering.store import errors
from lycheering.store import folder as folders
from lycheering.store import frames
from lycheering.telemetry import logs

if TYPE_CHECKING:
    import pathlib

SEGMENT_BYTES = 4 * 1024 * 1024
_PREFIX = "log-"
_SUFFIX = ".segment"

_LOG = logs.get("store")
_decoder = msgspec.msgpack.Decoder(list[entries.Batch])
_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass
class Segment:
    """One file of the log.

    Attributes:
        number: Counts the files up in the order of writing.
        path: Where the file is.
        last_index: The highest index it holds.
        size: Its length, in bytes.
    """

    number: int
    path: pathlib.Path
    last_index: int = 0
    size: int = 0

    def add(self, batches: list[entries.Batch]) -> None:
        """Counts written batches in."""
        for batch in batches:
            last = batch.first_index + len(batch.entries) - 1
            self.last_index = max(self.last_index, last)


class SegmentFiles:
    """Reads and writes the files of one log; blocks while it does."""

    def __init__(self, path: pathlib.Path) -> None:
        self._folder = path
        self._segments: list[Segment] = []
        self._file = -1
        self._must_roll = True

    def load(self) -> list[entries.Batch]:
        """Reads all files and cuts a torn tail off the last one.

        Raises:
            DamagedFileError: A file is damaged or missing.
        """
        paths = sorted(self._folder.glob(f"{_PREFIX}*{_SUFFIX}"))
        batches: list[entries.Batch] = []
        for path in paths:
            is_last = path == paths[-1]
            batches += self._load_segment(path, is_last)
        return batches

    def write(self, batches: list[entries.Batch]) -> None:
        """Appends one frame and syncs it.

        Raises:
            NoRoomError: If the disk has no space for it; nothing was added.
        """
        if self._must_roll or self._segments[-1].size > SEGMENT_BYTES:
            self._roll()
        segment = self._segments[-1]
        data = frames.encode(_encoder.encode(batches))
        try:
            with folders.naming_lack_of_room():
                folders.write_all(self._file, data)
        except errors.NoRoomError:
            # a part of a frame would hide those that follow it
            os.ftruncate(self._file, segment.size)
            raise
        segment.size += len(data)
        os.fdatasync(self._file)
        segment.add(batches)

    def remove_up_to(self, index: int) -> None:
        """Removes the oldest files that hold no later entry."""
        self._must_roll = True
        removed = False
        while self._segments and self._segments[0].last_index <= index:
            if len(self._segments) == 1:
                # the newest number must stay, so that the next one follows it
                break
            self._segments.pop(0).path.unlink()
            removed = True
        if removed:
            folders.sync_folder(self._folder)

    def size(self) -> int:
        """Returns the length of all files, in bytes."""
        return sum(segment.size for segment in self._segments)

    def close(self) -> None:
        """Closes the open file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _load_segment(
        self, path: pathlib.Path, is_last: bool
    ) -> list[entries.Batch]:
        digits = path.name.removeprefix(_PREFIX).removesuffix(_SUFFIX)
        number = counts.read_count(digits)
        if number is None:
            raise errors.DamagedFileError(path, 0, "no number in its name")
        if self._segments and number != self._segments[-1].number + 1:
            raise errors.DamagedFileError(path, 0, "the file before is missing")
        found = frames.scan(path, path.read_bytes(), may_be_torn=is_last)
        if found.torn_bytes:
            self._cut(path, found)
        segment = Segment(number, path, size=found.valid_bytes)
        batches: list[entries.Batch] = []
        for body in found.bodies:
            written = frames.read_body(path, body, _decoder)
            batches += written
        if not all(batch.is_in_order() for batch in batches):
            raise errors.DamagedFileError(path, 0, "entries out of order")
        segment.add(batches)
        self._segments.append(segment)
        return batches

    def _cut(self, path: pathlib.Path, found: frames.Scan) -> None:
        _LOG.warning(
            "torn_tail_cut",
            file=path,
            offset=found.valid_bytes,
            bytes=found.torn_bytes,
        )
        with open(path, "r+b") as file:
            file.truncate(found.valid_bytes)
            os.fsync(file.fileno())

    def _roll(self) -> None:
        self.close()
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._folder / f"{_PREFIX}{number:012d}{_SUFFIX}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        with folders.naming_lack_of_room():
            self._file = os.open(path, flags | os.O_CLOEXEC, 0o600)
        folders.sync_folder(self._folder)
        self._segments.append(Segment(number, path))
        self._must_roll = False


__all__ = ["SEGMENT_BYTES", "Segment", "SegmentFiles"]
