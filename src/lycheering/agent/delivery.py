"""Hands a request's answer to whoever waits for it."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.agent import replay_buffer
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks
    from lycheering.wire import server

Ending = messages.Finished | messages.NotRun | messages.Broken


@dataclasses.dataclass
class Reader:
    """The session that waits for an answer.

    Attributes:
        session: The session.
        call_id: The call that the answer belongs to there.
        next_seq: The next chunk to be sent.
        is_started_sent: Whether it was told that the target answers.
        is_ending_sent: Whether it was told the end.
    """

    session: server.Session
    call_id: int
    next_seq: int
    is_started_sent: bool = False
    is_ending_sent: bool = False


class Delivery:
    """Sends what is there of an answer, and keeps it to be sent again.

    Attributes:
        buffer: The chunks.
        is_end_acknowledged: Whether the reader has acknowledged the end.
        reader: Who waits, if anybody does.
        is_reader_gone: Whether nobody will pick the answer up again.
        started: The start of the answer, once there.
        ending: The end, once there.
        ended_ms: When it ended.
        unread_since_ms: Since when nobody waits; 0 while somebody does.
    """

    def __init__(self, first_seq: int, clock: clocks.Clock) -> None:
        self.buffer = replay_buffer.ReplayBuffer(first_seq)
        self.is_end_acknowledged = False
        self.reader: Reader | None = None
        self.is_reader_gone = False
        self.started: messages.Started | None = None
        self.ending: Ending | None = None
        self.ended_ms = 0.0
        self.unread_since_ms = clock.now_ms()
        self._clock = clock
        self._acknowledged = asyncio.Event()
        self._last_session: server.Session | None = None

    def attach(
        self, session: server.Session, call_id: int, next_seq: int
    ) -> None:
        """Sends the answer from a chunk on to a session."""
        self.reader = Reader(session, call_id, next_seq)
        self.is_reader_gone = False
        self._last_session = session
        self.unread_since_ms = 0.0
        self.flush()

    def detach(self, session: server.Session) -> None:
        """Stops sending to a session that closed."""
        if self.reader is not None and self.reader.session is session:
            self.reader = None
            self.unread_since_ms = self._clock.now_ms()
        if session is self._last_session and session.said_bye:
            self.is_reader_gone = True

    def note_session_opened(self, session: server.Session) -> None:
        """Learns of a new session, perhaps of the reader after a restart."""
        last = self._last_session
        if last is not None and last.name == session.name:
            self.is_reader_gone |= last.incarnation != session.incarnation

    def send_once(self, message: messages.Message) -> None:
        """Sends a message that need not be sent again."""
        reader = self.reader
        if reader is not None:
            self._send(reader, message)

    def set_started(self, started: messages.Started) -> None:
        """Learns that the target began to answer."""
        self.started = started
        self.flush()

    def append(self, items: tuple[bytes, ...]) -> None:
        """Adds chunks."""
        self.buffer.append(items)
        self.flush()

    def set_ending(self, ending: Ending) -> None:
        """Ends the answer."""
        self.ending = ending
        self.ended_ms = self._clock.now_ms()
        self._acknowledged.set()
        self.flush()

    def acknowledge(
        self, session: server.Session, next_seq: int, *, ended: bool
    ) -> None:
        """Learns which chunks the reader has, and whether it has the end."""
        reader = self.reader
        if reader is None or reader.session is not session:
            return
        self.is_end_acknowledged = ended and reader.is_ending_sent
        self.buffer.acknowledge(min(next_seq, reader.next_seq))
        self._acknowledged.set()

    async def wait_for_room(self, timeout_ms: float) -> bool:
        """Waits until more may be read; returns False if it did not."""
        if self.buffer.has_room:
            # the usual case needs no timer
            return True
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while not self.buffer.has_room:
                    self._acknowledged.clear()
                    await self._acknowledged.wait()
        except TimeoutError:
            return False
        return True

    def flush(self) -> None:
        """Sends the reader all that it lacks."""
        reader = self.reader
        if reader is None:
            return
        if self.started is not None and not reader.is_started_sent:
            reader.is_started_sent = self._send(reader, self.started)
            if not reader.is_started_sent:
                return
        while reader.next_seq != self.buffer.next_seq:
            if not self._send_chunks(reader):
                return
        if self.ending is not None and not reader.is_ending_sent:
            reader.is_ending_sent = self._send(reader, self.ending)

    def _send_chunks(self, reader: Reader) -> bool:
        try:
            items = self.buffer.read(reader.next_seq)
        except replay_buffer.TrimmedError as error:
            broken = messages.Broken(
                messages.Reason.NOT_FOUND, self.buffer.next_seq, str(error)
            )
            if self._send(reader, broken):
                self.detach(reader.session)
            return False
        message = messages.Chunks(reader.next_seq, items)
        if not self._send(reader, message):
            return False
        reader.next_seq += len(items)
        return True

    def _send(self, reader: Reader, message: messages.Message) -> bool:
        try:
            reader.session.send(message, reader.call_id)
        except errors.PeerUnreachableError:
            # a peer that only reads slowly gets it with a later flush
            return False
        return True


__all__ = ["Delivery", "Ending", "Reader"]
