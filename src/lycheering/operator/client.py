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

CALL_TIMEOUT_MS = 3_000
MIN_ROUNDS = 3
ROUND_PAUSE_MS = 200
MAX_ROUND_PAUSE_MS = 1_000
PATIENCE_MS = 10_000
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


class _Attempts:
    """What the attempts at one call came to.

    Attributes:
        failures: What went wrong, by endpoint and in order.
        refusal: The last refusal that may end by itself.
        maybe_done: Whether an attempt may have been acted on.
    """

    def __init__(self, call: Call) -> None:
        self.failures: list[str] = []
        self.refusal: answers.ErrorBody | None = None
        self.maybe_done = False
        self._call = call

    def add(
        self, origin: web_client.Origin, error: Exception, *, done: bool
    ) -> None:
        """Adds a failed attempt, which may have been acted on."""
        self.failures.append(f"{origin.host_header}: {error}")
        if not done or self._call.kind is CallKind.READ:
            return
        self.maybe_done = True
        if self._call.kind is CallKind.WRITE:
            # sent again, it could be acted on twice
            raise self.error()

    def pause_ms(self) -> float:
        """Returns the time until the next round."""
        asked_ms = self.refusal.retry_after_ms if self.refusal else 0.0
        return min(max(ROUND_PAUSE_MS, asked_ms), MAX_ROUND_PAUSE_MS)

    def error(self) -> errors.OperatorError:
        """Returns how the call ended."""
        text = "; ".join(dict.fromkeys(self.failures))
        if self.maybe_done:
            return errors.OutcomeUnknownError(text)
        if self.refusal is not None:
            return errors.RefusedError(self.refusal)
        return errors.UnreachableError(text)


class OperatorClient:
    """Calls control instances, one after another until one answers.

    A write that carries a change id is sent again when its answer is lost;
    the instances answer a change id they know with its first outcome.
    """

    def __init__(
        self,
        origins: Sequence[web_client.Origin],
        key: str = "",
        patience_ms: float = PATIENCE_MS,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._origins = origins
        self._patience_ms = patience_ms
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
        attempts = _Attempts(call)
        give_up_ms = self._clock.now_ms() + self._patience_ms
        rounds = 0
        while True:
            for origin in self._origins:
                content = await self._try(origin, call, attempts)
                if content is not None:
                    return content
            rounds += 1
            in_time = self._clock.now_ms() < give_up_ms
            # what is in doubt is asked for longer than what is not done
            if rounds >= MIN_ROUNDS and not (attempts.maybe_done and in_time):
                raise attempts.error()
            await self._clock.sleep(attempts.pause_ms())

    async def _try(
        self, origin: web_client.Origin, call: Call, attempts: _Attempts
    ) -> bytes | None:
        """Returns the answer, or None if another endpoint may be asked."""
        try:
            return await self._exchange(origin, call)
        except web_client.ConnectFailedError as error:
            attempts.add(origin, error, done=False)
        except web_client.ExchangeBrokenError as error:
            attempts.add(origin, error, done=True)
        except errors.RefusedError as error:
            if error.body.reason not in (UNKNOWN_OUTCOME, NO_QUORUM):
                raise
            attempts.refusal = error.body
            done = error.body.reason == UNKNOWN_OUTCOME
            attempts.add(origin, error, done=done)
        return None

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


__all__ = [
    "CALL_TIMEOUT_MS",
    "MIN_ROUNDS",
    "PATIENCE_MS",
    "Call",
    "CallKind",
    "OperatorClient",
    "decode",
]
