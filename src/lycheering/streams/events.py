"""Splits a stream of server-sent events and verifies that each one is next."""

from __future__ import annotations

import dataclasses
import re

MAX_EVENT_BYTES = 1_048_576
MAX_REPORTED_BYTES = 40
# how far ahead of its place an event may come that was joined with another one
MAX_DISORDER = 8

_TOO_LARGE = f"larger than {MAX_EVENT_BYTES} bytes"
_STANDARD_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
_LINE_END = re.compile(rb"\r?\n")
_EVENT_END = re.compile(rb"\n\r?\n")
# what the line of an id leaves at the end of a line that was broken off
_JOINED_ID = re.compile(rb"id: *(\d{1,18})\Z")


@dataclasses.dataclass(slots=True)
class Event:
    """A numbered event, or a block that has no place in their order.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        data: Its data, lines joined by line feeds.
        number: Its id; None for a comment, a retry time or the end mark.
        joined_numbers: Ids of the events that may be joined with the rest of
            this one, if it was broken off inside its data.
    """

    raw: bytes
    data: bytes = b""
    number: int | None = None
    joined_numbers: tuple[int, ...] = ()


class _InvalidEventError(Exception):
    """A block of lines is not the next event."""


class EventReader:
    """Reads the events of one run of a stream, which are numbered.

    An event is accepted only with the id that is due and in the form of an
    event. Whatever else a target sends ends the run, as what was to come in its
    place is unknown. An event that may be joined with a later one is accepted
    once the next one and that one have come.

    Attributes:
        next_id: The id that is due.
        violation: Why nothing more is accepted; empty while all is well.
    """

    def __init__(
        self,
        next_id: int,
        extension_fields: frozenset[bytes] = frozenset(),
        end_mark: bytes | None = None,
    ) -> None:
        """Creates a reader.

        Args:
            next_id: The id of the first event.
            extension_fields: Names of fields that events may have besides
                those of the standard.
            end_mark: Data of an event without an id that ends the stream;
                None if streams have no such event.
        """
        self.next_id = next_id
        self.violation = ""
        self._fields = _STANDARD_FIELDS | extension_fields
        self._end_mark = end_mark
        self._buffer = b""
        self._searched_bytes = 0
        # an event that may be joined with another one, and all after it
        self._held: list[Event] = []

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not accepted yet."""
        return bool(self._buffer or self._held)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Events before a violation are returned as well.

        Args:
            data: The next bytes of the stream.
        """
        events: list[Event] = []
        if self.violation:
            return events
        self._buffer += data
        begin = 0
        while found := self._find_end(begin):
            raw = self._buffer[begin : found.end()]
            begin = self._searched_bytes = found.end()
            try:
                self._accept(self._read(raw), events)
            except _InvalidEventError as error:
                self._violate(str(error), raw)
                return events
        self._buffer = self._buffer[begin:]
        # the end of an event may be split
        self._searched_bytes = max(0, len(self._buffer) - 2)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._violate(_TOO_LARGE, self._buffer)
        return events

    def _accept(self, event: Event, events: list[Event]) -> None:
        """Adds an event, and those that it proves, to the accepted ones.

        Raises:
            _InvalidEventError: If it came before, joined with another one.
        """
        if not self._held and not event.joined_numbers:
            events.append(event)
            return
        self._held.append(event)
        if event.number is not None:
            self._release_held(event, event.number, events)
        if sum(len(held.raw) for held in self._held) > MAX_EVENT_BYTES:
            raise _InvalidEventError(_TOO_LARGE)

    def _release_held(
        self, event: Event, number: int, events: list[Event]
    ) -> None:
        """Accepts the events that an event proves."""
        for held in self._held:
            if number in held.joined_numbers and held.raw.endswith(event.raw):
                raise _InvalidEventError(
                    f"came before, joined with event {held.number}"
                )
        waiting = (
            index
            for index, held in enumerate(self._held)
            if _proof_number(held) > number
        )
        proven_count = next(waiting, len(self._held))
        events += self._held[:proven_count]
        del self._held[:proven_count]

    def _find_end(self, begin: int) -> re.Match[bytes] | None:
        """Finds the end of the event, or of the blank line, at a position."""
        return _LINE_END.match(self._buffer, begin) or _EVENT_END.search(
            self._buffer, self._searched_bytes
        )

    def _violate(self, problem: str, raw: bytes) -> None:
        start = ascii(raw[:MAX_REPORTED_BYTES])[1:]
        self.violation = f"event {self.next_id} is due: {problem}, came {start}"

    def _read(self, raw: bytes) -> Event:
        """Returns the next event or a block without a number.

        Raises:
            _InvalidEventError: If the bytes are neither.
        """
        if len(raw) > MAX_EVENT_BYTES:
            raise _InvalidEventError(_TOO_LARGE)
        try:
            raw.decode()
        except UnicodeDecodeError as error:
            raise _InvalidEventError("not UTF-8") from error
        number = self.next_id
        data_begin = self._find_plain_data(raw)
        if data_begin:
            self.next_id += 1
            return Event(raw, raw[data_begin:-2], number)
        values_by_name = self._parse(raw)
        data_lines = values_by_name.get(b"data")
        ids = values_by_name.get(b"id")
        if ids is None and not values_by_name.keys() - {b"retry"}:
            return Event(raw)
        data = b"\n".join(data_lines or ())
        if ids is None and data_lines and data == self._end_mark:
            return Event(raw, data)
        if ids != [b"%d" % number]:
            raise _InvalidEventError("not its id")
        if not data_lines:
            raise _InvalidEventError("no data")
        joined_ids = [
            found[1]
            for line in data_lines[:-1]
            if (found := _JOINED_ID.search(line))
        ]
        if ids[0] in joined_ids:
            raise _InvalidEventError("broken off and sent again")
        self.next_id += 1
        return Event(raw, data, number, tuple(map(int, joined_ids)))

    def _find_plain_data(self, raw: bytes) -> int:
        """Returns where the data of the next event begins; 0 if it is unusual.

        Nearly all events have only an id and one line of data. This takes a
        third of the time.
        """
        head = b"id: %d\ndata: " % self.next_id
        is_plain = (
            raw.startswith(head)
            and raw.find(b"\n", len(head)) == len(raw) - 2
            and b"\r" not in raw
        )
        return len(head) if is_plain else 0

    def _parse(self, raw: bytes) -> dict[bytes, list[bytes]]:
        """Returns the values of each field of an event."""
        values_by_name: dict[bytes, list[bytes]] = {}
        for line in _LINE_END.split(raw):
            if b"\r" in line:
                raise _InvalidEventError("a carriage return inside a line")
            name, _, value = line.partition(b":")
            if name in self._fields:
                value = value.removeprefix(b" ")
                values_by_name.setdefault(name, []).append(value)
            elif name:
                raise _InvalidEventError("a line that is no field")
        return values_by_name


def _proof_number(event: Event) -> int:
    """Returns the id whose event shows that another event is sound."""
    if event.number is None or not event.joined_numbers:
        return 0
    last = event.number + MAX_DISORDER
    near = (number for number in event.joined_numbers if number <= last)
    return max([event.number + 1, *near])


__all__ = ["MAX_EVENT_BYTES", "Event", "EventReader"]
