"""Sends a request to one target and forwards the answer to its caller."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from lycheering.forward import api
from lycheering.forward import pending_request
from lycheering.forward import refusals
from lycheering.retries import crash_ledger
from lycheering.routes import api as route_api
from lycheering.streams import events
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from collections.abc import Collection

    from lycheering import clock
    from lycheering.forward import target_registry
    from lycheering.forward import target_selection
    from lycheering.forward import target_state
    from lycheering.streams import stream_versions
    from lycheering.web import connection_pool

CONNECT_TIMEOUT_MS = 400.0
# Answers up to this size are buffered until they are complete; larger ones
# are forwarded as they arrive.
MAX_BUFFERED_BYTES = 262_144
# the answer of a target that did not run the request is short
MAX_NOT_RUN_BYTES = 65_536
# late answers to earlier requests that are skipped in one exchange
MAX_STALE_ANSWERS = 3
# a target that crashes as it begins to answer does so within this time
ANSWER_GRACE_MS = 250.0
MAX_LOGGED_TYPE = 40
# how long a caller that has all events waits for a proof of their end
PROOF_TIMEOUT_MS = 1_000.0
# statuses by which callers are told that their request has not run
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
EVENT_STREAM = "text/event-stream"

_LOG = logs.get("forward")


class Result(enum.StrEnum):
    """How an attempt ended.

    Attributes:
        DONE: The caller has the whole answer.
        NOT_SENT: No connection could be opened.
        NOT_RUN: The target rejected the request without running it.
        BROKEN: The exchange failed before the caller got any of the answer.
        INVALID: The target sent what is no part of the answer, whether or not
            the caller got a part of it before.
        UNPROVEN: The caller has what came, but nothing shows that the answer
            is complete.
        FAILED: The target ran the request and failed.
        CUT: The exchange failed after the caller got a part of the answer.
        TIMEOUT: The deadline of the request passed.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    INVALID = "invalid"
    UNPROVEN = "unproven"
    FAILED = "failed"
    CUT = "cut"
    TIMEOUT = "timeout"


# the exchange failed, which counts against the target
BROKEN_RESULTS = (Result.BROKEN, Result.CUT, Result.INVALID)


class AnswerProgress(enum.StrEnum):
    """How much of an answer the target had sent when an attempt ended.

    Attributes:
        NONE: Nothing.
        HEAD: Status and headers.
        BODY: Also a part of the body, of a stream at least one event.
    """

    NONE = "none"
    HEAD = "head"
    BODY = "body"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How an attempt ended, with details.

    Attributes:
        result: How it ended.
        status: The target's HTTP status; 0 for none.
        detail: Explanation for logs.
        is_connect_refused: Whether the target refused the connection at once.
    """

    result: Result
    status: int = 0
    detail: str = ""
    is_connect_refused: bool = False


@dataclasses.dataclass
class AttemptProgress:
    """What happened in one attempt so far.

    Attributes:
        sent_ms: Time at which the request was written to the target.
        answer: How much of the answer was received.
        body_ms: Time at which the body of the answer began; 0 before.
        events: Number of events of a stream that were forwarded.
    """

    sent_ms: float
    answer: AnswerProgress = AnswerProgress.NONE
    body_ms: float = 0.0
    events: int = 0

    def is_proven(self, now_ms: float) -> bool:
        """Returns whether the target began to answer without a crash."""
        return bool(self.body_ms) and now_ms >= self.body_ms + ANSWER_GRACE_MS


class AttemptRunner:
    """Makes attempts over kept connections.

    Attributes:
        registry: The states of all targets.
        crashes: Evidence of crashes of targets.
        streams: The software versions of streams.
    """

    def __init__(
        self,
        connections: connection_pool.HttpConnectionPool,
        registry: target_registry.TargetRegistry,
        header_codec: api.HeaderCodec,
        crashes: crash_ledger.CrashLedger,
        streams: stream_versions.StreamVersions,
        time: clock.Clock,
    ) -> None:
        self.registry = registry
        self.crashes = crashes
        self.streams = streams
        self._connections = connections
        self._header_codec = header_codec
        self._clock = time

    async def run(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
        send_options: api.SendOptions,
    ) -> Outcome:
        """Sends a request to one target and forwards its answer.

        Args:
            request: The request.
            estimate: The selected target and what is expected there.
            send_options: What the entry adds to it for the target.

        Raises:
            CallerGoneError: If the caller disconnected.
        """
        request.progress = None
        estimate.state.count_selection(self._clock.now_ms())
        attempt = _Attempt(self, request, estimate)
        try:
            connection = await self._connect(estimate.state)
        except client.ConnectFailedError as error:
            return Outcome(
                Result.NOT_SENT,
                detail=str(error),
                is_connect_refused=isinstance(
                    error, client.ConnectRefusedError
                ),
            )
        if request.caller.is_disconnected:
            self._connections.release(estimate.state.target.key, connection)
            raise refusals.CallerGoneError
        in_flight_id = estimate.state.add_request(
            self._clock.now_ms(),
            request.profile.prompt_tokens + request.metadata.output_tokens,
            estimate.uncached_tokens,
            connection.abort,
            is_first=request.profile.is_first,
        )
        if request.profile.is_first:
            self.registry.record_urgent_prompt(
                request.service.name, estimate.uncached_tokens
            )
        request.progress = attempt.progress
        request.abort_exchange = connection.abort
        request.caller.set_disconnect_callback(connection.abort)
        try:
            connection.send(self._encode(request, send_options))
            return await attempt.forward_answer(connection, in_flight_id)
        finally:
            request.caller.set_disconnect_callback(None)
            request.abort_exchange = None
            estimate.state.remove_request(in_flight_id)
            if request.caller.is_disconnected or not attempt.is_reusable:
                connection.close()
            else:
                self._connections.release(estimate.state.target.key, connection)

    def connected_keys(self) -> Collection[str]:
        """Returns the keys of targets to which an idle connection is open."""
        return self._connections.idle_keys()

    async def _connect(
        self, state: target_state.TargetState
    ) -> connection_pool.PersistentConnection:
        pooled = self._connections.acquire(state.target.key)
        if pooled is not None:
            return pooled
        origin = client.Origin(state.target.ip, state.target.port)
        opened = await self._connections.open(origin, CONNECT_TIMEOUT_MS)
        state.last_connect_ms = self._clock.now_ms()
        return opened

    def _encode(
        self,
        request: pending_request.PendingRequest,
        send_options: api.SendOptions,
    ) -> bytes:
        headers = self._header_codec.target_headers(
            request.headers, send_options
        )
        lines = [f"{request.method} {request.path} HTTP/1.1".encode("latin-1")]
        lines += [b"%s: %s" % header for header in headers]
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join([*lines, b"", request.body])

    def remaining_ms(self, request: pending_request.PendingRequest) -> float:
        """Returns the time until the deadline of a request."""
        return request.deadline_ms - self._clock.now_ms()

    def now_ms(self) -> float:
        """Returns the current time."""
        return self._clock.now_ms()

    @property
    def header_codec(self) -> api.HeaderCodec:
        """Reads and writes the headers of callers and targets."""
        return self._header_codec


class _Attempt:
    """Receives the answer of one attempt.

    Attributes:
        progress: What happened in the attempt so far.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
    ) -> None:
        self.progress = AttemptProgress(runner.now_ms())
        self._is_complete = False
        self._is_attributable = True
        self._unsent = b""
        self._runner = runner
        self._request = request
        self._estimate = estimate
        self._state = estimate.state

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used for another request."""
        return self._is_complete and self._is_attributable

    async def forward_answer(
        self,
        connection: connection_pool.PersistentConnection,
        in_flight_id: int,
    ) -> Outcome:
        """Forwards the answer as it arrives."""
        try:
            return await self._forward_answer(connection, in_flight_id)
        except client.SilenceError as error:
            return Outcome(Result.TIMEOUT, detail=str(error))
        except client.ExchangeBrokenError as error:
            if self._request.caller.is_disconnected:
                raise refusals.CallerGoneError from error
            result = Result.BROKEN
            if isinstance(error, client.InvalidResponseError):
                result = Result.INVALID
            elif self._request.caller.has_begun:
                result = Result.CUT
            return Outcome(result, detail=str(error))

    def _record_wrong_target(self, now_ms: float) -> None:
        """Records that the target did not take what was meant for it.

        Either it has other weights, or the run that the request was meant for
        is gone and another one has its address. If the request named no
        weights, it is the latter.
        """
        options = self._request.send_options
        if options is not None and options.weights_version:
            self._state.has_version_mismatch = True
            self._state.record_failure(now_ms)
        else:
            self._state.mark_gone()

    async def _forward_answer(
        self,
        connection: connection_pool.PersistentConnection,
        in_flight_id: int,
    ) -> Outcome:
        request = self._request
        head, metadata = await self._read_head(connection)
        now_ms = self._runner.now_ms()
        self.progress.answer = AnswerProgress.HEAD
        self._state.apply_report(metadata, now_ms)
        self._state.mark_answering(in_flight_id, now_ms)
        if metadata.kind is api.AnswerKind.WRONG_TARGET:
            self._record_wrong_target(now_ms)
        if metadata.kind is not api.AnswerKind.RAN:
            await self._read_body(connection, MAX_NOT_RUN_BYTES)
            return Outcome(Result.NOT_RUN, head.status, metadata.kind.value)
        if head.status in NOT_RUN_STATUSES:
            # passed on, it would promise the caller what nobody said
            raise client.ExchangeBrokenError(
                f"status {head.status} without word that the request did not"
                " run"
            )
        is_success = 200 <= head.status < 300
        if is_success:
            tokens = [part.tokens for part in request.metadata.prompt_parts]
            estimate = self._estimate
            elapsed_ms = now_ms - request.last_sent_ms - estimate.overhead_ms
            self._runner.registry.record_prefill(
                self._state,
                request.profile.prefix_hashes,
                tokens,
                estimate.total_prefill_tokens,
                elapsed_ms / estimate.time_factor,
                metadata.work_percent,
            )
            request.transfer_plan.record_use(self._runner.registry, tokens)
        if self._is_numbered_stream and is_success:
            return await self._forward_stream(connection, head)
        may_retry = (
            not is_success and request.is_repeatable and head.status >= 500
        )
        if not may_retry and not request.caller.has_begun:
            outcome = await self._forward_body(connection, head)
            if is_success:
                self._record_answered()
            return outcome
        body = await self._read_body(connection, MAX_BUFFERED_BYTES)
        if may_retry:
            request.failed_answer = pending_request.BufferedAnswer(
                head.status, head.headers, body, head.ends_with_connection
            )
            return Outcome(Result.FAILED, head.status)
        return Outcome(
            Result.CUT, head.status, "second answer is not an event stream"
        )

    @property
    def _is_numbered_stream(self) -> bool:
        """Whether a successful answer consists of numbered events."""
        is_stream = self._request.route.kind is route_api.RouteKind.STREAM
        return is_stream and not self._is_head_request

    @property
    def _is_head_request(self) -> bool:
        """Whether answers have no body, whatever length they name.

        The parser of the connection would wait for one, so the connection is
        not used again.
        """
        return self._request.method == "HEAD"

    async def _read_head(
        self, connection: connection_pool.PersistentConnection
    ) -> tuple[connection_pool.ResponseHead, api.AnswerMetadata]:
        """Returns the head of this request's answer.

        On a reused connection, a duplicate of an earlier answer may arrive
        late, before this request's answer. It is discarded. An answer without
        a request id may be such a duplicate, so it is not accepted there, and
        no connection is reused after one.
        """
        for _ in range(MAX_STALE_ANSWERS):
            head = await connection.read_head(self._remaining_ms())
            metadata = self._runner.header_codec.read_answer(
                head, self._request.metadata
            )
            if metadata.kind is not api.AnswerKind.STALE:
                self._is_attributable &= metadata.has_request_id
                if metadata.has_request_id or connection.request_count == 1:
                    return head, metadata
                raise client.InvalidResponseError(
                    "answer without a request id on a reused connection"
                )
            self._is_attributable = False
            _LOG.warning(
                "stale_answer",
                id=self._request.metadata.request_id,
                target=self._state.target.target_id,
                status=head.status,
                exchanges=connection.request_count,
            )
            if connection.request_count == 1:
                break
            await connection.skip_response(self._remaining_ms())
        raise client.InvalidResponseError("answer belongs to another request")

    async def _forward_body(
        self,
        connection: connection_pool.PersistentConnection,
        head: connection_pool.ResponseHead,
    ) -> Outcome:
        """Forwards an answer that is not an event stream."""
        request = self._request
        if self._is_head_request:
            answer = pending_request.BufferedAnswer(
                head.status, head.headers, b""
            )
            await send_buffered_answer(request, self._runner, answer)
            return Outcome(Result.DONE, head.status)
        parts: list[bytes] = []
        size = 0
        max_buffered_bytes = MAX_BUFFERED_BYTES
        if _is_event_stream(head):
            max_buffered_bytes = 0
        while size <= max_buffered_bytes:
            part = await connection.read_part(self._remaining_ms())
            self._mark_body()
            if not part:
                self._is_complete = True
                answer = pending_request.BufferedAnswer(
                    head.status,
                    head.headers,
                    b"".join(parts),
                    head.ends_with_connection,
                )
                await send_buffered_answer(request, self._runner, answer)
                return Outcome(Result.DONE, head.status)
            parts.append(part)
            size += len(part)
        request.first_byte_ms = self._runner.now_ms()
        headers = self._runner.header_codec.caller_headers(head.headers)
        await request.caller.begin(
            head.status,
            headers,
            ends_with_connection=head.ends_with_connection,
        )
        await request.caller.send_part(b"".join(parts))
        while part := await connection.read_part(self._remaining_ms()):
            await request.caller.send_part(part)
        self._is_complete = True
        await request.caller.finish()
        return Outcome(Result.DONE, head.status)

    def _remaining_ms(self) -> float:
        remaining_ms = min(
            self._runner.remaining_ms(self._request),
            self._request.proof_deadline_ms - self._runner.now_ms(),
        )
        if remaining_ms <= 0:
            raise client.SilenceError("request deadline passed")
        return remaining_ms

    async def _read_body(
        self, connection: connection_pool.PersistentConnection, max_bytes: int
    ) -> bytes:
        if self._is_head_request:
            return b""
        parts = []
        size = 0
        while part := await connection.read_part(self._remaining_ms()):
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise client.InvalidResponseError(
                    f"answer exceeds {max_bytes} bytes"
                )
        self._is_complete = True
        return b"".join(parts)

    async def _forward_stream(
        self,
        connection: connection_pool.PersistentConnection,
        head: connection_pool.ResponseHead,
    ) -> Outcome:
        """Forwards numbered events, from the one that is due on."""
        if not _is_event_stream(head):
            raise client.InvalidResponseError(
                "not an event stream but"
                f" {ascii(head.get(b'content-type')[:MAX_LOGGED_TYPE])}"
            )
        request = self._request
        reader = events.EventReader(
            int(request.last_event_id or 0) + 1,
            self._runner.header_codec.event_fields,
            repeated=request.unproven_events,
        )
        try:
            await self._read_events(connection, reader, head)
        finally:
            request.unproven_events = reader.unproven
        self._is_complete = True
        if not request.caller.has_begun:
            await self._begin_empty_stream(head)
        if head.ends_with_connection:
            request.proof_deadline_ms = self._runner.now_ms() + PROOF_TIMEOUT_MS
            return Outcome(
                Result.UNPROVEN,
                head.status,
                "only the end of its connection ends the stream",
            )
        await request.caller.finish()
        self._record_answered()
        if not request.send_count and not request.metadata.last_event_id:
            self._runner.registry.record_gap(
                request.route.name,
                request.longest_gap_ms / self._estimate.time_factor,
            )
        return Outcome(Result.DONE, head.status)

    async def _read_events(
        self,
        connection: connection_pool.PersistentConnection,
        reader: events.EventReader,
        head: connection_pool.ResponseHead,
    ) -> None:
        """Forwards events until the stream ends.

        Raises:
            InvalidResponseError: If something else than the next event came.
            ExchangeBrokenError: If the stream was broken off.
        """
        is_proven = False
        while data := await connection.read_part(self._remaining_ms()):
            self._state.last_byte_ms = self._runner.now_ms()
            await self._forward_events(reader.feed(data), head)
            if reader.has_held:
                self._mark_body()
            if reader.violation:
                raise client.InvalidResponseError(reader.violation)
            if not is_proven and self.progress.is_proven(self._runner.now_ms()):
                is_proven = True
                self._record_answered()
        await self._end_events(reader, head)

    async def _end_events(
        self, reader: events.EventReader, head: connection_pool.ResponseHead
    ) -> None:
        """Forwards what is believed of the held events of a stream that ended.

        Raises:
            ExchangeBrokenError: If something is left.
        """
        is_end_proven = not head.ends_with_connection
        trust = events.Trust.NONE
        if is_end_proven:
            trust = self._state.end_trust(
                self._runner.now_ms(),
                is_resumable=self._request.route.resumes_streams,
            )
        await self._forward_events(reader.accept_held(trust), head)
        if reader.is_cut:
            if is_end_proven:
                self._state.record_broken_off(self._runner.now_ms())
            raise client.ExchangeBrokenError("stream ended inside an event")
        if is_end_proven:
            self._state.record_end(is_doubtful=reader.has_held)
        if reader.has_held:
            raise client.ExchangeBrokenError(
                "stream ended with events that may be joined with others"
            )

    async def _begin_empty_stream(
        self, head: connection_pool.ResponseHead
    ) -> None:
        """Begins the answer to a caller that has all events already.

        Raises:
            ExchangeBrokenError: If the caller has none, or the end of the
                stream is not proven.
        """
        request = self._request
        if not request.metadata.last_event_id or head.ends_with_connection:
            raise client.ExchangeBrokenError("stream ended without an event")
        request.first_byte_ms = self._runner.now_ms()
        await request.caller.begin(head.status, self._stream_headers(head))

    async def _forward_events(
        self,
        found: list[events.Event],
        head: connection_pool.ResponseHead,
    ) -> None:
        """Forwards events that are next, beginning the answer if needed.

        An answer does not begin with a comment, as its first event binds it.
        """
        request = self._request
        self._unsent += b"".join(event.raw for event in found)
        numbers = [event.number for event in found if event.number is not None]
        if numbers:
            self._mark_body()
            self.progress.events += len(numbers)
            request.record_event(self._runner.now_ms())
            request.last_event_id = str(numbers[-1])
            request.proof_deadline_ms = math.inf
            if not request.caller.has_begun:
                await self._bind_to_version()
                request.first_byte_ms = self._runner.now_ms()
                await request.caller.begin(
                    head.status,
                    self._stream_headers(head),
                    ends_with_connection=head.ends_with_connection,
                )
        if self._unsent and request.caller.has_begun:
            unsent, self._unsent = self._unsent, b""
            await request.caller.send_part(unsent)
        elif len(self._unsent) > events.MAX_EVENT_BYTES:
            raise client.InvalidResponseError("comments without an event")

    def _stream_headers(
        self, head: connection_pool.ResponseHead
    ) -> api.Headers:
        """Returns the headers of a stream, which may go on elsewhere."""
        return [
            header
            for header in self._runner.header_codec.caller_headers(head.headers)
            if header[0] != b"content-length"
        ]

    async def _bind_to_version(self) -> None:
        """Binds a stream to the software version that brings its events."""
        request = self._request
        if (
            not request.route.resumes_streams
            or request.bound_version is not None
        ):
            return
        request.bound_version = self._state.target.software_version
        await self._runner.streams.record_begin(
            request.metadata.request_id,
            request.service.name,
            request.bound_version,
        )

    def _record_answered(self) -> None:
        """Records that the target has not crashed under the prompt."""
        self._runner.crashes.record_answered(
            crash_ledger.part_keys(self._request.shared_part_keys),
            self._request.fingerprint,
        )

    def _mark_body(self) -> None:
        if self.progress.answer is not AnswerProgress.BODY:
            self.progress.answer = AnswerProgress.BODY
            self.progress.body_ms = self._runner.now_ms()


def _is_event_stream(head: connection_pool.ResponseHead) -> bool:
    return EVENT_STREAM in head.get(b"content-type").lower()


async def send_buffered_answer(
    request: pending_request.PendingRequest,
    runner: AttemptRunner,
    answer: pending_request.BufferedAnswer,
) -> None:
    """Sends a complete answer to the caller."""
    headers = runner.header_codec.caller_headers(answer.headers)
    is_until_close = answer.ends_with_connection
    if request.method != "HEAD" and not is_until_close:
        headers = [
            header for header in headers if header[0] != b"content-length"
        ]
        headers.append((b"content-length", b"%d" % len(answer.body)))
    request.first_byte_ms = runner.now_ms()
    await request.caller.begin(
        answer.status, headers, ends_with_connection=is_until_close
    )
    await request.caller.finish(answer.body)


__all__ = [
    "BROKEN_RESULTS",
    "AnswerProgress",
    "AttemptProgress",
    "AttemptRunner",
    "Outcome",
    "Result",
    "send_buffered_answer",
]
