"""Handles the messages that entries and control instances send."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.agent import ended_runs
from lycheering.agent import runs
from lycheering.app import api as app_api
from lycheering.limits import api as limits_api
from lycheering.telemetry import logs
from lycheering.wire import api as wire_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.agent import target_orders
    from lycheering.wire import server

SWEEP_INTERVAL_MS = 250
MAX_OPEN_RUNS = 4_096
DRAIN_TIMEOUT_SHARE = 0.9
POLLS_PER_HEARTBEAT = 10

_LOG = logs.get("sessions")

RunKey = ended_runs.RunKey


class AgentSessions(wire_api.SessionHandler, app_api.Part):
    """Runs the requests of all sessions and delivers their answers.

    Attributes:
        run_by_key: The attempts that run or can still be resumed.
    """

    def __init__(
        self,
        context: contexts.Context,
        target_order_executor: target_orders.TargetOrderExecutor,
        drain_timeout_ms: float,
    ) -> None:
        self.run_by_key: dict[RunKey, runs.Run] = {}
        self._context = context
        self._target_order_executor = target_order_executor
        self._drain_timeout_ms = drain_timeout_ms
        self._drain_deadline_ms = 0.0
        self._task_by_key: dict[RunKey, asyncio.Task[None]] = {}
        self._ended_runs = ended_runs.EndedRuns()
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts the sweep for answers that nobody reads."""
        self._tasks.spawn_with_restarts(self._sweep, "agent:sweep")

    def begin_drain(self) -> None:
        """Hands back queued requests and sets the deadline of running ones."""
        clock = self._context.clock
        limit_ms = DRAIN_TIMEOUT_SHARE * self._drain_timeout_ms
        self._drain_deadline_ms = clock.now_ms() + limit_ms
        self._context.admission.start_draining()

    async def drain(self) -> None:
        """Waits for running requests and cancels those past the deadline."""
        left_ms = self._drain_deadline_ms - self._context.clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1_000):
                await self._context.admission.wait_idle()
        except TimeoutError:
            # cancels now, as the server can still send the endings
            _LOG.warning(
                "drain_timed_out", cancelled_requests=len(self._task_by_key)
            )
            await self._cancel_all()
        await self._wait_for_acknowledgements()

    async def stop(self) -> None:
        """Cancels all requests."""
        await self._cancel_all()
        await self._tasks.cancel_all()

    async def _cancel_all(self) -> None:
        tasks = list(self._task_by_key.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Handles one message of a session."""
        message = envelope.message
        call_id = envelope.call_id
        match message:
            case messages.Submit():
                self._submit(session, call_id, message)
            case messages.Resume():
                self._resume(session, call_id, message)
            case messages.Cancel():
                self._cancel(message)
            case messages.Ack():
                self._acknowledge(session, message)
            case messages.CacheInquiry():
                session.send(self._cache_report(message), call_id)
            case messages.OrderInquiry():
                self._inquire(session, call_id, message)
            case messages.TargetOrder():
                self._tasks.spawn(
                    self._target_order_executor.execute_and_reply(
                        session, call_id, message
                    ),
                    "agent:target_order",
                )
            case messages.CountersFetch():
                counters = self._context.counters
                reply = messages.CountersReply(
                    dict(counters.value_by_name), dict(counters.gauge_by_name)
                )
                session.send(reply, call_id)
            case _:
                self._context.counters.increment("wire.unexpected")
                if call_id:
                    failure = messages.Failure(messages.Reason.BAD_REQUEST)
                    session.send(failure, call_id)

    def opened(self, session: server.Session) -> None:
        """Marks the answers that a restarted entry won't resume."""
        for run in self.run_by_key.values():
            run.delivery.note_session_opened(session)

    def serving(self) -> set[server.Session]:
        """Returns the sessions that wait for the end of an answer."""
        deliveries = [run.delivery for run in self.run_by_key.values()]
        return {
            delivery.reader.session
            for delivery in deliveries
            if delivery.reader is not None and delivery.ending is None
        }

    async def closed(self, session: server.Session) -> None:
        """Detaches a closed session from its answers, which may be resumed."""
        for run in self.run_by_key.values():
            run.delivery.detach(session)

    def _submit(
        self,
        session: server.Session,
        call_id: int,
        submit: messages.Submit,
    ) -> None:
        key = (submit.request_id, submit.attempt)
        run = self.run_by_key.get(key)
        if run is not None:
            run.delivery.attach(session, call_id, run.first_seq)
            return
        if key in self._ended_runs:
            broken = messages.Broken(
                messages.Reason.NOT_FOUND, 0, "the attempt ended before"
            )
            session.send(broken, call_id)
            return
        if len(self.run_by_key) >= MAX_OPEN_RUNS:
            self._context.counters.count_refusal(messages.Reason.TOO_MANY_OPEN)
            refused = messages.NotRun(
                messages.Reason.TOO_MANY_OPEN,
                self._context.admission.expected_wait_ms(),
            )
            session.send(refused, call_id)
            return
        self._begin(key, session, call_id, submit)

    def _begin(
        self,
        key: RunKey,
        session: server.Session,
        call_id: int,
        submit: messages.Submit,
    ) -> None:
        run = runs.Run(submit, self._context)
        self.run_by_key[key] = run
        run.delivery.attach(session, call_id, run.first_seq)
        earlier = self._task_by_key.get((submit.request_id, submit.attempt - 1))
        task = asyncio.create_task(
            self._execute_after(run, earlier), name=f"run:{submit.request_id}"
        )
        self._task_by_key[key] = task
        task.add_done_callback(lambda _: self._on_task_done(key, run))

    def _on_task_done(self, key: RunKey, run: runs.Run) -> None:
        self._task_by_key.pop(key, None)
        run.ensure_ended()

    async def _execute_after(
        self, run: runs.Run, earlier: asyncio.Task[None] | None
    ) -> None:
        if earlier is not None and run.submit.ticket is None:
            # the target identifies requests by id only, so two attempts of one
            # request must not overlap there
            earlier.cancel()
            await asyncio.wait([earlier])
        await run.execute()

    def _resume(
        self,
        session: server.Session,
        call_id: int,
        resume: messages.Resume,
    ) -> None:
        key = (resume.request_id, resume.attempt)
        run = self.run_by_key.get(key)
        if run is not None:
            self._context.counters.increment("requests.resumed")
            run.delivery.attach(session, call_id, resume.next_seq)
            return
        now_ms = self._context.clock.now_ms()
        if key in self._ended_runs or not self._ended_runs.is_complete(now_ms):
            ending: messages.Message = messages.Broken(
                messages.Reason.NOT_FOUND, resume.next_seq
            )
        else:
            # the reply says that the attempt never runs, so a submit frame
            # that arrives late must be refused
            self._ended_runs.add(key, now_ms)
            ending = messages.NotRun(messages.Reason.NOT_FOUND)
        session.send(ending, call_id)

    def _cancel(self, cancel: messages.Cancel) -> None:
        key = (cancel.request_id, cancel.attempt)
        run = self.run_by_key.get(key)
        if run is None:
            self._ended_runs.add(key, self._context.clock.now_ms())
        elif run.delivery.ending is not None:
            self._discard(key)
        else:
            self._abort(key, run)

    def _abort(self, key: RunKey, run: runs.Run) -> None:
        if run.is_sent and run.submit.ticket is not None:
            # the order's outcome is needed even if nobody reads the answer
            return
        task = self._task_by_key.get(key)
        if task is not None:
            task.cancel()

    def _acknowledge(self, session: server.Session, ack: messages.Ack) -> None:
        key = (ack.request_id, ack.attempt)
        run = self.run_by_key.get(key)
        if run is None:
            return
        run.delivery.acknowledge(session, ack.next_seq, ended=ack.ended)
        if run.delivery.is_end_acknowledged:
            self._discard(key)

    def _cache_report(
        self, inquiry: messages.CacheInquiry
    ) -> messages.CacheReport:
        context = self._context
        admission = context.admission
        wait_ms = admission.backlog_ms()
        if inquiry.team:
            wait_ms = admission.reported_wait_ms(inquiry.priority, inquiry.team)
        ranking_keys = inquiry.level_keys[inquiry.rank_index :][:1]
        return messages.CacheReport(
            context.cached_levels.cached_piece_count(inquiry.level_keys),
            wait_ms,
            context.cost_model.piece_ms,
            context.eviction_age.idle_lifetime_ms,
            sum(
                context.prefix_width_controller.local_utilization(key)
                for key in ranking_keys
            ),
        )

    def _inquire(
        self,
        session: server.Session,
        call_id: int,
        inquiry: messages.OrderInquiry,
    ) -> None:
        reply: messages.Message
        try:
            reply = self._context.order_registry.inquire(inquiry.order_id)
        except limits_api.RefusedError as error:
            reply = messages.Failure(
                error.reason, error.detail, error.retry_after_ms
            )
        session.send(reply, call_id)

    def _discard(self, key: RunKey) -> None:
        del self.run_by_key[key]
        self._ended_runs.add(key, self._context.clock.now_ms())

    async def _sweep(self) -> None:
        while True:
            await self._context.clock.sleep(SWEEP_INTERVAL_MS)
            self._context.refresh_limits()
            now_ms = self._context.clock.now_ms()
            tail_ms = self._context.settings.stream_tail_ms
            for key, run in list(self.run_by_key.items()):
                delivery = run.delivery
                delivery.flush()
                if delivery.ending is not None:
                    if now_ms - delivery.ended_ms >= tail_ms:
                        self._discard(key)
                elif delivery.unread_since_ms and (
                    now_ms - delivery.unread_since_ms >= tail_ms
                ):
                    _LOG.event("unread_request_cancelled", request_id=key[0])
                    self._abort(key, run)

    async def _wait_for_acknowledgements(self) -> None:
        """Waits until each ending is acknowledged or its reader is gone.

        An ending that nobody acknowledges is discarded when the time for a
        resumption is over. The application limits the whole drain.
        """
        poll_ms = self._context.wire.heartbeat_ms / POLLS_PER_HEARTBEAT
        while any(
            not run.delivery.is_reader_gone for run in self.run_by_key.values()
        ):
            await self._context.clock.sleep(poll_ms)


__all__ = ["AgentSessions", "RunKey"]
