"""Calls to the operators' HTTP interface of any control instance."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from lycheering import clock as clocks
from lycheering.operator import answers
from lycheering.operator import errors
from lycheering.web import client as web_client

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_TIMEOUT_MS = 5_000
MAX_ROUNDS = 3
ROUND_PAUSE_MS = 200
MAX_ANSWER_BYTES = 64 * 1_024 * 1_024
CLIENT_ERROR_STATUS = 400
NO_QUORUM = "no_quorum"
UNKNOWN_OUTCOME = "unknown_outcome"

AnswerT = TypeVar("AnswerT")


class CallKind(enum.Enum):
    """What it does to send a call again."""

    READ = "read"
    IDEMPOTENT_WRITE = "idempotent_write"
    WRITE = "write"


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of the interface.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        kind: What it does to send it again.
        body: The JSON body, if any.
        timeout_ms: Time for one exchange.
    """

    method: str
    path: str
    kind: CallKind = CallKind.READ
    body: bytes = b""
    timeout_ms: float = CALL_TIMEOUT_MS


class OperatorClient:
    """Calls control instances, one after another until one answers.

    A write that carries a change id is sent again when its answer is lost;
    the instances answer a change id they know with its first outcome.
    """

    def __init__(
        self,
        origins: Sequence[web_client.Origin],
        key: str = "",
        clock: clocks.Clock | None = None,
    ) -> None:
        self._origins = origins
        self._header_by_name = {"Content-Type": "application/json"}
        if key:
            self._header_by_name["Authorization"] = f"Bearer {key}"
        self._clock = clock or clocks.Clock()

    async def call(self, call: Call) -> bytes:
        """Makes a call and returns the JSON answered.

        Args:
            call: The call.

        Returns:
            The body of the answer.

        Raises:
            RefusedError: If it was answered and refused.
            UnreachableError: If no endpoint took it.
            OutcomeUnknownError: If it may have been acted on.
        """
        maybe_done = False
        failures: list[str] = []
        refusal: answers.ErrorBody | None = None
        for round_number in range(MAX_ROUNDS):
            if round_number:
                await self._clock.sleep(ROUND_PAUSE_MS)
            for origin in self._origins:
                try:
                    return await self._exchange(origin, call)
                except web_client.ConnectFailedError as error:
                    failures.append(str(error))
                except web_client.ExchangeBrokenError as error:
                    failures.append(f"{origin.host_header}: {error}")
                    maybe_done = call.kind is not CallKind.READ
                except errors.RefusedError as error:
                    if error.body.reason == UNKNOWN_OUTCOME:
                        failures.append(f"{origin.host_header}: {error}")
                        maybe_done = True
                    elif error.body.reason == NO_QUORUM:
                        refusal = error.body
                    else:
                        raise
                if maybe_done and call.kind is CallKind.WRITE:
                    raise _unknown(failures)
        if maybe_done:
            raise _unknown(failures)
        if refusal is not None:
            raise errors.RefusedError(refusal)
        tried = list(dict.fromkeys(failures))
        raise errors.UnreachableError("; ".join(tried))

    async def ask(self, call: Call, answer_type: type[AnswerT]) -> AnswerT:
        """Makes a call and returns its answer, as `call` does."""
        return decode(await self.call(call), answer_type)

    async def _exchange(self, origin: web_client.Origin, call: Call) -> bytes:
        reply = await web_client.fetch(
            origin,
            call.method,
            call.path,
            header_by_name=self._header_by_name,
            body=call.body,
            timeout_ms=call.timeout_ms,
            max_bytes=MAX_ANSWER_BYTES,
        )
        status = reply.head.status
        if status < CLIENT_ERROR_STATUS:
            return reply.body
        try:
            answer = msgspec.json.decode(reply.body, type=answers.ErrorAnswer)
        except msgspec.DecodeError as error:
            problem = f"status {status} without a reason"
            raise web_client.ExchangeBrokenError(problem) from error
        raise errors.RefusedError(answer.error)


def decode(content: bytes, answer_type: type[AnswerT]) -> AnswerT:
    """Reads an answer's JSON.

    Raises:
        MalformedAnswerError: If it has another shape.
    """
    try:
        return msgspec.json.decode(content, type=answer_type)
    except msgspec.DecodeError as error:
        raise errors.MalformedAnswerError(str(error)) from error


def _unknown(failures: list[str]) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError("; ".join(dict.fromkeys(failures)))


__all__ = [
    "CALL_TIMEOUT_MS",
    "MAX_ROUNDS",
    "Call",
    "CallKind",
    "OperatorClient",
    "decode",
]
