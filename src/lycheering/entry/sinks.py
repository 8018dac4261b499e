"""Where the chunks of an answer go."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.entry import assemble
from lycheering.entry import pipe
from lycheering.entry import refusals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from lycheering.wire import messages

EVENT_STREAM = "text/event-stream"
MAX_ANSWER_BYTES = 8_388_608


class BrokenAnswerError(Exception):
    """The connection must break, so that the answer does not look whole."""


class AnswerTooLargeError(Exception):
    """The answer exceeds what may be held for one caller."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The start of an answer.

    Attributes:
        status: The HTTP status.
        content_type: The content type.
        header_by_name: Further headers.
    """

    status: int
    content_type: str
    header_by_name: dict[str, str]


class Sink(abc.ABC):
    """Takes one request's answer, over all its attempts.

    Attributes:
        next_seq: The first chunk not yet taken.
        weights_version: The weights that the answer began with.
        passed_on: Whether the caller got a part of it already.
    """

    def __init__(self) -> None:
        self.next_seq = 0
        self.weights_version = ""
        self.passed_on = False
        self.head: Head | None = None

    @property
    def is_event_stream(self) -> bool:
        """Whether the chunks are the data of server-sent events."""
        head = self.head
        return head is not None and head.content_type.startswith(EVENT_STREAM)

    def begin(self, started: messages.Started) -> None:
        """Takes the start; that of a later attempt keeps the first head."""
        if self.next_seq == 0:
            self.weights_version = started.weights_version
        if self.head is not None:
            return
        header_by_name = {}
        if started.prompt_pieces:
            header_by_name["X-Prompt-Pieces"] = str(started.prompt_pieces)
            header_by_name["X-Cached-Pieces"] = str(started.cached_pieces)
        self.head = Head(started.status, started.content_type, header_by_name)

    @abc.abstractmethod
    async def take(self, items: tuple[bytes, ...]) -> None:
        """Takes the next chunks."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Learns that the answer is whole."""

    def restart(self) -> None:
        """Forgets the answer so far, which the caller has not seen."""
        assert not self.passed_on
        self.next_seq = 0
        self.weights_version = ""
        self.head = None


class WholeSink(Sink):
    """Collects the answer."""

    def __init__(self) -> None:
        super().__init__()
        self._items: list[bytes] = []
        self._size = 0

    async def take(self, items: tuple[bytes, ...]) -> None:
        """Takes the next chunks.

        Raises:
            AnswerTooLargeError: If they are more than may be held.
        """
        self._size += sum(len(item) for item in items)
        if self._size > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(f"over {MAX_ANSWER_BYTES} bytes")
        self._items.extend(items)
        self.next_seq += len(items)

    async def finish(self) -> None:
        """Needs nothing: the chunks are counted already."""

    def restart(self) -> None:
        """Forgets the answer so far."""
        super().restart()
        self._items.clear()
        self._size = 0

    def answer(self, *, chat: bool, stream: bool) -> refusals.Answer:
        """Returns the whole answer.

        Args:
            chat: Whether it answers a chat.
            stream: Whether the caller reads server-sent events.

        Raises:
            ChunkError: If it can't be put together.
        """
        assert self.head is not None
        head = self.head
        if not self.is_event_stream:
            body = b"".join(self._items)
            content_type = head.content_type
        elif stream:
            events = event_bytes(0, tuple(self._items))
            body = events + end_bytes()
            content_type = EVENT_STREAM
        else:
            body = assemble.assemble(self._items, chat=chat)
            content_type = "application/json"
        return refusals.Answer(
            head.status, content_type, body, dict(head.header_by_name)
        )


class StreamSink(Sink):
    """Hands chunks to a caller as they come."""

    def __init__(self, stall_ms: float) -> None:
        super().__init__()
        self._pipe = pipe.Pipe(stall_ms)
        self._begun: asyncio.Future[Head] = (
            asyncio.get_running_loop().create_future()
        )
        self._broken = False

    def begin(self, started: messages.Started) -> None:
        """Takes the start and lets the caller's answer begin."""
        super().begin(started)
        self.passed_on = True
        if not self._begun.done():
            assert self.head is not None
            self._begun.set_result(self.head)

    async def take(self, items: tuple[bytes, ...]) -> None:
        """Passes the next chunks on.

        Raises:
            StalledError: If the caller reads nothing.
        """
        if self.is_event_stream:
            data = event_bytes(self.next_seq, items)
        else:
            data = b"".join(items)
        self.next_seq += len(items)
        await self._pipe.write(data)

    async def finish(self) -> None:
        """Passes the end mark on.

        Raises:
            StalledError: If the caller reads nothing.
        """
        if self.is_event_stream:
            await self._pipe.write(end_bytes())
        self._pipe.close()

    async def fail(self, refusal: refusals.RefusalError) -> None:
        """Ends the answer with an error instead of the end mark."""
        if not self.is_event_stream:
            self.break_off()
            return
        try:
            await self._pipe.write(
                b"event: error\ndata: " + refusal.body() + b"\n\n"
            )
        except pipe.StalledError:
            self.break_off()
        self._pipe.close()

    def break_off(self) -> None:
        """Ends the answer in a way that can't look whole."""
        self._broken = True
        self.abandon()

    def abandon(self) -> None:
        """Ends the answer of a caller that left."""
        self._pipe.clear()
        self._pipe.close()

    def fail_begin(self, error: Exception) -> None:
        """Ends the wait for the start, which does not come."""
        if not self._begun.done():
            self._begun.set_exception(error)

    def cancel_begin(self) -> None:
        """Ends the wait for the start of work that was cancelled."""
        self._begun.cancel()

    async def wait_begun(self) -> Head:
        """Returns the start once it is there.

        Raises:
            RefusalError: If the answer failed before it began.
            CallerGoneError: If its caller left before.
        """
        return await self._begun

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the answer's bytes as they come.

        Raises:
            BrokenAnswerError: If the connection is all that can tell the
                caller that the answer is not whole.
        """
        while data := await self._pipe.read():
            yield data
        if self._broken:
            raise BrokenAnswerError("the target's answer broke off")


def event_bytes(first_seq: int, items: tuple[bytes, ...]) -> bytes:
    """Returns chunks as numbered server-sent events."""
    return b"".join(
        b"id: %d\ndata: %b\n\n" % (seq, item)
        for seq, item in enumerate(items, first_seq)
        if item != assemble.END_MARK
    )


def end_bytes() -> bytes:
    """Returns the event that ends a whole answer."""
    return b"data: " + assemble.END_MARK + b"\n\n"


__all__ = [
    "EVENT_STREAM",
    "MAX_ANSWER_BYTES",
    "AnswerTooLargeError",
    "BrokenAnswerError",
    "Head",
    "Sink",
    "StreamSink",
    "WholeSink",
    "end_bytes",
    "event_bytes",
]
