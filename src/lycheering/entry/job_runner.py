"""Runs jobs for callers, and cancels them when the caller disconnects."""

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

_LOG = logs.get("job_runner")


@dataclasses.dataclass(frozen=True)
class StreamAnswer:
    """An answer that is streamed to the caller.

    Attributes:
        head: The status and headers.
        sink: Yields the body.
    """

    head: sinks.ResponseHead
    sink: sinks.StreamSink


class JobRunner:
    """Runs jobs, and cancels those whose caller disconnects."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        order_dispatcher: orders.OrderDispatcher,
        count: counters.Counters,
        time: clock.Clock,
        stall_ms: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._order_dispatcher = order_dispatcher
        self._counters = count
        self._clock = time
        self._stall_ms = stall_ms
        self._tasks = app_api.TaskOwner()

    async def stop(self) -> None:
        """Cancels all running jobs."""
        await self._tasks.cancel_all()

    async def run_order(self, job: jobs.Job) -> refusals.Answer:
        """Runs an order, also after its caller disconnects.

        Raises:
            RefusalError: If the order has no answer.
        """
        started_at_ms = self._clock.now_ms()
        answer = await self._order_dispatcher.run(job)
        self._record_answer(job, started_at_ms, answer.status)
        return answer

    async def run_whole(
        self, job: jobs.Job, caller: callers.Caller
    ) -> refusals.Answer:
        """Runs a job and returns its complete answer.

        Raises:
            RefusalError: If the job fails.
            CallerGoneError: If the caller disconnects first.
        """
        started_at_ms = self._clock.now_ms()
        sink = sinks.WholeSink()
        await _run_until_disconnect(self._dispatcher.run(job, sink), caller)
        is_chat = job.form is jobs.AnswerForm.CHAT
        try:
            answer = sink.answer(chat=is_chat, stream=False)
        except assemble.ChunkError as error:
            raise refusals.RefusalError(
                messages.Reason.TARGET_FAILED, str(error), not_run=False
            ) from error
        self._record_answer(job, started_at_ms, answer.status)
        return answer

    async def run_stream(
        self,
        job: jobs.Job,
        caller: callers.Caller,
        resources: contextlib.ExitStack,
    ) -> StreamAnswer:
        """Starts a job and returns when its answer starts.

        The rest of the answer is streamed in a background task.

        Args:
            job: The request.
            caller: The caller that reads the answer.
            resources: Taken over by the task and closed when it ends.

        Raises:
            RefusalError: If the job fails before the answer starts.
            CallerGoneError: If the caller disconnects first.
        """
        sink = sinks.StreamSink(self._stall_ms)
        self._tasks.spawn(
            self._stream_answer(job, caller, sink, resources.pop_all()),
            f"stream:{job.request_id}",
        )
        return StreamAnswer(await sink.wait_started(), sink)

    async def _stream_answer(
        self,
        job: jobs.Job,
        caller: callers.Caller,
        sink: sinks.StreamSink,
        resources: contextlib.ExitStack,
    ) -> None:
        started_at_ms = self._clock.now_ms()
        with resources:
            try:
                await _run_until_disconnect(
                    self._dispatcher.run(job, sink), caller
                )
                self._record_answer(job, started_at_ms, 200)
            except refusals.RefusalError as error:
                await self._fail_stream(job, sink, error)
            except pipe.StalledError:
                self._record_disconnect(job)
                sink.abort()
            except callers.CallerGoneError as error:
                self._record_disconnect(job)
                sink.discard()
                sink.fail_start(error)
            except Exception as error:
                _LOG.error(
                    "job_failed",
                    request_id=job.request_id,
                    caller_request_id=job.caller_request_id,
                    error=repr(error),
                )
                refusal = refusals.RefusalError(
                    messages.Reason.INTERNAL,
                    "internal error of the entry",
                    not_run=False,
                )
                await self._fail_stream(job, sink, refusal)
            finally:
                sink.cancel_start()

    async def _fail_stream(
        self,
        job: jobs.Job,
        sink: sinks.StreamSink,
        error: refusals.RefusalError,
    ) -> None:
        if sink.is_visible_to_caller:
            self.record_refusal(job.caller_request_id, job.team, error)
            await sink.fail(error)
        sink.fail_start(error)

    def record_refusal(
        self, caller_request_id: str, team: str, error: refusals.RefusalError
    ) -> None:
        """Counts and logs a refused request."""
        self._counters.count_refusal(error.reason)
        _LOG.event(
            "refused",
            caller_request_id=caller_request_id,
            team=team,
            reason=error.reason.value,
            not_run=error.not_run,
            detail=error.message,
        )

    def _record_disconnect(self, job: jobs.Job) -> None:
        self._counters.count_refusal(messages.Reason.CANCELLED)
        _LOG.event(
            "caller_left",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
        )

    def _record_answer(
        self, job: jobs.Job, started_at_ms: float, status: int
    ) -> None:
        self._counters.increment(f"answered.{job.priority_class.value}")
        _LOG.event(
            "answered",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
            status=status,
            took_ms=self._clock.now_ms() - started_at_ms,
        )


class _DisconnectWatch:
    """Cancels the current task when its caller disconnects.

    A separate task for the work would start one event loop iteration later.
    """

    def __init__(self, caller: callers.Caller) -> None:
        self._is_disconnected = False
        self._is_stopped = False
        self._task = asyncio.current_task()
        self._disconnect_task = asyncio.create_task(caller.wait_disconnected())
        self._disconnect_task.add_done_callback(self._cancel_work)

    def _cancel_work(self, disconnect_task: asyncio.Task[None]) -> None:
        if (
            self._is_stopped
            or disconnect_task.cancelled()
            or self._task is None
        ):
            return
        self._is_disconnected = True
        self._task.cancel()

    def stop(self) -> bool:
        """Stops watching the caller.

        Returns:
            True if the caller disconnected and nothing else cancelled the
            task.
        """
        self._is_stopped = True
        self._disconnect_task.cancel()
        if not self._is_disconnected or self._task is None:
            return False
        return self._task.uncancel() == 0


async def _run_until_disconnect(
    work: Coroutine[object, object, None], caller: callers.Caller
) -> None:
    watch = _DisconnectWatch(caller)
    try:
        await work
    except (Exception, asyncio.CancelledError) as error:
        if watch.stop():
            raise callers.CallerGoneError from error
        raise
    watch.stop()


__all__ = ["JobRunner", "StreamAnswer"]
