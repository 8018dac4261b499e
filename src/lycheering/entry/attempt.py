"""One attempt of a request at one target."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.telemetry import logs
from lycheering.wire import channels
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import job as jobs
    from lycheering.routing import router as routers

ORDER_SEND_MS = 2_000.0
POLL_MS = 250.0
ACCEPT_POLL_MS = 100.0
RENEW_POLLS = 2
MAX_ACCEPT_POLLS = 3
RECONNECT_MS = 500.0
ACK_CHUNKS = 16
MAX_RESUMES = 8

_LOG = logs.get("attempt")


class BrokenError(Exception):
    """The request may have run, and this attempt can't complete it.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: messages.Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class OverdueError(Exception):
    """The deadline passed while the request may have been running."""


class Attempt:
    """Sends a request to one agent and passes its answer on."""

    def __init__(
        self,
        targets: target_access.Targets,
        job: jobs.Job,
        number: int,
        choice: routers.Choice,
        sink: sinks.Sink,
        ticket: messages.OrderTicket | None = None,
        claimed_incarnation: str = "",
    ) -> None:
        self._targets = targets
        self._job = job
        self._number = number
        self._choice = choice
        self._sink = sink
        self._ticket = ticket
        self._claimed_incarnation = claimed_incarnation
        self._incarnation = ""
        self._lost_since_ms: float | None = None
        self._acked = sink.next_seq
        self._resumes = 0
        self._accepted = False
        self._started = False
        self._started_ms = 0.0
        self._polls = 0
        self._renewed = False

    async def run(self) -> None:
        """Returns once the answer is whole.

        Raises:
            NotRunError: If the target never got the request.
            BrokenError: If it may have, and the answer is not whole.
            OverdueError: If the deadline passed meanwhile.
            StalledError: If the caller reads nothing.
        """
        left_ms = self._job.deadline_at_ms - self._targets.clock.now_ms()
        if left_ms <= 0:
            raise target_access.NotRunError(
                messages.Reason.DEADLINE, "past the deadline"
            )
        connection = await self._targets.connect(
            self._choice, min(target_access.CONNECT_MS, left_ms)
        )
        name = self._choice.target.name
        loads = self._targets.router.loads
        key = f"{self._job.request_id}/{self._number}"
        channel = connection.open()
        loads.sent(name, key, self._choice.cost_ms)
        settled = False
        try:
            self._submit(connection, channel)
            await self._follow(connection, channel, key)
            settled = True
        except target_access.NotRunError:
            settled = True
            raise
        finally:
            loads.ended(name, key)
            self._note_load(connection)
            if not settled and self._ticket is None:
                self._cancel(channel)
            channel.close()

    def _submit(
        self, connection: client.Connection, channel: channels.Channel
    ) -> None:
        job = self._job
        now_ms = self._targets.clock.now_ms()
        self._incarnation = connection.peer_incarnation
        claimed = self._claimed_incarnation
        if claimed and claimed != self._incarnation:
            raise target_access.NotRunError(
                messages.Reason.WRONG_INCARNATION,
                "the agent restarted after the claim",
            )
        ttl_ms = max(1.0, job.deadline_at_ms - now_ms)
        if self._ticket is not None:
            ttl_ms = min(ttl_ms, ORDER_SEND_MS)
        submit = messages.Submit(
            request_id=job.request_id,
            attempt=self._number,
            team=job.team,
            priority_class=job.priority_class.value,
            priority=job.priority,
            deadline_ms=connection.peer_time_ms(job.deadline_at_ms),
            path=job.path,
            method=job.method,
            body=job.body,
            model=job.wanted.model,
            weights_version=self._sink.weights_version,
            level_ends=job.levels.ends,
            shared_levels=job.levels.shared,
            level_key=self._choice.level_key,
            width=self._choice.width,
            level_keys=job.levels.short_keys,
            continue_from=self._sink.next_seq,
            content_type=job.content_type,
            ticket=self._ticket,
            share_use=self._choice.share_use,
        )
        try:
            channel.send(submit, ttl_ms)
        except errors.PeerUnreachableError as error:
            raise target_access.NotRunError(
                messages.Reason.UNREACHABLE, "the connection takes no frame"
            ) from error
        self._targets.circuits.sent(self._choice.target.name)

    async def _follow(
        self, connection: client.Connection, channel: channels.Channel, key: str
    ) -> None:
        while True:
            event = await self._next(connection, channel)
            match event:
                case messages.Chunks():
                    await self._take(channel, event)
                case messages.Started():
                    self._started = True
                    self._started_ms = self._targets.clock.now_ms()
                    self._targets.router.loads.started(
                        self._choice.target.name, key
                    )
                    self._note_load(connection)
                    self._begin(event)
                case messages.Accepted():
                    self._accepted = True
                    self._note_load(connection)
                case messages.Finished():
                    if event.next_seq == self._sink.next_seq:
                        self._ack(channel)
                        self._note_work()
                        self._targets.circuits.succeeded(
                            self._choice.target.name
                        )
                        await self._sink.finish()
                        return
                    self._resume(channel, f"{event.next_seq} chunks announced")
                case channels.Replaced(incarnation):
                    self._replaced(channel, incarnation)
                case _:
                    self._end(event)

    def _end(self, event: channels.Event) -> None:
        match event:
            case messages.NotRun():
                self._targets.router.widths.note(event.hint)
                reason = event.reason
                if reason is messages.Reason.NOT_FOUND:
                    raise target_access.LostFrameError(event.detail)
                raise target_access.NotRunError(
                    reason, event.detail, event.retry_after_ms
                )
            case messages.Broken():
                raise BrokenError(event.reason, event.detail)
            case messages.Failure(reason=messages.Reason.EXPIRED):
                if self._accepted or self._resumes:
                    raise BrokenError(event.reason, "expired after accepting")
                raise target_access.NotRunError(
                    event.reason, "expired on its way"
                )
            case messages.Failure():
                raise BrokenError(event.reason, event.detail)
            case channels.Lost():
                raise BrokenError(messages.Reason.UNREACHABLE, "closed")
            case _:
                kind = type(event).__name__
                raise BrokenError(
                    messages.Reason.INTERNAL, f"unexpected {kind}"
                )

    async def _next(
        self, connection: client.Connection, channel: channels.Channel
    ) -> channels.Event:
        clock = self._targets.clock
        while True:
            left_ms = self._job.deadline_at_ms - clock.now_ms()
            if left_ms <= 0:
                raise OverdueError(self._job.request_id)
            try:
                event = await channel.receive(min(self._poll_ms(), left_ms))
            except errors.CallTimeoutError:
                self._check_moving(connection)
                self._check_alive(connection)
                continue
            self._lost_since_ms = None
            return event

    def _poll_ms(self) -> float:
        waits = self._accepted and not self._renewed
        return POLL_MS if waits else ACCEPT_POLL_MS

    def _check_moving(self, connection: client.Connection) -> None:
        """Gives up an agent that stands still before the answer began.

        A silent connection is replaced first: the agent then tells whether
        the request reached it.

        Raises:
            BrokenError: If the request is better tried elsewhere.
        """
        if self._started:
            return
        # counted in polls, as a pause of this process makes up only one
        self._polls += 1
        suspect = connection.silent_ms >= self._targets.suspect_ms
        if not self._accepted and self._ticket is None:
            waited_ms = self._polls * ACCEPT_POLL_MS
            suspect = (
                self._polls >= RENEW_POLLS and connection.silent_ms >= waited_ms
            )
        if suspect and not self._renewed:
            self._renewed = True
            connection.renew()
            return
        if self._ticket is not None:
            return
        if not self._accepted and self._polls >= MAX_ACCEPT_POLLS:
            raise BrokenError(messages.Reason.SILENT, "not accepted in time")
        if self._accepted and suspect:
            raise BrokenError(
                messages.Reason.SILENT, "silent before the answer began"
            )

    def _check_alive(self, connection: client.Connection) -> None:
        if connection.connected:
            self._lost_since_ms = None
            return
        now_ms = self._targets.clock.now_ms()
        if self._lost_since_ms is None:
            self._lost_since_ms = now_ms
        target = self._choice.target
        known = self._targets.view.fleet.target_by_name.get(target.name)
        restarted = known is None or (
            known.agent_incarnation != target.agent_incarnation
        )
        if restarted or now_ms - self._lost_since_ms >= RECONNECT_MS:
            raise BrokenError(
                messages.Reason.UNREACHABLE, f"{target.name}: connection lost"
            )

    def _begin(self, started: messages.Started) -> None:
        sink = self._sink
        router = self._targets.router
        if started.hint is not None:
            router.widths.note(started.hint)
        if self._job.levels.keys:
            router.caches.note(
                self._choice.target.name,
                self._choice.target.agent_incarnation,
                self._job.levels,
                started,
            )
        if sink.next_seq and started.weights_version != sink.weights_version:
            raise BrokenError(
                messages.Reason.WRONG_WEIGHTS, "the answer began with others"
            )
        if sink.head is not None and sink.head.status != started.status:
            raise BrokenError(
                messages.Reason.TARGET_FAILED, f"status {started.status}"
            )
        sink.begin(started)

    async def _take(
        self, channel: channels.Channel, chunks: messages.Chunks
    ) -> None:
        sink = self._sink
        if sink.head is None:
            raise BrokenError(messages.Reason.INTERNAL, "chunks before start")
        known = sink.next_seq - chunks.first_seq
        if known < 0:
            self._resume(channel, f"chunks from {chunks.first_seq} on")
            return
        items = chunks.items[known:] if known else chunks.items
        if not items:
            return
        await sink.take(items)
        if sink.next_seq - self._acked >= ACK_CHUNKS:
            self._ack(channel)

    def _ack(self, channel: channels.Channel) -> None:
        next_seq = self._sink.next_seq
        self._acked = next_seq
        ack = messages.Ack(self._job.request_id, self._number, next_seq)
        # a lost one is made good by the next or by Resume
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(ack)

    def _replaced(self, channel: channels.Channel, incarnation: str) -> None:
        if incarnation != self._incarnation:
            raise BrokenError(
                messages.Reason.WRONG_INCARNATION, "the agent restarted"
            )
        self._polls = 0
        self._resume(channel, "connection replaced")

    def _resume(self, channel: channels.Channel, detail: str) -> None:
        self._resumes += 1
        if self._resumes > MAX_RESUMES:
            raise BrokenError(messages.Reason.SILENT, f"gaps remain: {detail}")
        self._targets.counters.increment("resume")
        _LOG.event(
            "resume",
            request_id=self._job.request_id,
            caller_request_id=self._job.caller_request_id,
            target=self._choice.target.name,
            next_seq=self._sink.next_seq,
            detail=detail,
        )
        resume = messages.Resume(
            self._job.request_id, self._number, self._sink.next_seq
        )
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(resume)

    def _cancel(self, channel: channels.Channel) -> None:
        cancel = messages.Cancel(self._job.request_id, self._number)
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(cancel)

    def _note_work(self) -> None:
        answer_ms = self._targets.clock.now_ms() - self._started_ms
        self._targets.router.spent(
            self._job.wanted, self._job.team, answer_ms + self._choice.cost_ms
        )

    def _note_load(self, connection: client.Connection) -> None:
        self._targets.router.loads.report(
            self._choice.target.name,
            connection.peer_load,
            connection.peer_load_at_ms,
        )


__all__ = [
    "Attempt",
    "BrokenError",
    "OverdueError",
]
