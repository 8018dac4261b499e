"""What an agent asks of the target beside it."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


class TargetError(Exception):
    """The base of failed exchanges with a target.

    Attributes:
        reason: Why, as told to the entry.
    """

    reason = messages.Reason.TARGET_FAILED


class NotSentError(TargetError):
    """No byte of the request left for the target."""

    reason = messages.Reason.TARGET_DOWN


class BrokenAnswerError(TargetError):
    """The request may have run, but its answer is not whole."""


class SilentTargetError(BrokenAnswerError):
    """The target sent nothing for too long."""

    reason = messages.Reason.SILENT


class LostStreamError(BrokenAnswerError):
    """The target can't go on with the answer that it began."""


@dataclasses.dataclass(frozen=True)
class TargetCall:
    """One request as the target gets it.

    Attributes:
        request_id: The caller's request.
        method: The HTTP method.
        path: The path.
        body: The body.
        content_type: The body's content type.
        first_seq: The number that the answer's first chunk has.
        order_id: The claim's id, for an order.
        fence: The fencing number, for an order; else 0.
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
    """The start of a target's answer.

    Attributes:
        status: The HTTP status.
        content_type: The answer's content type.
        incarnation: The engine's incarnation.
        weights_version: The weights that answer.
        prompt_pieces: Pieces of the prompt.
        cached_pieces: Pieces that were cached.
    """

    status: int
    content_type: str
    incarnation: str = ""
    weights_version: str = ""
    prompt_pieces: int = 0
    cached_pieces: int = 0


class Answer(abc.ABC):
    """An answer that is being read from a target.

    Attributes:
        resumable: Whether it can be picked up on another connection.
    """

    resumable = False

    @abc.abstractmethod
    async def head(self, silence_ms: float) -> AnswerHead:
        """Returns the start of the answer.

        Raises:
            SilentTargetError: If nothing came for too long; may be
                called again then.
            BrokenAnswerError: If the answer ended.
        """

    @abc.abstractmethod
    def batches(self, silence_ms: float) -> AsyncIterator[tuple[bytes, ...]]:
        """Yields chunks as they come, until the answer is whole.

        Raises:
            SilentTargetError: If nothing came for too long; may be
                called again then.
            BrokenAnswerError: If the answer ends before it is whole.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection."""


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target reports of itself, some time ago.

    Attributes:
        incarnation: The engine's incarnation.
        model: The model it serves.
        weights_version: The weights it serves.
        adapters: The adapters it holds.
        role: Its role.
        loading: The weights or adapter being loaded; empty for nothing,
            None where it does not say.
        running: Requests in work.
        queued: Requests that wait inside it.
        slots: Requests it runs at once; 0 where it does not say.
        cached_blocks: Blocks in its cache.
        capacity_blocks: Blocks its cache can hold.
        age_ms: How old the report is.
    """

    incarnation: str = ""
    model: str = ""
    weights_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    loading: str | None = None
    running: int = 0
    queued: int = 0
    slots: int = 0
    cached_blocks: int = 0
    capacity_blocks: int = 0
    age_ms: float = 0.0


class TargetDriver(abc.ABC):
    """Speaks one kind of target's protocol, and never repeats a request."""

    @abc.abstractmethod
    async def send(
        self, call: TargetCall, before_send: Callable[[], None]
    ) -> Answer:
        """Sends a request once, on a connection of its own.

        Args:
            call: The request.
            before_send: Called as the last thing before the first byte
                leaves; nothing is sent if it raises.

        Returns:
            The answer, to be read.

        Raises:
            NotSentError: If there is no connection.
        """

    @abc.abstractmethod
    async def resume(self, request_id: str, from_seq: int) -> Answer:
        """Picks an answer up on a new connection.

        Raises:
            NotSentError: If there is no connection.
            LostStreamError: If the target can't do that.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Ends a request that nobody waits for, if the target still can."""

    @abc.abstractmethod
    async def healthy(self) -> bool:
        """Returns whether the target answers on a new connection."""

    @abc.abstractmethod
    async def load(self) -> TargetLoad:
        """Returns what the target reports of itself.

        Raises:
            TargetError: If it does not answer.
        """

    @abc.abstractmethod
    async def give_order(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Hands a target order on.

        Raises:
            NotSentError: If no byte of it left.
            BrokenAnswerError: If it may have been carried out.
        """


__all__ = [
    "Answer",
    "AnswerHead",
    "BrokenAnswerError",
    "LostStreamError",
    "NotSentError",
    "SilentTargetError",
    "TargetCall",
    "TargetDriver",
    "TargetError",
    "TargetLoad",
]
