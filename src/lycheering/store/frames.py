"""Checksummed frames, the unit that every file of the data folder holds."""

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

# body length, checksum of the length, checksum of the body
_HEADER = struct.Struct("<IIQ")
_LENGTH = struct.Struct("<I")
_FOOTER = b"\xa5"
_UNWRITTEN_SECTOR = bytes(512)


@dataclasses.dataclass
class Scan:
    """The frames found in a file.

    Attributes:
        bodies: The bodies of the whole frames, in order.
        valid_bytes: Length of the file up to the last whole frame.
        torn_bytes: Bytes after it that a broken-off write left.
    """

    bodies: list[bytes]
    valid_bytes: int
    torn_bytes: int


def encode(body: bytes) -> bytes:
    """Returns the body inside a frame."""
    length = len(body)
    header = _HEADER.pack(
        length, _length_check(length), xxhash.xxh3_64_intdigest(body)
    )
    return header + body + _FOOTER


def scan(path: pathlib.Path, data: bytes, *, may_be_torn: bool) -> Scan:
    """Splits a file into its frames.

    Each frame is synced before the next is written, so only the last one can
    be broken off.

    Args:
        path: The file, for the error.
        data: Its content.
        may_be_torn: Whether the last frame may have been broken off.

    Returns:
        The whole frames, and how much of a broken-off one follows.

    Raises:
        DamagedFileError: A frame is wrong in a way no broken-off write
            explains.
    """
    bodies: list[bytes] = []
    offset = 0
    while offset < len(data):
        body = _read_frame(data, offset)
        if isinstance(body, bytes):
            bodies.append(body)
            offset += _HEADER.size + len(body) + len(_FOOTER)
            continue
        if body.torn and may_be_torn:
            break
        raise errors.DamagedFileError(path, offset, body.reason)
    return Scan(bodies, offset, len(data) - offset)


def read_single(path: pathlib.Path) -> bytes:
    """Returns the body of a file that holds exactly one frame.

    Raises:
        DamagedFileError: The file holds anything else.
    """
    found = scan(path, path.read_bytes(), may_be_torn=False)
    if len(found.bodies) != 1:
        raise errors.DamagedFileError(path, 0, "not exactly one frame")
    return found.bodies[0]


def read_body(
    path: pathlib.Path, body: bytes, decoder: msgspec.msgpack.Decoder[_T]
) -> _T:
    """Returns what the body of a frame holds.

    Args:
        path: The file, for the error.
        body: The body, as it was written.
        decoder: Reads what belongs there.

    Raises:
        DamagedFileError: The body holds something else.
    """
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise errors.DamagedFileError(path, 0, str(error)) from error


@dataclasses.dataclass
class _Fault:
    reason: str
    torn: bool


def _length_check(length: int) -> int:
    return xxhash.xxh32_intdigest(_LENGTH.pack(length), seed=1)


def _read_frame(data: bytes, offset: int) -> bytes | _Fault:
    rest = len(data) - offset
    if rest < _HEADER.size:
        return _Fault("the header is cut off", torn=True)
    length, length_check, checksum = _HEADER.unpack_from(data, offset)
    if length_check != _length_check(length):
        written = len(data[offset:].rstrip(b"\0"))
        torn = written < _HEADER.size
        return _Fault("the header's checksum is wrong", torn)
    start = offset + _HEADER.size
    end = start + length + len(_FOOTER)
    if end > len(data):
        return _Fault("the body is cut off", torn=True)
    body = data[start : start + length]
    footer = data[start + length : end]
    if footer == _FOOTER and xxhash.xxh3_64_intdigest(body) == checksum:
        return body
    # a file may grow before its data arrives; such sectors read as zeros
    unwritten = footer == b"\0" or _UNWRITTEN_SECTOR in body
    torn = unwritten and end == len(data)
    return _Fault("the body's checksum is wrong", torn)


__all__ = ["Scan", "encode", "read_body", "read_single", "scan"]
