"""Sends the calls of a trace at their times and records what comes back."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from bench.load import client
from lycheering import clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from bench.traces import calls

MAX_SENDS = 4
RESEND_PAUSE_MS = 100
GIVE_UP_AFTER_DEADLINE_MS = 10_000


@dataclasses.dataclass
class Attempt:
    """One sending of a call.

    Attributes:
        request_id: The request id sent along.
        echoed_id: The request id on the answer.
        status: The HTTP status; 0 without an answer.
        error: The error that the entry told.
        failure: What went wrong with the connection.
    """

    request_id: str
    echoed_id: str = ""
    status: int = 0
    error: client.CallerError | None = None
    failure: str = ""


@dataclasses.dataclass
class CallRecord:
    """What a caller saw of one call.

    Attributes:
        call: The call.
        attempts: Every sending; the last one is what the caller is left with.
        looks_whole: Whether an answer came that claims to be whole.
        text: The text of the completion.
        body: The answer of a service.
        started_ms: When the call was due to be sent.
        first_token_ms: Time from then to the first token.
        total_ms: Time from then to the end.
        gaps_ms: Times between the chunks.
    """

    call: calls.Call
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    looks_whole: bool = False
    text: str = ""
    body: bytes = b""
    started_ms: float = 0
    first_token_ms: float = 0
    total_ms: float = 0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def error(self) -> client.CallerError | None:
        """The error that the caller is left with, if any."""
        return self.attempts[-1].error if self.attempts else None

    @property
    def is_on_time(self) -> bool:
        """Whether a whole answer came before the deadline."""
        return self.looks_whole and self.total_ms <= self.call.deadline_ms


class Driver:
    """The callers of one trace.

    Attributes:
        entries: Where calls are sent, in turn.
        key_by_team: The bearer key of each team.
        clock: The clock.
        client: Holds the connections.
        records: What the callers saw, in order of completion.
    """

    def __init__(
        self,
        entries: Sequence[client.Address],
        key_by_team: Mapping[str, str],
        caller_clock: clock.Clock | None = None,
    ) -> None:
        self.entries = entries
        self.key_by_team = key_by_team
        self.clock = caller_clock or clock.Clock()
        self.client = client.Client()
        self.records: list[CallRecord] = []
        self._calls = 0

    async def run(
        self,
        trace: Sequence[calls.Call],
        on_record: Callable[[CallRecord], None] | None = None,
    ) -> list[CallRecord]:
        """Sends every call at its time, whatever became of those before.

        Args:
            trace: The calls in order of time.
            on_record: Called with each record once it is complete.

        Returns:
            The records in order of completion.
        """
        start_ms = self.clock.now_ms()
        async with asyncio.TaskGroup() as group:
            for call in trace:
                due_ms = start_ms + call.at_ms
                wait_ms = due_ms - self.clock.now_ms()
                await self.clock.sleep(max(0, wait_ms))
                record = CallRecord(call, started_ms=due_ms)
                group.create_task(self._call(record, on_record))
        await self.client.close()
        return self.records

    async def _call(
        self,
        record: CallRecord,
        on_record: Callable[[CallRecord], None] | None,
    ) -> None:
        limit_ms = record.call.deadline_ms + GIVE_UP_AFTER_DEADLINE_MS
        try:
            async with asyncio.timeout(limit_ms / clock.MS_PER_S):
                await self._send_until_answered(record)
        except TimeoutError:
            record.attempts[-1].failure = "no answer in time"
        record.total_ms = self.clock.now_ms() - record.started_ms
        self.records.append(record)
        if on_record is not None:
            on_record(record)

    async def _send_until_answered(self, record: CallRecord) -> None:
        first = self._calls
        self._calls += 1
        for number in range(MAX_SENDS):
            attempt = Attempt(f"{record.call.call_id}-{number}")
            record.attempts.append(attempt)
            entry = self.entries[(first + number) % len(self.entries)]
            try:
                await self._send(record, attempt, entry)
            except OSError as error:
                attempt.failure = str(error) or type(error).__name__
                await self.clock.sleep(RESEND_PAUSE_MS)
                continue
            except msgspec.DecodeError as error:
                attempt.failure = f"unreadable answer: {error}"
            return

    async def _send(
        self, record: CallRecord, attempt: Attempt, entry: client.Address
    ) -> None:
        call = record.call
        headers = {
            "Host": f"{entry.host}:{entry.port}",
            "Authorization": f"Bearer {self.key_by_team[call.team]}",
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(call.deadline_ms),
            "X-Priority-Class": call.priority_class,
            "Content-Type": "application/json",
        }
        if not call.is_repeatable:
            headers["Idempotency-Key"] = call.call_id
        request = client.encode_request(
            call.method, call.path(), headers, call.body()
        )
        stream = client.AnswerStream(self.clock.now_ms)
        response = client.Response(stream.feed)
        try:
            await self.client.exchange(entry, request, response)
        finally:
            attempt.status = response.status
            attempt.echoed_id = response.header_by_name.get("x-request-id", "")
        if response.is_stream:
            self._take_stream(record, attempt, stream)
        else:
            self._take_body(record, attempt, response)

    def _take_stream(
        self,
        record: CallRecord,
        attempt: Attempt,
        stream: client.AnswerStream,
    ) -> None:
        attempt.error = stream.error
        if stream.error is None and not stream.is_done:
            raise ConnectionResetError(
                "the stream ended without its last event"
            )
        record.text = "".join(stream.texts)
        record.looks_whole = stream.error is None and stream.has_finish_reason
        times_ms = stream.chunk_times_ms
        if times_ms:
            record.first_token_ms = times_ms[0] - record.started_ms
        pairs = zip(times_ms, times_ms[1:], strict=False)
        record.gaps_ms = [later - earlier for earlier, later in pairs]

    def _take_body(
        self,
        record: CallRecord,
        attempt: Attempt,
        response: client.Response,
    ) -> None:
        record.body = response.body
        if response.status >= 400:
            attempt.error = read_error(response.body)
            return
        record.first_token_ms = self.clock.now_ms() - record.started_ms
        if record.call.model:
            answer = msgspec.json.decode(response.body, type=client.Answer)
            record.text = "".join(c.content() for c in answer.choices)
        record.looks_whole = True


def read_error(body: bytes) -> client.CallerError:
    """Returns the error in a body; an unreadable one gives no promise."""
    try:
        answer = msgspec.json.decode(body, type=client.Answer)
    except msgspec.DecodeError:
        return client.CallerError("unreadable", body[:200].decode("latin-1"))
    return answer.error or client.CallerError("unreadable", "no error given")


__all__ = ["Attempt", "CallRecord", "Driver", "read_error"]
