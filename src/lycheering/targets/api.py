"""The interface between an agent and its target's driver."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from lycheering import json_input
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


EVENT_STREAM_TYPE = "text/event-stream"


class TargetError(Exception):
    """Base class of failures of a call to a target.

    Attributes:
        reason: The reason that is sent to the entry.
    """

    reason = messages.Reason.TARGET_FAILED


class NotSentError(TargetError):
    """No byte of the request was sent to the target."""

    reason = messages.Reason.TARGET_DOWN


class BrokenAnswerError(TargetError):
    """The request may have run, but its answer is incomplete."""


class InvalidAnswerError(BrokenAnswerError):
    """The target sent what is no part of the answer."""


class SilentTargetError(BrokenAnswerError):
    """The target sent nothing within the silence timeout."""

    reason = messages.Reason.SILENT


class LostStreamError(BrokenAnswerError):
    """The target can't resume the answer that it began."""


class CrashedTargetError(LostStreamError):
    """The target ended an answer and takes no connections any more."""

    reason = messages.Reason.TARGET_DOWN


@dataclasses.dataclass(frozen=True)
class TargetCall:
    """One request in the form that is sent to the target.

    Attributes:
        request_id: The id of the caller's request.
        method: The HTTP method.
        path: The path.
        body: The body.
        content_type: The body's content type.
        first_seq: The sequence number of the answer's first chunk.
        order_id: The id of the claim of an order; empty otherwise.
        fence: The fencing number of an order; 0 otherwise.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    first_seq: int = 0
    order_id: str = ""
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The status and headers of a target's answer.

    Attributes:
        status: The HTTP status.
        content_type: The answer's content type.
        incarnation: The engine's incarnation.
        weights_version: The version of the weights that generate it.
        prompt_pieces: Number of pieces of the prompt.
        cached_pieces: Number of these that were cached.
        rate_limit: The header by which the target names the requests a
            second that it takes; empty for no limit.
    """

    status: int
    content_type: str
    incarnation: str = ""
    weights_version: str = ""
    prompt_pieces: int = 0
    cached_pieces: int = 0
    rate_limit: str = ""

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return self.content_type.startswith(EVENT_STREAM_TYPE)


class Answer(abc.ABC):
    """An answer that is being read from a target.

    Attributes:
        is_resumable: Whether it can be resumed on another connection, as far
            as is known yet.
    """

    is_resumable = False

    @abc.abstractmethod
    async def read_head(self, silence_ms: float) -> AnswerHead:
        """Returns the status and headers of the answer.

        Args:
            silence_ms: The longest time without a byte.

        Raises:
            SilentTargetError: If no byte arrives in that time; the method
                may be called again then.
            BrokenAnswerError: If the answer ends within its head.
        """

    @abc.abstractmethod
    def read_chunks(
        self, silence_ms: float
    ) -> AsyncIterator[tuple[bytes, ...]]:
        """Yields chunks as they arrive, until the answer is complete.

        Args:
            silence_ms: The longest time without a byte.

        Raises:
            SilentTargetError: If no byte arrives in that time; the method
                may be called again then.
            BrokenAnswerError: If the answer ends before it is complete.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection."""


_Text = Annotated[str, msgspec.Meta(max_length=json_input.MAX_TEXT_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=json_input.MAX_INTEGER)]


class EngineLoadReport(msgspec.Struct, frozen=True):
    """A target's load report.

    Attributes:
        incarnation: The engine's incarnation.
        model: The model that it serves.
        weights_version: The version of the weights that it serves.
        adapters: The adapters that it has loaded.
        role: Its role.
        loading: The weights or adapter that it is loading; empty for none,
            None if it does not report this.
        running: Number of running requests.
        queued: Number of requests in the target's own queue.
        slots: Number of requests that it runs concurrently; 0 if it does not
            report this.
        cached_blocks: Number of blocks in its cache.
        capacity_blocks: Number of blocks that its cache has room for.
        age_ms: The age of the report.
    """

    incarnation: _Text = ""
    model: _Text = ""
    weights_version: _Text = ""
    adapters: tuple[_Text, ...] = ()
    role: _Text = ""
    loading: _Text | None = None
    running: _Count = 0
    queued: _Count = 0
    slots: _Count = 0
    cached_blocks: _Count = 0
    capacity_blocks: _Count = 0
    age_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class TargetDriver(abc.ABC):
    """Implements the protocol of one kind of target; never retries a call."""

    @abc.abstractmethod
    async def send(
        self, call: TargetCall, before_send: Callable[[], None]
    ) -> Answer:
        """Sends a request once, on a new connection.

        Args:
            call: The request.
            before_send: Called directly before the first byte is sent; if it
                raises, nothing is sent.

        Returns:
            The answer, which has not been read yet.

        Raises:
            NotSentError: If the connection fails.
        """

    @abc.abstractmethod
    async def resume(self, request_id: str, from_seq: int) -> Answer:
        """Resumes an answer on a new connection.

        Args:
            request_id: The id of the request.
            from_seq: The sequence number of the first chunk to send again.

        Raises:
            NotSentError: If the connection fails.
            LostStreamError: If the target can't resume answers.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Cancels a request that nobody waits for, if that is possible."""

    @abc.abstractmethod
    async def is_healthy(self) -> bool:
        """Returns whether a health check on a new connection succeeds."""

    @abc.abstractmethod
    async def fetch_load(self) -> EngineLoadReport:
        """Returns the target's load report.

        Raises:
            TargetError: If the target doesn't answer.
        """

    @abc.abstractmethod
    async def send_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Sends a target order to the target.

        Args:
            order: The order, with its fencing number.

        Raises:
            NotSentError: If no byte of the order was sent.
            BrokenAnswerError: If the order may have been executed.
        """


__all__ = [
    "EVENT_STREAM_TYPE",
    "Answer",
    "AnswerHead",
    "BrokenAnswerError",
    "EngineLoadReport",
    "InvalidAnswerError",
    "LostStreamError",
    "NotSentError",
    "SilentTargetError",
    "TargetCall",
    "TargetDriver",
    "TargetError",
]
