"""Segment files of the log, each an append-only sequence of frames."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

import msgspec

from lycheering import integers
from lycheering.store import entries
from lycheering.store import errors
from lycheering.store import folder as folders
from lycheering.store import frames
from lycheering.telemetry import logs

if TYPE_CHECKING:
    import pathlib

# Size beyond which a new segment is started.
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
        number: Sequence number of the file, in the order of writing.
        path: Path of the file.
        last_index: Highest index of the entries in the file.
        size_bytes: Length of the file.
    """

    number: int
    path: pathlib.Path
    last_index: int = 0
    size_bytes: int = 0

    def update_last_index(self, batches: list[entries.Batch]) -> None:
        """Updates the highest index after batches were written."""
        for batch in batches:
            last = batch.first_index + len(batch.entries) - 1
            self.last_index = max(self.last_index, last)


class SegmentFiles:
    """Reads and writes the segment files of one log, with blocking calls."""

    def __init__(self, path: pathlib.Path) -> None:
        self._folder = path
        self._segments: list[Segment] = []
        self._descriptor = -1
        self._needs_new_segment = True

    def load(self) -> list[entries.Batch]:
        """Reads all files; truncates a torn frame at the end of the last one.

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
        """Appends the batches as one frame and syncs it.

        Raises:
            NoRoomError: If the disk has no space left; the file is unchanged.
        """
        if (
            self._needs_new_segment
            or self._segments[-1].size_bytes > SEGMENT_BYTES
        ):
            self._start_segment()
        segment = self._segments[-1]
        data = frames.encode(_encoder.encode(batches))
        try:
            with folders.converting_no_space_errors():
                folders.write_all(self._descriptor, data)
        except errors.NoRoomError:
            # A partial frame would make the frames written after it unreadable.
            os.ftruncate(self._descriptor, segment.size_bytes)
            raise
        segment.size_bytes += len(data)
        os.fdatasync(self._descriptor)
        segment.update_last_index(batches)

    def remove_up_to(self, index: int) -> None:
        """Removes the oldest files, as far as all their entries are covered.

        Args:
            index: Index of the last entry that may be removed.
        """
        self._needs_new_segment = True
        has_removed = False
        while self._segments and self._segments[0].last_index <= index:
            if len(self._segments) == 1:
                # The newest file stays, so that the next continues its number.
                break
            self._segments.pop(0).path.unlink()
            has_removed = True
        if has_removed:
            folders.sync_folder(self._folder)

    def size(self) -> int:
        """Returns the total length of all files, in bytes."""
        return sum(segment.size_bytes for segment in self._segments)

    def close(self) -> None:
        """Closes the file that is being written."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _load_segment(
        self, path: pathlib.Path, is_last: bool
    ) -> list[entries.Batch]:
        digits = path.name.removeprefix(_PREFIX).removesuffix(_SUFFIX)
        number = integers.parse_non_negative(digits)
        if number is None:
            raise errors.DamagedFileError(
                path, 0, "file name has no valid segment number"
            )
        if self._segments and number != self._segments[-1].number + 1:
            raise errors.DamagedFileError(
                path, 0, "preceding segment is missing"
            )
        scanned = frames.scan(path, path.read_bytes(), may_be_torn=is_last)
        if scanned.torn_bytes:
            self._truncate(path, scanned)
        segment = Segment(number, path, size_bytes=scanned.valid_bytes)
        batches: list[entries.Batch] = []
        for body in scanned.bodies:
            frame_batches = frames.decode_body(path, body, _decoder)
            batches += frame_batches
        if not all(batch.is_in_order() for batch in batches):
            raise errors.DamagedFileError(
                path, 0, "entry indexes are not consecutive"
            )
        segment.update_last_index(batches)
        self._segments.append(segment)
        return batches

    def _truncate(self, path: pathlib.Path, scanned: frames.Scan) -> None:
        _LOG.warning(
            "torn_tail_truncated",
            file=path,
            offset=scanned.valid_bytes,
            bytes=scanned.torn_bytes,
        )
        with open(path, "r+b") as file:
            file.truncate(scanned.valid_bytes)
            os.fsync(file.fileno())

    def _start_segment(self) -> None:
        self.close()
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._folder / f"{_PREFIX}{number:012d}{_SUFFIX}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        with folders.converting_no_space_errors():
            self._descriptor = os.open(path, flags | os.O_CLOEXEC, 0o600)
        folders.sync_folder(self._folder)
        self._segments.append(Segment(number, path))
        self._needs_new_segment = False


__all__ = ["SEGMENT_BYTES", "Segment", "SegmentFiles"]
