"""Runs one attempt of a request on one target."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from lycheering.entry import agent_watchdog
from lycheering.entry import attempt_errors
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.retries import crash_ledger
from lycheering.telemetry import logs
from lycheering.wire import channels
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.entry import job as jobs
    from lycheering.routing import router as routers

ORDER_SUBMIT_TTL_MS = 2_000.0
CHUNKS_PER_ACK = 16
MAX_RESUMES = 8
# A target that crashes as it begins to answer does so within this time, in
# which its agent also finds that it takes no connections.
ANSWER_GRACE_MS = 900.0

_LOG = logs.get("attempt")


class Attempt:
    """Submits a request to one agent and forwards its answer to a sink."""

    def __init__(
        self,
        targets: target_access.TargetAccess,
        job: jobs.Job,
        attempt_number: int,
        decision: routers.RoutingDecision,
        sink: sinks.Sink,
        ticket: messages.OrderTicket | None = None,
        claimed_incarnation: str = "",
    ) -> None:
        self._targets = targets
        self._job = job
        self._attempt_number = attempt_number
        self._decision = decision
        self._sink = sink
        self._ticket = ticket
        self._claimed_incarnation = claimed_incarnation
        self._incarnation = ""
        self._watchdog = agent_watchdog.AgentWatchdog(
            targets, decision.target, is_order=ticket is not None
        )
        self._acked_seq = sink.next_seq
        self._resume_count = 0
        self._started_at_ms = 0.0

    async def run(self) -> None:
        """Runs the attempt until the answer is complete.

        Raises:
            NotRunError: If the target did not get the request.
            BrokenError: If the target may have run the request, but the
                answer is incomplete.
            OverdueError: If the deadline passed during the attempt.
            StalledError: If the caller stops reading.
        """
        left_ms = self._job.deadline_at_ms - self._targets.clock.now_ms()
        if left_ms <= 0:
            raise target_access.NotRunError(
                messages.Reason.DEADLINE, "the deadline has passed"
            )
        connection = await self._targets.connect(
            self._decision, min(target_access.CONNECT_TIMEOUT_MS, left_ms)
        )
        name = self._decision.target.name
        loads = self._targets.router.target_loads
        key = f"{self._job.request_id}/{self._attempt_number}"
        channel = connection.open_channel()
        loads.record_sent(name, key, self._decision.prefill_ms)
        is_finished = False
        try:
            self._submit(connection, channel)
            await self._receive_answer(connection, channel, key)
            is_finished = True
        except target_access.NotRunError:
            is_finished = True
            raise
        except attempt_errors.BrokenError as error:
            if error.reason is messages.Reason.TARGET_DOWN:
                self._record_crash()
            raise
        finally:
            loads.record_ended(name, key)
            self._record_load(connection)
            if not is_finished and self._ticket is None:
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
            ttl_ms = min(ttl_ms, ORDER_SUBMIT_TTL_MS)
        submit = messages.Submit(
            request_id=job.request_id,
            attempt=self._attempt_number,
            team=job.team,
            priority_class=job.priority_class.value,
            priority=job.priority,
            deadline_ms=connection.peer_time_ms(job.deadline_at_ms),
            path=job.path,
            method=job.method,
            body=job.body,
            model=job.requirement.model,
            weights_version=self._sink.weights_version,
            level_ends=job.levels.ends,
            shared_levels=job.levels.shared_count,
            level_key=self._decision.level_key,
            width=self._decision.width,
            level_keys=job.levels.inquiry_keys,
            continue_from=self._sink.next_seq,
            content_type=job.content_type,
            ticket=self._ticket,
            share_use=self._decision.fair_share_ratio,
            shared_generation=job.levels.shared_generation,
        )
        try:
            channel.send(submit, ttl_ms)
        except errors.PeerUnreachableError as error:
            raise target_access.NotRunError(
                messages.Reason.UNREACHABLE, "the connection accepts no frame"
            ) from error
        self._targets.circuit_breakers.record_sent(self._decision.target.name)

    async def _receive_answer(
        self, connection: client.Connection, channel: channels.Channel, key: str
    ) -> None:
        is_proven = False
        while True:
            event = await self._next_event(connection, channel)
            match event:
                case messages.Chunks():
                    if not is_proven and self._is_proven():
                        is_proven = True
                        self._record_answered()
                    await self._handle_chunks(channel, event)
                case messages.Started():
                    self._watchdog.started = True
                    self._started_at_ms = self._targets.clock.now_ms()
                    self._targets.router.target_loads.record_first_token(
                        self._decision.target.name, key
                    )
                    self._record_load(connection)
                    self._start_answer(event)
                case messages.Accepted():
                    self._watchdog.accepted = True
                    self._record_load(connection)
                case messages.Finished():
                    if event.next_seq == self._sink.next_seq:
                        self._record_answered()
                        self._ack(channel, has_ended=True)
                        self._record_work()
                        self._targets.circuit_breakers.record_success(
                            self._decision.target.name
                        )
                        await self._sink.finish()
                        return
                    self._resume(
                        channel, f"{event.next_seq} chunks were announced"
                    )
                case channels.ConnectionReplaced(incarnation):
                    self._handle_reconnect(channel, incarnation)
                case _:
                    if isinstance(event, messages.NotRun | messages.Broken):
                        self._ack(channel, has_ended=True)
                    self._raise_failure(event)

    def _raise_failure(self, event: channels.ChannelEvent) -> None:
        if isinstance(event, messages.NotRun):
            self._targets.router.prefix_widths.record_hint(event.hint)
        is_received = self._watchdog.accepted or self._resume_count > 0
        raise attempt_errors.error_from_event(event, is_received=is_received)

    async def _next_event(
        self, connection: client.Connection, channel: channels.Channel
    ) -> channels.ChannelEvent:
        clock = self._targets.clock
        watchdog = self._watchdog
        while True:
            left_ms = self._job.deadline_at_ms - clock.now_ms()
            if left_ms <= 0:
                raise attempt_errors.OverdueError(self._job.request_id)
            try:
                event = await channel.receive(min(watchdog.poll_ms, left_ms))
            except errors.CallTimeoutError:
                is_pinned = attempt_errors.is_pinned_to_target(
                    self._job, self._sink
                )
                watchdog.check(connection, is_pinned=is_pinned)
                continue
            watchdog.record_event()
            return event

    def _start_answer(self, started: messages.Started) -> None:
        sink = self._sink
        router = self._targets.router
        if started.hint is not None:
            router.prefix_widths.record_hint(started.hint)
        if self._job.levels.keys:
            router.cache_hints.record_start(
                self._decision.target.name,
                self._decision.target.agent_incarnation,
                self._job.levels,
                started,
            )
        if sink.next_seq and started.weights_version != sink.weights_version:
            raise attempt_errors.BrokenError(
                messages.Reason.WRONG_WEIGHTS,
                "the answer began with other weights",
            )
        if sink.head is not None and sink.head.status != started.status:
            raise attempt_errors.BrokenError(
                messages.Reason.TARGET_FAILED,
                f"a later attempt answered with status {started.status}",
            )
        if sink.head is not None and (
            sink.head.is_event_stream
            != sinks.is_event_stream(started.content_type)
        ):
            raise attempt_errors.BrokenError(
                messages.Reason.TARGET_FAILED,
                "a later attempt answered in another form: "
                f"{ascii(started.content_type[:40])}",
            )
        sink.begin(started)

    async def _handle_chunks(
        self, channel: channels.Channel, chunks: messages.Chunks
    ) -> None:
        sink = self._sink
        if sink.head is None:
            raise attempt_errors.BrokenError(
                messages.Reason.INTERNAL, "chunks arrived before the start"
            )
        known_chunks = sink.next_seq - chunks.first_seq
        if known_chunks < 0:
            self._resume(
                channel, f"chunks before {chunks.first_seq} are missing"
            )
            return
        items = chunks.items[known_chunks:] if known_chunks else chunks.items
        if not items:
            return
        await sink.receive(items)
        if sink.next_seq - self._acked_seq >= CHUNKS_PER_ACK:
            self._ack(channel)

    def _ack(
        self, channel: channels.Channel, *, has_ended: bool = False
    ) -> None:
        next_seq = self._sink.next_seq
        self._acked_seq = next_seq
        ack = messages.Ack(
            self._job.request_id, self._attempt_number, next_seq, has_ended
        )
        # if this one is lost, the next Ack or a Resume replaces it
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(ack)

    def _handle_reconnect(
        self, channel: channels.Channel, incarnation: str
    ) -> None:
        if incarnation != self._incarnation:
            raise attempt_errors.BrokenError(
                messages.Reason.WRONG_INCARNATION, "the agent restarted"
            )
        self._watchdog.record_reconnect()
        self._resume(channel, "connection replaced")

    def _resume(self, channel: channels.Channel, detail: str) -> None:
        self._resume_count += 1
        if self._resume_count > MAX_RESUMES:
            raise attempt_errors.BrokenError(
                messages.Reason.SILENT, f"chunks are still missing: {detail}"
            )
        self._targets.counters.increment("resume")
        _LOG.event(
            "resume",
            request_id=self._job.request_id,
            caller_request_id=self._job.caller_request_id,
            target=self._decision.target.name,
            next_seq=self._sink.next_seq,
            detail=detail,
        )
        resume = messages.Resume(
            self._job.request_id, self._attempt_number, self._sink.next_seq
        )
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(resume)

    def _is_proven(self) -> bool:
        """Returns whether the target began to answer without a crash."""
        now_ms = self._targets.clock.now_ms()
        return bool(self._started_at_ms) and (
            now_ms - self._started_at_ms >= ANSWER_GRACE_MS
        )

    def _record_answered(self) -> None:
        """Records that the target has not crashed under the prompt."""
        self._targets.crashes.record_answered(
            self._job.levels.inquiry_keys, self._job.fingerprint
        )

    def _record_crash(self) -> None:
        if self._is_proven():
            return
        keys = self._job.levels.inquiry_keys
        has_begun = bool(self._started_at_ms)
        target = self._decision.target
        self._targets.counters.increment("target.crashed")
        _LOG.warning(
            "target_crashed",
            request_id=self._job.request_id,
            target=target.name,
            parts=",".join(keys) + "*" * has_begun,
        )
        self._targets.crashes.record_crash(
            crash_ledger.target_digest(target.name),
            self._targets.clock.now_ms(),
            (
                messages.BrokenPrompt(
                    keys,
                    has_begun,
                    crash_ledger.request_digest(self._job.request_id),
                    self._job.fingerprint,
                ),
            ),
        )

    def _cancel(self, channel: channels.Channel) -> None:
        cancel = messages.Cancel(self._job.request_id, self._attempt_number)
        with contextlib.suppress(errors.PeerUnreachableError):
            channel.send(cancel)

    def _record_work(self) -> None:
        answer_ms = self._targets.clock.now_ms() - self._started_at_ms
        self._targets.router.record_work(
            self._job.requirement,
            self._job.team,
            answer_ms + self._decision.prefill_ms,
        )

    def _record_load(self, connection: client.Connection) -> None:
        self._targets.router.target_loads.store_report(
            self._decision.target.name,
            connection.peer_load,
            connection.peer_load_at_ms,
        )


__all__ = ["Attempt"]
