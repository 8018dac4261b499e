"""Answers one caller: works on the job while the caller is there."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.entry import assemble
from lycheering.entry import callers
from lycheering.entry import job as jobs
from lycheering.entry import pipe
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lycheering import clock
    from lycheering.entry import dispatch
    from lycheering.entry import orders
    from lycheering.telemetry import counters

_LOG = logs.get("exchange")


@dataclasses.dataclass(frozen=True)
class StreamAnswer:
    """An answer that is passed on as it comes.

    Attributes:
        head: Its start.
        sink: Yields its bytes.
    """

    head: sinks.Head
    sink: sinks.StreamSink


class Exchanges:
    """Runs jobs, and cancels those whose caller left."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        desk: orders.OrderDesk,
        count: counters.Counters,
        time: clock.Clock,
        stall_ms: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._desk = desk
        self._counters = count
        self._clock = time
        self._stall_ms = stall_ms
        self._tasks = app_api.TaskOwner()

    async def stop(self) -> None:
        """Ends what still runs."""
        await self._tasks.cancel_all()

    async def order(self, job: jobs.Job) -> refusals.Answer:
        """Returns an order's answer; it goes on if the caller leaves.

        Raises:
            RefusalError: If there is none.
        """
        began_ms = self._clock.now_ms()
        answer = await self._desk.run(job)
        self._answered(job, began_ms, answer.status)
        return answer

    async def whole(
        self, job: jobs.Job, caller: callers.Caller
    ) -> refusals.Answer:
        """Returns a whole answer.

        Raises:
            RefusalError: If there is none.
            CallerGoneError: If nobody waits for it any more.
        """
        began_ms = self._clock.now_ms()
        sink = sinks.WholeSink()
        await _while_there(self._dispatcher.run(job, sink), caller)
        chat = job.form is jobs.AnswerForm.CHAT
        try:
            answer = sink.answer(chat=chat, stream=False)
        except assemble.ChunkError as error:
            raise refusals.RefusalError(
                messages.Reason.TARGET_FAILED, str(error), not_run=False
            ) from error
        self._answered(job, began_ms, answer.status)
        return answer

    async def stream(
        self,
        job: jobs.Job,
        caller: callers.Caller,
        held: contextlib.ExitStack,
    ) -> StreamAnswer:
        """Returns once an answer begins, and goes on passing it on.

        Args:
            job: The request.
            caller: Who reads the answer.
            held: Closed when the answer has ended.

        Raises:
            RefusalError: If the answer failed before it began.
            CallerGoneError: If nobody waits for it any more.
        """
        sink = sinks.StreamSink(self._stall_ms)
        self._tasks.spawn(
            self._pass_on(job, caller, sink, held.pop_all()),
            f"stream:{job.request_id}",
        )
        return StreamAnswer(await sink.wait_begun(), sink)

    async def _pass_on(
        self,
        job: jobs.Job,
        caller: callers.Caller,
        sink: sinks.StreamSink,
        held: contextlib.ExitStack,
    ) -> None:
        began_ms = self._clock.now_ms()
        with held:
            try:
                await _while_there(self._dispatcher.run(job, sink), caller)
                self._answered(job, began_ms, 200)
            except refusals.RefusalError as error:
                await self._failed(job, sink, error)
            except pipe.StalledError:
                self._left(job)
                sink.break_off()
            except callers.CallerGoneError as error:
                self._left(job)
                sink.abandon()
                sink.fail_begin(error)
            except Exception as error:
                _LOG.error(
                    "exchange_failed",
                    request_id=job.request_id,
                    caller_request_id=job.caller_request_id,
                    error=repr(error),
                )
                refusal = refusals.RefusalError(
                    messages.Reason.INTERNAL,
                    "the entry failed",
                    not_run=False,
                )
                await self._failed(job, sink, refusal)
            finally:
                sink.cancel_begin()

    async def _failed(
        self,
        job: jobs.Job,
        sink: sinks.StreamSink,
        error: refusals.RefusalError,
    ) -> None:
        if sink.passed_on:
            self.refused(job.caller_request_id, job.team, error)
            await sink.fail(error)
        sink.fail_begin(error)

    def refused(
        self, caller_request_id: str, team: str, error: refusals.RefusalError
    ) -> None:
        """Counts and logs a refusal."""
        self._counters.refusal(error.reason)
        _LOG.event(
            "refused",
            caller_request_id=caller_request_id,
            team=team,
            reason=error.reason.value,
            not_run=error.not_run,
            detail=error.message,
        )

    def _left(self, job: jobs.Job) -> None:
        self._counters.refusal(messages.Reason.CANCELLED)
        _LOG.event(
            "caller_left",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
        )

    def _answered(self, job: jobs.Job, began_ms: float, status: int) -> None:
        self._counters.increment(f"answered.{job.priority_class.value}")
        _LOG.event(
            "answered",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
            status=status,
            took_ms=self._clock.now_ms() - began_ms,
        )


class _CallerWatch:
    """Cancels the task that works for a caller once that left.

    Work in a task of its own would begin one turn of the event loop later.
    """

    def __init__(self, caller: callers.Caller) -> None:
        self._left = False
        self._over = False
        self._task = asyncio.current_task()
        self._gone = asyncio.create_task(caller.gone())
        self._gone.add_done_callback(self._end)

    def _end(self, gone: asyncio.Task[None]) -> None:
        if self._over or gone.cancelled() or self._task is None:
            return
        self._left = True
        self._task.cancel()

    def stop(self) -> bool:
        """Stops watching.

        Returns:
            Whether the caller left and nobody else cancelled the task.
        """
        self._over = True
        self._gone.cancel()
        if not self._left or self._task is None:
            return False
        return self._task.uncancel() == 0


async def _while_there(
    work: Coroutine[object, object, None], caller: callers.Caller
) -> None:
    watch = _CallerWatch(caller)
    try:
        await work
    except (Exception, asyncio.CancelledError) as error:
        if watch.stop():
            raise callers.CallerGoneError from error
        raise
    watch.stop()


__all__ = ["Exchanges", "StreamAnswer"]
