"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def incomplete_event(self) -> bytes:
        """The bytes of the event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the events that they complete.

        Args:
            data: The next bytes of the stream.
        """
        self._buffer += data
        events: list[bytes] = []
        while True:
            end = self._next_event_end()
            if end < 0:
                return events
            events.append(self._buffer[:end])
            self._buffer = self._buffer[end:]

    def _next_event_end(self) -> int:
        ends = [
            position + len(event_end)
            for event_end in _EVENT_ENDS
            if (position := self._buffer.find(event_end)) >= 0
        ]
        return min(ends) if ends else -1


def event_field(event: bytes, name: bytes) -> str:
    """Returns the value of an event's field; empty if it has none."""
    for line in event.splitlines():
        line_name, colon, value = line.partition(b":")
        if colon and line_name == name:
            return value.strip().decode("latin-1")
    return ""


__all__ = ["EventSplitter", "event_field"]
