"""Decodes JSON that other programs have written."""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec

T = TypeVar("T")

# larger numbers fit neither the records of the fleet nor its messages
MAX_INTEGER = 2**53
MAX_TEXT_LENGTH = 1_024
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode(data: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decodes a document.

    Args:
        data: The document.
        kind: The type to decode it as.

    Raises:
        msgspec.DecodeError: If it is malformed, of another type or nested too
            deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def cut_out_array(data: bytes, key: str) -> tuple[bytes, list[bytes]]:
    """Splits an array off an object without decoding its elements.

    An element that can't be decoded makes a whole document unreadable. Its
    limits are found by its brackets, which are outside of strings.

    Args:
        data: An object with an array of objects.
        key: The key of the array.

    Returns:
        The object with an empty array, and the elements that are objects.

    Raises:
        msgspec.DecodeError: If the object has no such array.
    """
    name = b'"%s"' % key.encode()
    depth = 0
    last_string = b""
    array_start = element_start = -1
    elements: list[bytes] = []
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token[0] == ord('"'):
            last_string = token if depth == 1 else last_string
        elif token in b"[{":
            depth += 1
            if depth == 2 and token == b"[" and last_string == name:
                array_start = match.end()
            elif depth == 3 and array_start >= 0 and token == b"{":
                element_start = match.start()
        else:
            depth -= 1
            if depth == 2 and element_start >= 0:
                elements.append(data[element_start : match.end()])
                element_start = -1
            elif depth == 1 and array_start >= 0:
                rest = data[:array_start] + data[match.start() :]
                return rest, elements
    raise msgspec.DecodeError(f"no array {key!r}")


__all__ = ["MAX_INTEGER", "MAX_TEXT_LENGTH", "cut_out_array", "decode"]
