"""Parts a stream of events into whole events."""

from __future__ import annotations

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Holds the bytes of an event back until it is whole."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole."""
        return self._buffer

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that bytes complete.

        Args:
            data: The next bytes of the stream.
        """
        self._buffer += data
        events: list[bytes] = []
        while True:
            end = self._next_end()
            if end < 0:
                return events
            events.append(self._buffer[:end])
            self._buffer = self._buffer[end:]

    def _next_end(self) -> int:
        found = [
            place + len(mark)
            for mark in _ENDS
            if (place := self._buffer.find(mark)) >= 0
        ]
        return min(found) if found else -1


def field(event: bytes, name: bytes) -> str:
    """Returns a field of an event, empty where there is none."""
    for line in event.splitlines():
        known, colon, value = line.partition(b":")
        if colon and known == name:
            return value.strip().decode("latin-1")
    return ""


__all__ = ["EventSplitter", "field"]
