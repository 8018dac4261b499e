"""Types of requests and answers, and the interface to their header formats."""

from __future__ import annotations

import abc
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.web import connection_pool

Headers = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """The headers of a request are missing or malformed."""


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One of the consecutive parts of a prompt.

    Attributes:
        key: Identifies the part's content.
        tokens: Number of tokens in it.
    """

    key: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a request say.

    Attributes:
        request_id: Id of this request; each retry by the caller has another.
        caller_timeout_ms: How long the caller waits for the answer; None if not
            given.
        bearer_key: The caller's bearer key; empty for none.
        model: Name of the requested model; empty for plain services.
        prompt_parts: The parts of its prompt. Only the last one is the
            request's own, the others may occur in other prompts as well.
        prompt_tokens: Number of tokens in its prompt.
        output_tokens: Largest number of tokens to generate.
        last_event_id: Id of the last stream event that the caller received;
            empty for none.
        resumed_id: Id of the request that brought the first event of the
            stream that this one takes up; empty if it is not named.
    """

    request_id: str
    caller_timeout_ms: float | None
    bearer_key: str
    model: str = ""
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str = ""
    resumed_id: str = ""


@dataclasses.dataclass(frozen=True)
class SendOptions:
    """What the entry adds to a request that it sends to a target.

    Attributes:
        target_id: Id of the target's run that the request is meant for.
        remaining_ms: Time that is left until the caller's deadline.
        team: Team of the request; empty for none.
        priority: Priority of the request, 0 is the most urgent; None for the
            target's default.
        cache_scope: Requests of different scopes share no cache entries.
        last_event_id: Id of the last stream event that the caller received;
            empty for none.
        fetch_from: Address to fetch KV cache blocks from, `ip:port`; empty
            for none.
        save_to: Address of the store to save KV cache blocks to, `ip:port`;
            empty for none.
        weights_version: Weights version that the target must have; 0 for any.
    """

    target_id: str
    remaining_ms: float
    team: str = ""
    priority: int | None = None
    cache_scope: str = ""
    last_event_id: str = ""
    fetch_from: str = ""
    save_to: str = ""
    weights_version: int = 0


class AnswerKind(enum.Enum):
    """What a target's answer means for its request.

    Attributes:
        RAN: The target ran the request.
        NOT_RUN: The target rejected the request without running it.
        WRONG_TARGET: The request was meant for another run of the target or
            for other weights, and was not run.
        STALE: The answer belongs to another request.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    WRONG_TARGET = "other_target"
    STALE = "other_request"


@dataclasses.dataclass(frozen=True)
class AnswerMetadata:
    """What the status and headers of a target's answer say.

    Attributes:
        kind: What the answer means for the request.
        running: Number of requests that the target runs; None if not given.
        waiting: Number of requests that wait at the target.
        is_shutting_down: Whether the target is about to shut down.
        retry_after_ms: Back-off that the target asks for; 0 for none.
        has_request_id: Whether it says which request it belongs to.
        rate_limit_per_s: Requests a second that the target takes from all
            entries together; infinite without a limit, None if what it says
            is malformed.
        work_percent: How long work takes at the target at this moment; 100 is
            usual, more is slower. None if it does not say so.
    """

    kind: AnswerKind
    running: int | None = None
    waiting: int = 0
    is_shutting_down: bool = False
    retry_after_ms: float = 0.0
    has_request_id: bool = True
    rate_limit_per_s: float | None = math.inf
    work_percent: float | None = None


class HeaderCodec(abc.ABC):
    """Reads and writes the headers that callers and targets use.

    Attributes:
        event_fields: Names of fields that the events of streams may have
            besides those of the standard.
    """

    event_fields: frozenset[bytes] = frozenset()

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """Returns what the headers of a request say.

        Raises:
            BadRequestError: If a header is missing or malformed.
        """

    @abc.abstractmethod
    def target_headers(
        self, headers: Headers, send_options: SendOptions
    ) -> Headers:
        """Returns the headers of the request to the target.

        Args:
            headers: The headers of the caller's request.
            send_options: What the entry adds to them.
        """

    @abc.abstractmethod
    def read_answer(
        self, head: connection_pool.ResponseHead, metadata: RequestMetadata
    ) -> AnswerMetadata:
        """Returns what the status and headers of an answer say.

        Args:
            head: The start of the target's answer.
            metadata: What the headers of the request said.
        """

    @abc.abstractmethod
    def caller_headers(self, headers: Headers) -> Headers:
        """Returns the headers of the answer to the caller.

        Args:
            headers: The headers of the target's answer.
        """

    @abc.abstractmethod
    def refusal_headers(
        self, headers: Headers, retry_after_ms: float
    ) -> Headers:
        """Returns the headers of a refusal by the entry.

        Args:
            headers: The headers of the caller's request.
            retry_after_ms: Time after which the caller may retry; 0 if a
                retry is of no use.
        """

    @abc.abstractmethod
    def request_id(self, headers: Headers) -> str:
        """Returns the id of a request; empty if it has none."""


__all__ = [
    "AnswerKind",
    "AnswerMetadata",
    "BadRequestError",
    "HeaderCodec",
    "Headers",
    "PromptPart",
    "RequestMetadata",
    "SendOptions",
]
