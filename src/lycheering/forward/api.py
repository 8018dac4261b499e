"""What forwarding needs to know of a request and of an answer."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.web import kept_connections

Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A request can't be read."""


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, in order from its start.

    Attributes:
        key: Names its content.
        tokens: Its length.
    """

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestTraits:
    """What a caller says of its request.

    Attributes:
        request_id: The id of this one sending by the caller.
        patience_ms: How long the caller waits; None if it does not say.
        key: The caller's bearer key; empty for none.
        model: The model asked for; empty for plain services.
        parts: The parts of its prompt, the last one its own.
        prompt_tokens: The tokens of its prompt.
        output_tokens: The most tokens that it may generate.
        last_event_id: The last event of a stream that the caller has.
    """

    request_id: str
    patience_ms: float | None
    key: str
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True)
class Sending:
    """What is told a target besides the request itself.

    Attributes:
        target_id: The run of the target that it is for.
        left_ms: How long the caller still waits.
        team: The team that the request belongs to; empty for none.
        priority: Its rank, 0 is first; None for that of a target.
        cache_scope: Requests of other scopes share no cache entries with it.
        last_event_id: The last event that the caller has.
        fetch_from: Where to fetch cached parts from, `ip:port`.
        save_to: The store that is to keep its parts, `ip:port`.
        weights_version: The version that the target must have; 0 for any.
    """

    target_id: str
    left_ms: float
    team: str = ""
    priority: int | None = None
    cache_scope: str = ""
    last_event_id: str = ""
    fetch_from: str = ""
    save_to: str = ""
    weights_version: int = 0


class AnswerKind(enum.Enum):
    """What a target's answer means for its request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    OTHER_TARGET = "other_target"
    OTHER_REQUEST = "other_request"


@dataclasses.dataclass(frozen=True)
class AnswerTraits:
    """What a target says with the start of its answer.

    Attributes:
        kind: What it means for the request.
        running: Requests that it runs; None if it does not say.
        waiting: Requests that wait there.
        is_leaving: Whether the target says that it is about to leave.
        retry_after_ms: How long it asks to be spared; 0 for not at all.
    """

    kind: AnswerKind
    running: int | None = None
    waiting: int = 0
    is_leaving: bool = False
    retry_after_ms: float = 0.0


class Dialect(abc.ABC):
    """The names and forms that callers and targets use."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestTraits:
        """Returns what a caller says of its request.

        Raises:
            BadRequestError: If it can't be read.
        """

    @abc.abstractmethod
    def target_headers(self, headers: Headers, sending: Sending) -> Headers:
        """Returns the headers that a target gets."""

    @abc.abstractmethod
    def read_answer(
        self, head: kept_connections.ResponseHead, traits: RequestTraits
    ) -> AnswerTraits:
        """Returns what the start of an answer says."""

    @abc.abstractmethod
    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of an answer that its caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, headers: Headers, retry_after_ms: float
    ) -> Headers:
        """Returns the headers of an answer of the entry itself.

        Args:
            headers: The headers of the request.
            retry_after_ms: When to come back; 0 where that is no use.
        """

    @abc.abstractmethod
    def request_id(self, headers: Headers) -> str:
        """Returns a request's id, empty where it has none."""

    @abc.abstractmethod
    def event_id(self, event: bytes) -> str:
        """Returns the id of an event of a stream; empty for none."""


__all__ = [
    "AnswerKind",
    "AnswerTraits",
    "BadRequestError",
    "Dialect",
    "Headers",
    "PromptPart",
    "RequestTraits",
    "Sending",
]
