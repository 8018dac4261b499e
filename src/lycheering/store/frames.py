"""Checksummed frames, the record format of all files in the data folder."""

from __future__ import annotations

import dataclasses
import struct
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import xxhash

from lycheering.store import errors

if TYPE_CHECKING:
    import pathlib

_T = TypeVar("_T")

# Body length, checksum of the length, checksum of the body.
_HEADER = struct.Struct("<IIQ")
_LENGTH = struct.Struct("<I")
_FOOTER = b"\xa5"
_UNWRITTEN_SECTOR = bytes(512)


@dataclasses.dataclass
class Scan:
    """Result of splitting a file into frames.

    Attributes:
        bodies: Bodies of the complete frames, in order.
        valid_bytes: Length of the file up to the end of the last complete
            frame.
        torn_bytes: Number of bytes after it, left by an interrupted write.
    """

    bodies: list[bytes]
    valid_bytes: int
    torn_bytes: int


def encode(body: bytes) -> bytes:
    """Returns a frame that contains the body."""
    length = len(body)
    header = _HEADER.pack(
        length, _length_checksum(length), xxhash.xxh3_64_intdigest(body)
    )
    return header + body + _FOOTER


def scan(path: pathlib.Path, data: bytes, *, may_be_torn: bool) -> Scan:
    """Splits a file into its frames.

    Each frame is synced before the next one is written, so only the last one
    can be torn, i.e. only partly written.

    Args:
        path: Path of the file, for error messages.
        data: Content of the file.
        may_be_torn: Whether the last frame may be torn.

    Returns:
        The complete frames, and the size of a torn one after them.

    Raises:
        DamagedFileError: A frame is invalid and an interrupted write does not
            explain it.
    """
    bodies: list[bytes] = []
    offset = 0
    while offset < len(data):
        body = _read_frame(data, offset)
        if isinstance(body, bytes):
            bodies.append(body)
            offset += _HEADER.size + len(body) + len(_FOOTER)
            continue
        if body.is_torn and may_be_torn:
            break
        raise errors.DamagedFileError(path, offset, body.reason)
    return Scan(bodies, offset, len(data) - offset)


def read_single(path: pathlib.Path) -> bytes:
    """Returns the body of a file that consists of exactly one frame.

    Raises:
        DamagedFileError: The file is damaged or has no or several frames.
    """
    scanned = scan(path, path.read_bytes(), may_be_torn=False)
    if len(scanned.bodies) != 1:
        raise errors.DamagedFileError(path, 0, "expected exactly one frame")
    return scanned.bodies[0]


def decode_body(
    path: pathlib.Path, body: bytes, decoder: msgspec.msgpack.Decoder[_T]
) -> _T:
    """Returns the decoded body of a frame.

    Args:
        path: Path of the file, for error messages.
        body: The encoded body.
        decoder: Decoder of the expected type.

    Raises:
        DamagedFileError: The body is not of the expected type.
    """
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise errors.DamagedFileError(path, 0, str(error)) from error


@dataclasses.dataclass
class _InvalidFrame:
    reason: str
    is_torn: bool


def _length_checksum(length: int) -> int:
    return xxhash.xxh32_intdigest(_LENGTH.pack(length), seed=1)


def _read_frame(data: bytes, offset: int) -> bytes | _InvalidFrame:
    remaining_bytes = len(data) - offset
    if remaining_bytes < _HEADER.size:
        return _InvalidFrame("header is truncated", is_torn=True)
    length, length_checksum, checksum = _HEADER.unpack_from(data, offset)
    if length_checksum != _length_checksum(length):
        written_bytes = len(data[offset:].rstrip(b"\0"))
        is_torn = written_bytes < _HEADER.size
        return _InvalidFrame("header checksum mismatch", is_torn)
    start = offset + _HEADER.size
    end = start + length + len(_FOOTER)
    if end > len(data):
        return _InvalidFrame("body is truncated", is_torn=True)
    body = data[start : start + length]
    footer = data[start + length : end]
    if footer == _FOOTER and xxhash.xxh3_64_intdigest(body) == checksum:
        return body
    # After a power failure a file may have its new length but not yet all of
    # its data; sectors that were never written read as zeros.
    is_unwritten = footer == b"\0" or _UNWRITTEN_SECTOR in body
    is_torn = is_unwritten and end == len(data)
    return _InvalidFrame("body checksum mismatch", is_torn)


__all__ = ["Scan", "decode_body", "encode", "read_single", "scan"]
