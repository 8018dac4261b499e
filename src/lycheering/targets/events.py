"""Reads the server-sent events of a completion."""

from __future__ import annotations

import msgspec

from lycheering.targets import api

END_OF_EVENT = b"\n\n"
DONE = b"[DONE]"
MAX_EVENT_BYTES = 1_048_576
_NOT_LAST = b'"finish_reason":null'


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


def _is_last(data: bytes) -> bool:
    if _NOT_LAST in data:
        return False
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
    except msgspec.DecodeError as error:
        raise api.BrokenAnswerError("malformed event") from error
    return any(choice.finish_reason for choice in chunk.choices)


class EventReader:
    """Cuts a stream into numbered events and finds its end.

    Attributes:
        next_seq: The number that the next event must have.
        whole: Whether the last event and the end mark were read.
    """

    def __init__(self, first_seq: int) -> None:
        self.next_seq = first_seq
        self.whole = False
        self._last_read = False
        self._buffer = b""

    def feed(self, part: bytes) -> tuple[bytes, ...]:
        """Returns the data of the events that a part completes.

        Raises:
            BrokenAnswerError: If an event is missing or malformed.
        """
        *events, self._buffer = (self._buffer + part).split(END_OF_EVENT)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise api.BrokenAnswerError("event too large")
        items: list[bytes] = []
        for event in events:
            self._take(event, items)
        return tuple(items)

    def _take(self, event: bytes, items: list[bytes]) -> None:
        seq = self.next_seq
        data = b""
        for line in event.split(b"\n"):
            if line.startswith(b"data: "):
                data = line[6:]
            elif line.startswith(b"id: "):
                seq = _number(line[4:])
        if not data:
            return
        if data == DONE:
            self.whole = self._last_read
            return
        if seq < self.next_seq:
            return
        if seq > self.next_seq:
            raise api.BrokenAnswerError(f"event {self.next_seq} is missing")
        self.next_seq += 1
        self._last_read = self._last_read or _is_last(data)
        items.append(data)


def _number(text: bytes) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise api.BrokenAnswerError("malformed event number") from error


__all__ = ["DONE", "EventReader"]
