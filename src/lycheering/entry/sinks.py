"""Sinks that receive the chunks of an answer."""

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
    """Raised to break the connection, so that the answer looks incomplete."""


class AnswerTooLargeError(Exception):
    """The answer exceeds the size limit for one caller."""


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """The status and headers of an answer.

    Attributes:
        status: The HTTP status.
        content_type: The content type.
        header_by_name: Additional headers.
    """

    status: int
    content_type: str
    header_by_name: dict[str, str]

    @property
    def is_event_stream(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return is_event_stream(self.content_type)


class Sink(abc.ABC):
    """Receives the answer to one request, across all attempts.

    Attributes:
        next_seq: The number of the next chunk to receive.
        weights_version: The weights version with which the answer began.
        is_visible_to_caller: Whether the caller has already got a part of the
            answer.
        head: The status and headers, or None before the answer starts.
    """

    def __init__(self) -> None:
        self.next_seq = 0
        self.weights_version = ""
        self.is_visible_to_caller = False
        self.head: ResponseHead | None = None

    @property
    def is_event_stream(self) -> bool:
        """Whether the chunks are the data of server-sent events."""
        head = self.head
        return head is not None and head.is_event_stream

    def begin(self, started: messages.Started) -> None:
        """Records the start of an attempt; the first head is kept."""
        if self.next_seq == 0:
            self.weights_version = started.weights_version
        if self.head is not None:
            return
        header_by_name = {}
        if started.prompt_pieces:
            header_by_name["X-Prompt-Pieces"] = str(started.prompt_pieces)
            header_by_name["X-Cached-Pieces"] = str(started.cached_pieces)
        self.head = ResponseHead(
            started.status, started.content_type, header_by_name
        )

    @abc.abstractmethod
    async def receive(self, items: tuple[bytes, ...]) -> None:
        """Receives the next chunks."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Marks the answer as complete."""

    def reset(self) -> None:
        """Discards the answer so far, which the caller has not seen."""
        assert not self.is_visible_to_caller
        self.next_seq = 0
        self.weights_version = ""
        self.head = None


class WholeSink(Sink):
    """Collects an answer until it is complete."""

    def __init__(self) -> None:
        super().__init__()
        self._items: list[bytes] = []
        self._collected_bytes = 0

    async def receive(self, items: tuple[bytes, ...]) -> None:
        """Receives the next chunks.

        Raises:
            AnswerTooLargeError: If the answer exceeds the size limit.
        """
        self._collected_bytes += sum(len(item) for item in items)
        if self._collected_bytes > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
            )
        self._items.extend(items)
        self.next_seq += len(items)

    async def finish(self) -> None:
        """Does nothing, as all chunks are collected already."""

    def reset(self) -> None:
        """Discards the answer so far."""
        super().reset()
        self._items.clear()
        self._collected_bytes = 0

    def answer(self, *, chat: bool, stream: bool) -> refusals.Answer:
        """Returns the complete answer.

        Args:
            chat: Whether it is the answer to a chat completion.
            stream: Whether the caller reads server-sent events.

        Raises:
            ChunkError: If the chunks can't be assembled.
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
    """Streams chunks to a caller as they arrive."""

    def __init__(self, stall_ms: float) -> None:
        super().__init__()
        self._pipe = pipe.Pipe(stall_ms)
        self._head_future: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self._is_aborted = False

    def begin(self, started: messages.Started) -> None:
        """Records the start and lets the response to the caller begin."""
        super().begin(started)
        self.is_visible_to_caller = True
        if not self._head_future.done():
            assert self.head is not None
            self._head_future.set_result(self.head)

    async def receive(self, items: tuple[bytes, ...]) -> None:
        """Forwards the next chunks to the caller.

        Raises:
            StalledError: If the caller stops reading.
        """
        if self.is_event_stream:
            data = event_bytes(self.next_seq, items)
        else:
            data = b"".join(items)
        self.next_seq += len(items)
        await self._pipe.write(data)

    async def finish(self) -> None:
        """Forwards the end marker to the caller.

        Raises:
            StalledError: If the caller stops reading.
        """
        if self.is_event_stream:
            await self._pipe.write(end_bytes())
        self._pipe.close()

    async def fail(self, refusal: refusals.RefusalError) -> None:
        """Ends the answer with an error instead of the end marker."""
        if not self.is_event_stream:
            self.abort()
            return
        try:
            await self._pipe.write(
                b"event: error\ndata: " + refusal.body() + b"\n\n"
            )
        except pipe.StalledError:
            self.abort()
        self._pipe.close()

    def abort(self) -> None:
        """Breaks the connection, so that the answer can't look complete."""
        self._is_aborted = True
        self.discard()

    def discard(self) -> None:
        """Discards unsent bytes and ends the answer."""
        self._pipe.clear()
        self._pipe.close()

    def fail_start(self, error: Exception) -> None:
        """Raises an error in `wait_started` if the answer has not started."""
        if not self._head_future.done():
            self._head_future.set_exception(error)

    def cancel_start(self) -> None:
        """Cancels `wait_started` if the answer has not started."""
        self._head_future.cancel()

    async def wait_started(self) -> ResponseHead:
        """Waits for the status and headers of the answer.

        Raises:
            RefusalError: If the request fails before the answer starts.
            CallerGoneError: If the caller disconnects before that.
        """
        return await self._head_future

    async def iter_bytes(self) -> AsyncIterator[bytes]:
        """Yields the bytes of the answer as they arrive.

        Raises:
            BrokenAnswerError: If only a broken connection can show the
                caller that the answer is incomplete.
        """
        while data := await self._pipe.read():
            yield data
        if self._is_aborted:
            raise BrokenAnswerError("the answer is incomplete")


def is_event_stream(content_type: str) -> bool:
    """Returns whether a content type is that of server-sent events."""
    return content_type.startswith(EVENT_STREAM)


def event_bytes(first_seq: int, items: tuple[bytes, ...]) -> bytes:
    """Encodes chunks as numbered server-sent events."""
    return b"".join(
        b"id: %d\ndata: %b\n\n" % (seq, item)
        for seq, item in enumerate(items, first_seq)
        if item != assemble.END_MARK
    )


def end_bytes() -> bytes:
    """Returns the event that ends a complete answer."""
    return b"data: " + assemble.END_MARK + b"\n\n"


__all__ = [
    "EVENT_STREAM",
    "MAX_ANSWER_BYTES",
    "AnswerTooLargeError",
    "BrokenAnswerError",
    "ResponseHead",
    "Sink",
    "StreamSink",
    "WholeSink",
    "end_bytes",
    "event_bytes",
    "is_event_stream",
]
