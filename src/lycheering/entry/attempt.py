"""One attempt of a request at one target."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from lycheering.entry import endings
from lycheering.entry import patience as patiences
from lycheering.entry import target_access
from lycheering.telemetry import logs
from lycheering.wire import channels
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import job as jobs
    from lycheering.entry import sinks
    from lycheering.routing import router as routers

ORDER_SEND_MS = 2_000.0
ACK_CHUNKS = 16
MAX_RESUMES = 8

_LOG = logs.get("attempt")


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
        self._patience = patiences.Patience(
            targets, choice.target, is_order=ticket is not None
        )
        self._acked = sink.next_seq
        self._resumes = 0
        self._started_ms = 0.0

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
                    self._patience.started = True
                    self._started_ms = self._targets.clock.now_ms()
                    self._targets.router.loads.started(
                        self._choice.target.name, key
                    )
                    self._note_load(connection)
                    self._begin(event)
                case messages.Accepted():
                    self._patience.accepted = True
                    self._note_load(connection)
                case messages.Finished():
                    if event.next_seq == self._sink.next_seq:
                        self._ack(channel, ended=True)
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
                    if isinstance(event, messages.NotRun | messages.Broken):
                        self._ack(channel, ended=True)
                    self._end(event)

    def _end(self, event: channels.Event) -> None:
        if isinstance(event, messages.NotRun):
            self._targets.router.widths.note(event.hint)
        arrived = self._patience.accepted or self._resumes > 0
        raise endings.error_of(event, arrived=arrived)

    async def _next(
        self, connection: client.Connection, channel: channels.Channel
    ) -> channels.Event:
        clock = self._targets.clock
        patience = self._patience
        while True:
            left_ms = self._job.deadline_at_ms - clock.now_ms()
            if left_ms <= 0:
                raise endings.OverdueError(self._job.request_id)
            try:
                event = await channel.receive(min(patience.poll_ms, left_ms))
            except errors.CallTimeoutError:
                bound = endings.is_bound(self._job, self._sink)
                patience.check(connection, bound=bound)
                continue
            patience.heard()
            return event

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
            raise endings.BrokenError(
                messages.Reason.WRONG_WEIGHTS, "the answer began with others"
            )
        if sink.head is not None and sink.head.status != started.status:
            raise endings.BrokenError(
                messages.Reason.TARGET_FAILED, f"status {started.status}"
            )
        sink.begin(started)

    async def _take(
        self, channel: channels.Channel, chunks: messages.Chunks
    ) -> None:
        sink = self._sink
        if sink.head is None:
            raise endings.BrokenError(
                messages.Reason.INTERNAL, "chunks before start"
            )
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

    def _ack(self, channel: channels.Channel, *, ended: bool = False) -> None:
        next_seq = self._sink.next_seq
        self._acked = next_seq
        ack = messages.Ack(self._job.request_id, self._number, next_seq, ended)
        # a lost one is made good by the next or by Resume
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(ack)

    def _replaced(self, channel: channels.Channel, incarnation: str) -> None:
        if incarnation != self._incarnation:
            raise endings.BrokenError(
                messages.Reason.WRONG_INCARNATION, "the agent restarted"
            )
        self._patience.reconnected()
        self._resume(channel, "connection replaced")

    def _resume(self, channel: channels.Channel, detail: str) -> None:
        self._resumes += 1
        if self._resumes > MAX_RESUMES:
            raise endings.BrokenError(
                messages.Reason.SILENT, f"gaps remain: {detail}"
            )
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


__all__ = ["Attempt"]
