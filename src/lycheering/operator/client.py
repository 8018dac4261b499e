"""Client of the control instances' HTTP API for operators."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from lycheering import clock as clocks
from lycheering import json_input
from lycheering.operator import answers
from lycheering.operator import errors
from lycheering.web import client as web_client

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_TIMEOUT_MS = 3_000
MIN_ROUNDS = 3
ROUND_PAUSE_MS = 200
MAX_ROUND_PAUSE_MS = 1_000
RETRY_TIMEOUT_MS = 10_000
MAX_RESPONSE_BYTES = 64 * 1_024 * 1_024
CLIENT_ERROR_STATUS = 400
NO_QUORUM = "no_quorum"
UNKNOWN_OUTCOME = "unknown_outcome"

AnswerT = TypeVar("AnswerT")


class CallKind(enum.Enum):
    """Whether a call may safely be sent more than once."""

    READ = "read"
    IDEMPOTENT_WRITE = "idempotent_write"
    WRITE = "write"


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of the HTTP API.

    Attributes:
        method: The HTTP method.
        path: The path, with the query if there is one.
        kind: Whether the call may safely be sent more than once.
        body: The JSON body, if any.
        timeout_ms: The timeout of one HTTP exchange.
    """

    method: str
    path: str
    kind: CallKind = CallKind.READ
    body: bytes = b""
    timeout_ms: float = CALL_TIMEOUT_MS


class _FailedAttempts:
    """The failed attempts at one call.

    Attributes:
        failures: The endpoint and error of each attempt, in order.
        refusal: The last refusal for a reason that may pass by itself.
        may_have_run: Whether an attempt may have been carried out.
    """

    def __init__(self, call: Call) -> None:
        self.failures: list[str] = []
        self.refusal: answers.ErrorBody | None = None
        self.may_have_run = False
        self._call = call

    def add(
        self, origin: web_client.Origin, error: Exception, *, may_have_run: bool
    ) -> None:
        """Records a failed attempt.

        Args:
            origin: The endpoint.
            error: The failure.
            may_have_run: Whether the attempt may have been carried out.

        Raises:
            OutcomeUnknownError: If it may have been, and the call isn't
                idempotent.
        """
        self.failures.append(f"{origin.host_header}: {error}")
        if not may_have_run or self._call.kind is CallKind.READ:
            return
        self.may_have_run = True
        if self._call.kind is CallKind.WRITE:
            # a resend could carry it out twice
            raise self.error()

    def pause_ms(self) -> float:
        """Returns the time to wait before the next round."""
        requested_ms = self.refusal.retry_after_ms if self.refusal else 0.0
        return min(max(ROUND_PAUSE_MS, requested_ms), MAX_ROUND_PAUSE_MS)

    def error(self) -> errors.OperatorError:
        """Returns the error to raise when no attempt succeeded."""
        text = "; ".join(dict.fromkeys(self.failures))
        if self.may_have_run:
            return errors.OutcomeUnknownError(text)
        if self.refusal is not None:
            return errors.RefusedError(self.refusal)
        return errors.UnreachableError(text)


class OperatorClient:
    """Calls control instances, one after another until one responds.

    A write with a change id is resent when its response is lost; an instance
    that already knows the change id responds with the original outcome.
    """

    def __init__(
        self,
        origins: Sequence[web_client.Origin],
        key: str = "",
        retry_timeout_ms: float = RETRY_TIMEOUT_MS,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._origins = origins
        self._retry_timeout_ms = retry_timeout_ms
        self._header_by_name = {"Content-Type": "application/json"}
        if key:
            self._header_by_name["Authorization"] = f"Bearer {key}"
        self._clock = clock or clocks.Clock()

    async def call(self, call: Call) -> bytes:
        """Makes a call and returns the JSON body of the response.

        Args:
            call: The call.

        Returns:
            The body of the response.

        Raises:
            RefusedError: If a control instance refused the call.
            UnreachableError: If no endpoint received the call.
            OutcomeUnknownError: If the call may have been carried out.
        """
        attempts = _FailedAttempts(call)
        retry_until_ms = self._clock.now_ms() + self._retry_timeout_ms
        rounds = 0
        while True:
            for origin in self._origins:
                content = await self._try_origin(origin, call, attempts)
                if content is not None:
                    return content
            rounds += 1
            in_time = self._clock.now_ms() < retry_until_ms
            # a write of unknown outcome is resent for longer than a call that
            # surely wasn't carried out
            if rounds >= MIN_ROUNDS and not (attempts.may_have_run and in_time):
                raise attempts.error()
            await self._clock.sleep(attempts.pause_ms())

    async def _try_origin(
        self, origin: web_client.Origin, call: Call, attempts: _FailedAttempts
    ) -> bytes | None:
        """Returns the response, or None if another endpoint may be tried."""
        try:
            return await self._exchange(origin, call)
        except web_client.ConnectFailedError as error:
            attempts.add(origin, error, may_have_run=False)
        except web_client.ExchangeBrokenError as error:
            attempts.add(origin, error, may_have_run=True)
        except errors.RefusedError as error:
            if error.body.reason not in (UNKNOWN_OUTCOME, NO_QUORUM):
                raise
            attempts.refusal = error.body
            may_have_run = error.body.reason == UNKNOWN_OUTCOME
            attempts.add(origin, error, may_have_run=may_have_run)
        return None

    async def call_decoded(
        self, call: Call, answer_type: type[AnswerT]
    ) -> AnswerT:
        """Makes a call like `call`, and decodes the response."""
        return decode(await self.call(call), answer_type)

    async def _exchange(self, origin: web_client.Origin, call: Call) -> bytes:
        reply = await web_client.fetch(
            origin,
            call.method,
            call.path,
            header_by_name=self._header_by_name,
            body=call.body,
            timeout_ms=call.timeout_ms,
            max_bytes=MAX_RESPONSE_BYTES,
        )
        status = reply.head.status
        if status < CLIENT_ERROR_STATUS:
            return reply.body
        try:
            answer = json_input.decode(reply.body, answers.ErrorAnswer)
        except msgspec.DecodeError as error:
            problem = f"status {status} without a valid error body"
            raise web_client.ExchangeBrokenError(problem) from error
        raise errors.RefusedError(answer.error)


def decode(content: bytes, answer_type: type[AnswerT]) -> AnswerT:
    """Decodes the JSON body of a response.

    Raises:
        MalformedAnswerError: If the body doesn't match the type.
    """
    try:
        return json_input.decode(content, answer_type)
    except msgspec.DecodeError as error:
        raise errors.MalformedAnswerError(str(error)) from error


__all__ = [
    "CALL_TIMEOUT_MS",
    "MIN_ROUNDS",
    "RETRY_TIMEOUT_MS",
    "Call",
    "CallKind",
    "OperatorClient",
    "decode",
]
