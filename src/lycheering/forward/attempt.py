"""Sends a request to one target and hands the answer to its caller."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from lycheering import counts
from lycheering.forward import api
from lycheering.forward import event_stream
from lycheering.forward import job as jobs
from lycheering.forward import refusals
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import Collection

    from lycheering import clock
    from lycheering.forward import choice
    from lycheering.forward import target_registry
    from lycheering.forward import target_state
    from lycheering.web import kept_connections

CONNECT_TIMEOUT_MS = 400.0
# answers up to this size are held back until they are whole; larger ones are
# handed on as they come
WHOLE_BYTES = 262_144
# what says that a request did not run is short
MAX_NOT_RUN_BYTES = 65_536
MAX_EVENT_BYTES = 1_048_576
# late answers to other requests that are passed over on one connection
MAX_OTHER_ANSWERS = 3
EVENT_STREAM = "text/event-stream"

_LOG = logs.get("forward")


class Result(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    CUT = "cut"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How an attempt ended and what the target said.

    Attributes:
        result: How it ended.
        status: The target's HTTP status, 0 for none.
        detail: Text for people.
    """

    result: Result
    status: int = 0
    detail: str = ""


class Attempts:
    """Makes attempts over kept connections.

    Attributes:
        registry: What is known of targets.
    """

    def __init__(
        self,
        connections: kept_connections.KeptConnections,
        registry: target_registry.TargetRegistry,
        dialect: api.Dialect,
        time: clock.Clock,
    ) -> None:
        self.registry = registry
        self._connections = connections
        self._dialect = dialect
        self._clock = time

    async def run(
        self, job: jobs.Job, estimate: choice.Estimate, sending: api.Sending
    ) -> Outcome:
        """Sends a request to one target and hands its answer on.

        Args:
            job: The request.
            estimate: The target and what is expected there.
            sending: What the target is told besides.
        """
        estimate.state.chosen(self._clock.now_ms())
        attempt = _Attempt(self, job, estimate)
        try:
            connection = await self._connect(estimate.state)
        except client.ConnectFailedError as error:
            return Outcome(Result.NOT_SENT, detail=str(error))
        if job.caller.is_gone:
            self._connections.give_back(estimate.state.target.key, connection)
            raise refusals.CallerGoneError
        number = estimate.state.begin(
            self._clock.now_ms(),
            job.work.prompt_tokens + job.traits.output_tokens,
            estimate.unread_tokens,
            connection.abort,
        )
        job.caller.watch_with(connection.abort)
        try:
            connection.send(self._encode(job, sending))
            return await attempt.answer(connection, number)
        finally:
            job.caller.watch_with(None)
            estimate.state.end(number)
            if job.caller.is_gone or not attempt.may_be_kept:
                connection.close()
            else:
                self._connections.give_back(
                    estimate.state.target.key, connection
                )

    def connected(self) -> Collection[str]:
        """Returns the keys of targets to which a connection is kept."""
        return self._connections.idle_keys()

    async def _connect(
        self, state: target_state.TargetState
    ) -> kept_connections.KeptConnection:
        kept = self._connections.take(state.target.key)
        if kept is not None:
            return kept
        origin = client.Origin(state.target.ip, state.target.port)
        opened = await self._connections.open(origin, CONNECT_TIMEOUT_MS)
        state.reached_ms = self._clock.now_ms()
        return opened

    def _encode(self, job: jobs.Job, sending: api.Sending) -> bytes:
        headers = self._dialect.target_headers(job.headers, sending)
        lines = [f"{job.method} {job.path} HTTP/1.1".encode("latin-1")]
        lines += [b"%s: %s" % header for header in headers]
        if job.body or job.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(job.body))
        return b"\r\n".join([*lines, b"", job.body])

    def left_ms(self, job: jobs.Job) -> float:
        """Returns how long a request may still wait."""
        return job.until_ms - self._clock.now_ms()

    def now_ms(self) -> float:
        """Returns the time."""
        return self._clock.now_ms()

    @property
    def dialect(self) -> api.Dialect:
        """The names and forms that callers and targets use."""
        return self._dialect


class _Attempt:
    """The answer to one sending."""

    def __init__(
        self, owner: Attempts, job: jobs.Job, estimate: choice.Estimate
    ) -> None:
        self._is_over = False
        self._is_doubtful = False
        self._owner = owner
        self._job = job
        self._estimate = estimate
        self._state = estimate.state

    @property
    def may_be_kept(self) -> bool:
        """Whether the connection may carry another exchange."""
        return self._is_over and not self._is_doubtful

    async def answer(
        self, connection: kept_connections.KeptConnection, number: int
    ) -> Outcome:
        """Hands the answer on as it comes."""
        try:
            return await self._answer(connection, number)
        except client.SilenceError as error:
            return Outcome(Result.TIMEOUT, detail=str(error))
        except client.ExchangeBrokenError as error:
            if self._job.caller.is_gone:
                raise refusals.CallerGoneError from error
            result = Result.BROKEN
            if self._job.caller.has_begun:
                result = Result.CUT
            return Outcome(result, detail=str(error))

    async def _answer(
        self, connection: kept_connections.KeptConnection, number: int
    ) -> Outcome:
        job = self._job
        head, traits = await self._own_head(connection)
        now_ms = self._owner.now_ms()
        self._state.reported(traits, now_ms)
        self._state.answered(number, now_ms)
        if traits.kind is api.AnswerKind.OTHER_TARGET:
            self._state.is_version_doubtful = True
        if traits.kind is not api.AnswerKind.RAN:
            await self._body(connection, MAX_NOT_RUN_BYTES)
            return Outcome(Result.NOT_RUN, head.status, traits.kind.value)
        is_success = 200 <= head.status < 300
        if is_success:
            tokens = [part.tokens for part in job.traits.parts]
            self._owner.registry.read(
                self._state,
                job.work.chains,
                tokens,
                self._estimate.ahead_tokens,
                now_ms - job.sent_ms - self._estimate.ahead_ms,
            )
            job.shared_parts.count(self._owner.registry, tokens)
        if is_success and EVENT_STREAM in head.get(b"content-type"):
            return await self._stream(connection, head)
        may_go_on = not is_success and job.may_repeat and head.status >= 500
        if not may_go_on and not job.caller.has_begun:
            return await self._whole_or_parts(connection, head)
        body = await self._body(connection, WHOLE_BYTES)
        if may_go_on:
            job.failed_answer = jobs.KeptAnswer(head.status, head.headers, body)
            return Outcome(Result.FAILED, head.status)
        return Outcome(Result.CUT, head.status, "no stream")

    async def _own_head(
        self, connection: kept_connections.KeptConnection
    ) -> tuple[kept_connections.ResponseHead, api.AnswerTraits]:
        """Returns the head of this request's answer.

        On a connection that was used before, a late second copy of an
        earlier answer may come first; its bytes belong to nobody.
        """
        for _ in range(MAX_OTHER_ANSWERS):
            head = await connection.head(self._left_ms())
            traits = self._owner.dialect.read_answer(head, self._job.traits)
            if traits.kind is not api.AnswerKind.OTHER_REQUEST:
                return head, traits
            self._is_doubtful = True
            _LOG.warning(
                "other_answer",
                id=self._job.traits.request_id,
                target=self._state.target.target_id,
                status=head.status,
                exchanges=connection.exchanges,
            )
            if connection.exchanges == 1:
                break
            await connection.skip(self._left_ms())
        raise client.ExchangeBrokenError("the answer to another request")

    async def _whole_or_parts(
        self,
        connection: kept_connections.KeptConnection,
        head: kept_connections.ResponseHead,
    ) -> Outcome:
        """Hands on an answer that is no stream of events."""
        job = self._job
        parts: list[bytes] = []
        size = 0
        while size <= WHOLE_BYTES:
            part = await connection.part(self._left_ms())
            if not part:
                self._is_over = True
                answer = jobs.KeptAnswer(
                    head.status, head.headers, b"".join(parts)
                )
                await deliver(job, self._owner, answer)
                return Outcome(Result.DONE, head.status)
            parts.append(part)
            size += len(part)
        job.first_byte_ms = self._owner.now_ms()
        headers = self._owner.dialect.caller_headers(head.headers)
        await job.caller.begin(head.status, headers)
        await job.caller.part(b"".join(parts))
        while part := await connection.part(self._left_ms()):
            await job.caller.part(part)
        self._is_over = True
        await job.caller.finish()
        return Outcome(Result.DONE, head.status)

    def _left_ms(self) -> float:
        left_ms = self._owner.left_ms(self._job)
        if left_ms <= 0:
            raise client.SilenceError("no time left")
        return left_ms

    async def _body(
        self, connection: kept_connections.KeptConnection, most_bytes: int
    ) -> bytes:
        parts = []
        size = 0
        while part := await connection.part(self._left_ms()):
            parts.append(part)
            size += len(part)
            if size > most_bytes:
                raise client.ExchangeBrokenError(f"over {most_bytes} bytes")
        self._is_over = True
        return b"".join(parts)

    async def _stream(
        self,
        connection: kept_connections.KeptConnection,
        head: kept_connections.ResponseHead,
    ) -> Outcome:
        job = self._job
        splitter = event_stream.EventSplitter()
        while data := await connection.part(self._left_ms()):
            self._state.heard_ms = self._owner.now_ms()
            ready = self._unseen(splitter.feed(data))
            if len(splitter.rest) > MAX_EVENT_BYTES:
                raise client.ExchangeBrokenError("an event without an end")
            if not ready:
                continue
            if not job.caller.has_begun:
                job.first_byte_ms = self._owner.now_ms()
                headers = self._owner.dialect.caller_headers(head.headers)
                await job.caller.begin(head.status, headers)
            await job.caller.part(ready)
        if splitter.rest:
            raise client.ExchangeBrokenError("ended inside an event")
        self._is_over = True
        if not job.caller.has_begun:
            raise client.ExchangeBrokenError("a stream without events")
        await job.caller.finish()
        return Outcome(Result.DONE, head.status)

    def _unseen(self, events: list[bytes]) -> bytes:
        """Returns the events that the caller does not have yet."""
        job = self._job
        unseen = []
        for event in events:
            event_id = self._owner.dialect.event_id(event)
            if event_id:
                if _is_seen(event_id, job.last_event_id):
                    continue
                job.last_event_id = event_id
            unseen.append(event)
        return b"".join(unseen)


def _is_seen(event_id: str, last_event_id: str) -> bool:
    number = counts.read_count(event_id)
    last_number = counts.read_count(last_event_id)
    if number is None or last_number is None:
        return False
    return number <= last_number


async def deliver(
    job: jobs.Job, owner: Attempts, answer: jobs.KeptAnswer
) -> None:
    """Hands a whole answer to its caller."""
    kept = [
        (name, value)
        for name, value in owner.dialect.caller_headers(answer.headers)
        if name != b"content-length"
    ]
    if job.method != "HEAD":
        kept.append((b"content-length", b"%d" % len(answer.body)))
    job.first_byte_ms = owner.now_ms()
    await job.caller.begin(answer.status, kept)
    await job.caller.finish(answer.body)


__all__ = ["Attempts", "Outcome", "Result", "deliver"]
