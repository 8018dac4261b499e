"""Delivers a request's answer to the session that reads it."""

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
    """The session that reads an answer, and how much was sent to it.

    Attributes:
        session: The session.
        call_id: The session's call that the answer belongs to.
        next_seq: The number of the next chunk to send.
        is_started_sent: Whether the start of the answer was sent.
        is_ending_sent: Whether the end of the answer was sent.
    """

    session: server.Session
    call_id: int
    next_seq: int
    is_started_sent: bool = False
    is_ending_sent: bool = False


class Delivery:
    """Sends an answer to its reader and buffers it for a resumption.

    Attributes:
        buffer: The answer's chunks.
        is_end_acknowledged: Whether the reader has acknowledged the end.
        reader: The present reader; None while no session is attached.
        is_reader_gone: Whether the reader has left or restarted, so that it
            won't resume.
        started: The start of the answer; None until the target answers.
        ending: The end of the answer; None until it ended.
        ended_ms: The time at which the answer ended.
        unread_since_ms: The time since which there has been no reader; 0
            while there is one.
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
        """Makes a session the reader and sends it the chunks it lacks.

        Args:
            session: The session.
            call_id: The session's call that the answer belongs to.
            next_seq: The first chunk that the session lacks.
        """
        self.reader = Reader(session, call_id, next_seq)
        self.is_reader_gone = False
        self._last_session = session
        self.unread_since_ms = 0.0
        self.flush()

    def detach(self, session: server.Session) -> None:
        """Removes a closed session as the reader."""
        if self.reader is not None and self.reader.session is session:
            self.reader = None
            self.unread_since_ms = self._clock.now_ms()
        if session is self._last_session and session.is_closed_by_peer:
            self.is_reader_gone = True

    def note_session_opened(self, session: server.Session) -> None:
        """Checks whether a new session is the reader's after a restart."""
        last = self._last_session
        if last is not None and last.name == session.name:
            self.is_reader_gone |= last.incarnation != session.incarnation

    def send_once(self, message: messages.Message) -> None:
        """Sends the reader a message that is not repeated on a resumption."""
        reader = self.reader
        if reader is not None:
            self._send(reader, message)

    def set_started(self, started: messages.Started) -> None:
        """Records and sends the start of the answer."""
        self.started = started
        self.flush()

    def append(self, items: tuple[bytes, ...]) -> None:
        """Buffers chunks and sends them."""
        self.buffer.append(items)
        self.flush()

    def set_ending(self, ending: Ending) -> None:
        """Records and sends the end of the answer."""
        self.ending = ending
        self.ended_ms = self._clock.now_ms()
        self._acknowledged.set()
        self.flush()

    def acknowledge(
        self, session: server.Session, next_seq: int, *, ended: bool
    ) -> None:
        """Records the reader's acknowledgement.

        Args:
            session: The session that acknowledges.
            next_seq: The first chunk that it has not received.
            ended: Whether it has received the end of the answer.
        """
        reader = self.reader
        if reader is None or reader.session is not session:
            return
        self.is_end_acknowledged = ended and reader.is_ending_sent
        self.buffer.acknowledge(min(next_seq, reader.next_seq))
        self._acknowledged.set()

    async def wait_for_room(self, timeout_ms: float) -> bool:
        """Returns whether the buffer got room for chunks within a timeout."""
        if self.buffer.has_room:
            # returns early to save the timer in the usual case
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
        """Sends the reader everything that it has not been sent yet."""
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
            # if the peer is merely slow, a later flush sends the message
            return False
        return True


__all__ = ["Delivery", "Ending", "Reader"]
