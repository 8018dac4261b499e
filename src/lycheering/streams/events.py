"""Splits a stream of server-sent events and verifies that each one is next."""

from __future__ import annotations

import collections
import dataclasses
import enum
import re
from typing import TYPE_CHECKING

from lycheering.streams import joined_ids

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_EVENT_BYTES = 1_048_576
MAX_REPORTED_BYTES = 40

_TOO_LARGE = f"larger than {MAX_EVENT_BYTES} bytes"
_STANDARD_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
_LINE_END = re.compile(rb"\r?\n")
_EVENT_END = re.compile(rb"\n\r?\n")


class Trust(enum.Enum):
    """What is believed of held events once the end of a stream is proven.

    Attributes:
        NONE: Nothing, as the target may break events off.
        LAST_EVENT: That the last event is sound. Nothing is known of the
            target; events before the last one are doubted if an event that
            they name is near and did not come.
        ALL: That no event was broken off.
    """

    NONE = "none"
    LAST_EVENT = "last event"
    ALL = "all"


@dataclasses.dataclass(slots=True)
class Event:
    """A numbered event, or a block that has no place in their order.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        data: Its data, lines joined by line feeds.
        number: Its id; None for a comment, a retry time or the end mark.
        joined: The other events that may be joined with the rest of this one,
            if it was broken off inside its data.
    """

    raw: bytes
    data: bytes = b""
    number: int | None = None
    joined: tuple[joined_ids.JoinedId, ...] = ()

    @property
    def proof_number(self) -> int:
        """Id of the event that shows that this one is sound; 0 without need."""
        if self.number is None or not self.joined:
            return 0
        return joined_ids.proof_number(self.number, self.joined)


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
        repeated: Collection[bytes] = (),
    ) -> None:
        """Creates a reader.

        Args:
            next_id: The id of the first event.
            extension_fields: Names of fields that events may have besides
                those of the standard.
            end_mark: Data of an event without an id that ends the stream;
                None if streams have no such event.
            repeated: Events that a run at another target sent and that were
                not accepted.
        """
        self.next_id = next_id
        self.violation = ""
        self._fields = _STANDARD_FIELDS | extension_fields
        self._end_mark = end_mark
        self._buffer = b""
        self._searched_bytes = 0
        self._repeated = frozenset(repeated)
        # an event that may be joined with another one, and all after it
        self._held: list[Event] = []
        self._refused = b""
        # the events to which a faulty target would go back
        self._first: Event | None = None
        self._recent: collections.deque[Event] = collections.deque(
            maxlen=joined_ids.MAX_DISORDER
        )

    @property
    def is_cut(self) -> bool:
        """Whether the last event has begun and is not whole."""
        return bool(self._buffer)

    @property
    def has_held(self) -> bool:
        """Whether a whole event has come and is not accepted yet."""
        return bool(self._held)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not accepted yet."""
        return self.is_cut or self.has_held

    @property
    def unproven(self) -> tuple[bytes, ...]:
        """The whole events that were not accepted."""
        held = [event.raw for event in self._held if event.number is not None]
        return (*held, self._refused) if self._refused else tuple(held)

    def accept_held(self, trust: Trust) -> list[Event]:
        """Returns events that no later one can prove, as the stream has ended.

        Nothing is accepted inside an event. Events that differ from those that
        they name are accepted in any case.

        Args:
            trust: What is believed of the others.
        """
        if self._buffer or self.violation:
            return []
        accepted = []
        while self._held and self._is_believed(self._held[0], trust):
            accepted.append(self._held.pop(0))
        return accepted

    def _is_believed(self, held: Event, trust: Trust) -> bool:
        if all(named.is_disproven for named in held.joined):
            return True
        if trust is Trust.LAST_EVENT:
            return held.number == self.next_id - 1
        return trust is Trust.ALL

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
                self._refused = raw
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
        if event.number is not None:
            self._first = self._first or event
            self._recent.append(event)
        if not self._held and not event.joined:
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
            is_named = any(named.number == number for named in held.joined)
            if is_named and held.raw.endswith(event.raw):
                raise _InvalidEventError(
                    f"came before, joined with event {held.number}"
                )
        waiting = (
            index
            for index, held in enumerate(self._held)
            if held.proof_number > number
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
        joined: tuple[joined_ids.JoinedId, ...] = ()
        if len(data_lines) > 1 and raw not in self._repeated:
            joined = self._find_joined(raw, number)
        self.next_id += 1
        return Event(raw, data, number, joined)

    def _find_joined(
        self, raw: bytes, number: int
    ) -> tuple[joined_ids.JoinedId, ...]:
        """Returns the ids of the events that an event may be joined with.

        Raises:
            _InvalidEventError: If the event was broken off and sent again.
        """
        found = []
        for joined in joined_ids.find(raw):
            if joined.number == number:
                if joined_ids.begins_again(raw, joined.offset):
                    raise _InvalidEventError("broken off and sent again")
                continue
            earlier = self._find_earlier(joined.number)
            if earlier is not None and raw[joined.offset :] != earlier.raw:
                joined = dataclasses.replace(joined, is_disproven=True)
            found.append(joined)
        return tuple(found)

    def _find_earlier(self, number: int) -> Event | None:
        """Returns an event of this run if it is remembered."""
        if self._first is not None and self._first.number == number:
            return self._first
        for event in self._recent:
            if event.number == number:
                return event
        return None

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


__all__ = ["MAX_EVENT_BYTES", "Event", "EventReader"]
