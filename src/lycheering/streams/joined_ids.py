"""Finds text in an event that may be the id of another one, joined with it.

An event that was broken off inside its data leaves the line of the next id at
the end of its own. Sound text may look the same; its bytes tell the two apart.
"""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# how far ahead of its place an event may come that was joined with another one
MAX_DISORDER = 8

# what the line of an id leaves at the end of a line that was broken off
_JOINED_ID = re.compile(rb"id: *(\d{1,18})\Z")
_ID_LINE_END = re.compile(rb"id: *\d{1,18}\r?\n")
_DATA_NAME = re.compile(rb"^data: ?", re.MULTILINE)
# letters and digits; indentation and list markers recur in sound text
_WORD = re.compile(rb"[0-9A-Za-z\x80-\xff]")


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedId:
    """Text inside the data of an event that may be the id of another one.

    Attributes:
        number: The id.
        offset: Where the other event would begin.
        is_disproven: Whether that event came before with other bytes.
    """

    number: int
    offset: int
    is_disproven: bool = False


def find(raw: bytes) -> list[JoinedId]:
    """Returns what ends a line of data like an id, in an event of many lines.

    The last line of data is none, as data has to follow an id.
    """
    found: list[JoinedId] = []
    last: JoinedId | None = None
    offset = 0
    for line in raw.splitlines(keepends=True):
        content = line.rstrip(b"\r\n")
        if content.partition(b":")[0] == b"data":
            if last is not None:
                found.append(last)
            match = _JOINED_ID.search(content)
            last = None
            if match is not None:
                last = JoinedId(int(match[1]), offset + match.start())
        offset += len(line)
    return found


def begins_again(raw: bytes, offset: int) -> bool:
    """Returns whether an event was broken off and sent again from its start.

    What was broken off is then the beginning of what came after it. Data
    without a letter or digit is no evidence, as text may have two such lines,
    nor are lines that differ in their ids alone.

    Args:
        raw: The event.
        offset: Where it would begin again.
    """
    broken_off = raw[:offset]
    if not raw.startswith(broken_off, offset):
        return False
    if _ID_LINE_END.match(raw, 2 * offset):
        return False
    data = broken_off[broken_off.index(b"data:") :]
    return bool(_WORD.search(_DATA_NAME.sub(b"", data)))


def proof_number(number: int, joined: Iterable[JoinedId]) -> int:
    """Returns the id whose event shows that another event is sound.

    Args:
        number: The id of the other event.
        joined: The ids in its text.
    """
    last = number + MAX_DISORDER
    near = (named.number for named in joined if named.number <= last)
    return max([number + 1, *near])


__all__ = ["MAX_DISORDER", "JoinedId", "begins_again", "find", "proof_number"]
