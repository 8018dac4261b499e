"""Runs one attempt of a request, from its arrival to its end."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec

from lycheering.agent import checks
from lycheering.agent import delivery as deliveries
from lycheering.agent import kv_policy
from lycheering.agent import order_registry
from lycheering.agent import order_tracker
from lycheering.agent import requests
from lycheering.limits import api as limits_api
from lycheering.limits import target_rate
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts

MAX_RESUMES = 3
RESUME_PAUSE_MS = 100

_LOG = logs.get("runs")


class SlowReaderError(targets_api.LostStreamError):
    """The reader acknowledged no chunks for too long."""

    reason = messages.Reason.CANCELLED


class Run:
    """One attempt of one request at the target.

    Attributes:
        submit: The request; its body is dropped once it was sent.
        first_seq: The number of the answer's first chunk.
        delivery: Delivers the answer to the reader.
        is_sent: Whether any byte of the request may have been sent to the
            target.
    """

    def __init__(
        self, submit: messages.Submit, context: contexts.Context
    ) -> None:
        self.submit = submit
        self.is_sent = False
        self.first_seq = submit.continue_from if context.is_engine else 0
        self.delivery = deliveries.Delivery(self.first_seq, context.clock)
        self._context = context
        self._sent_ms = 0.0
        self._send_started_ms = 0.0
        self._last_received_ms = 0.0
        self._incarnation = ""
        self._width_hint: messages.WidthHint | None = None
        self._head_received_ms = 0.0
        self._max_tokens = 0
        self._order_tracker: order_tracker.OrderTracker | None = None
        if submit.ticket is not None:
            self._order_tracker = order_tracker.OrderTracker(
                context, submit.ticket, submit.request_id
            )

    async def execute(self) -> None:
        """Runs the request until its delivery has an ending."""
        try:
            ending: deliveries.Ending = await self._admit_and_run()
        except limits_api.RefusedError as error:
            ending = self._failure_ending(
                error.reason, error.detail, error.retry_after_ms
            )
        except order_registry.AlreadySentError as error:
            ending = messages.Broken(
                messages.Reason.BLOCKED, 0, f"order {error} was sent before"
            )
        except targets_api.TargetError as error:
            ending = self._failure_ending(
                error.reason, str(error), checks.DOWN_RETRY_AFTER_MS
            )
        except TimeoutError:
            ending = self._failure_ending(
                messages.Reason.DEADLINE, "past the deadline"
            )
        except asyncio.CancelledError:
            ending = self._failure_ending(
                messages.Reason.CANCELLED, "cancelled"
            )
        except Exception as error:
            _LOG.error(
                "run_failed",
                request_id=self.submit.request_id,
                error=repr(error),
            )
            ending = self._failure_ending(messages.Reason.INTERNAL, repr(error))
        self._end(ending)
        if isinstance(ending, messages.Broken):
            await self._cancel_at_target()

    def ensure_ended(self) -> None:
        """Ends the request if its task was cancelled before it started."""
        if self.delivery.ending is None:
            self._end(
                self._failure_ending(messages.Reason.CANCELLED, "cancelled")
            )

    def _end(self, ending: deliveries.Ending) -> None:
        self.submit = msgspec.structs.replace(self.submit, body=b"")
        if self._order_tracker is not None:
            self._order_tracker.record_outcome(ending, self.delivery.started)
        self.delivery.set_ending(ending)
        self._log(ending)

    def _failure_ending(
        self,
        reason: messages.Reason,
        detail: str,
        retry_after_ms: float = 0.0,
    ) -> messages.NotRun | messages.Broken:
        # only here is it decided whether a failed request certainly did not
        # run or may have run
        if self.is_sent:
            return messages.Broken(
                reason, self.delivery.buffer.next_seq, detail
            )
        return messages.NotRun(reason, retry_after_ms, detail, self._width_hint)

    async def _admit_and_run(self) -> messages.Finished:
        context = self._context
        checks.check_acceptable(context, self.submit)
        plan = requests.make_plan(context, self.submit)
        self._max_tokens = plan.max_tokens
        self._record_prefix_request(plan)
        properties = requests.make_properties(context, self.submit, plan.cost)
        admitted_request = context.admission.enqueue(properties)
        level_keys = self.submit.level_keys
        self._add_levels(plan)
        try:
            if self._order_tracker is not None:
                self._order_tracker.receive()
            self.delivery.send_once(
                messages.Accepted(admitted_request.expected_wait_ms)
            )
            await context.admission.wait(admitted_request)
            left_ms = self.submit.deadline_ms - context.clock.now_ms()
            if self._order_tracker is not None:
                # an order may run past its deadline, as a late outcome is
                # better than an unknown one
                left_ms += context.settings.stream_tail_ms
            async with asyncio.timeout(max(0.0, left_ms) / 1_000):
                return await self._send_and_read(admitted_request, plan)
        finally:
            context.admission.release(admitted_request)
            if self.delivery.started is None:
                context.cached_levels.mark_not_computed(level_keys)

    def _add_levels(self, plan: requests.RequestPlan) -> None:
        for level in plan.levels:
            level.counts_until_ms = self.submit.deadline_ms
        self._context.cached_levels.add(self.submit.level_keys, plan.levels)

    def _record_prefix_request(self, plan: requests.RequestPlan) -> None:
        context = self._context
        max_width = context.holder.fleet.integer(
            "routing.max_width", context.subject
        )
        slots = max(1, context.admission.limits.max_running)
        # assumes that the levels are cached, as they soon will be
        cached_pieces = plan.levels[-1].piece_count if plan.levels else 0
        missing_pieces = plan.missing_pieces_after(
            cached_pieces, context.settings.piece_chars
        )
        prefill_ms = context.cost_model.completion_cost(
            missing_pieces, 0
        ).prefill_ms
        work_ms = prefill_ms + plan.cost.decode_ms / slots
        self._width_hint = context.prefix_width_controller.record_request(
            self.submit.level_key, work_ms, self.submit.width, max_width
        )

    async def _send_and_read(
        self,
        admitted_request: limits_api.AdmittedRequest,
        plan: requests.RequestPlan,
    ) -> messages.Finished:
        context = self._context
        async with contextlib.AsyncExitStack() as stack:
            if (
                self._order_tracker is not None
                and self._order_tracker.is_fencing_checked
            ):
                await stack.enter_async_context(context.order_lock)
            await kv_policy.import_missing(context, self.submit)
            call = requests.make_target_call(context, self.submit)
            self._send_started_ms = context.clock.now_ms()
            answer = await context.driver.send(call, self._before_send)
            del call
            self.submit = msgspec.structs.replace(self.submit, body=b"")
            return await self._read(answer, admitted_request, plan)

    def _before_send(self) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if now_ms >= self.submit.deadline_ms:
            raise limits_api.RefusedError(messages.Reason.DEADLINE)
        if now_ms - self._send_started_ms >= context.wire.silence_ms:
            raise limits_api.RefusedError(
                messages.Reason.EXPIRED, 0.0, "the agent stood still"
            )
        if context.is_engine:
            checks.check_weights(context, self.submit)
        if not context.rate.allows_send(now_ms):
            raise limits_api.RefusedError(
                messages.Reason.FULL,
                context.rate.next_permit_ms(now_ms),
                f"the target limits requests: {context.rate.describe(now_ms)}",
            )
        context.rate.spend_permit(now_ms)
        if self._order_tracker is not None:
            self._order_tracker.mark_sent()
        self._incarnation = context.state.incarnation
        self._sent_ms = now_ms
        self._last_received_ms = now_ms
        self.is_sent = True

    async def _read(
        self,
        answer: targets_api.Answer,
        admitted_request: limits_api.AdmittedRequest,
        plan: requests.RequestPlan,
    ) -> messages.Finished:
        reasons = messages.Reason
        failures = 0
        is_resumed = False
        try:
            while True:
                try:
                    await self._read_head(
                        answer, admitted_request, plan, is_resumed
                    )
                    await self._read_chunks(answer)
                    return messages.Finished(self.delivery.buffer.next_seq)
                except targets_api.LostStreamError:
                    raise
                except targets_api.SilentTargetError:
                    self._context.counters.count_retry(reasons.SILENT)
                    if not await self._context.driver.is_healthy():
                        raise
                    if not answer.is_resumable and self._is_reply_overdue():
                        # a slow answer and a lost one look the same here, so
                        # the request fails after the reply timeout
                        raise
                except targets_api.BrokenAnswerError as error:
                    failures += 1
                    self._record_failed_answer(error)
                    if not answer.is_resumable or failures > MAX_RESUMES:
                        raise
                    self._context.counters.count_retry(reasons.TARGET_FAILED)
                if answer.is_resumable:
                    previous_answer = answer
                    answer = await self._resume()
                    previous_answer.close()
                    is_resumed = True
        finally:
            answer.close()

    def _record_failed_answer(
        self, error: targets_api.BrokenAnswerError
    ) -> None:
        is_invalid = isinstance(error, targets_api.InvalidAnswerError)
        result = "invalid" if is_invalid else "broken"
        self._context.counters.increment(f"answer.{result}")
        _LOG.warning(
            "answer_failed",
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            result=result,
            chunks=self.delivery.buffer.next_seq,
            detail=str(error),
        )

    def _is_reply_overdue(self) -> bool:
        silent_ms = self._context.clock.now_ms() - self._last_received_ms
        return silent_ms >= self._context.settings.reply_timeout_ms

    async def _resume(self) -> targets_api.Answer:
        context = self._context
        request_id = self.submit.request_id
        next_seq = self.delivery.buffer.next_seq
        for _ in range(MAX_RESUMES):
            try:
                return await context.driver.resume(request_id, next_seq)
            except targets_api.NotSentError:
                await context.clock.sleep(RESUME_PAUSE_MS)
        raise targets_api.CrashedTargetError("the target is gone")

    async def _read_head(
        self,
        answer: targets_api.Answer,
        admitted_request: limits_api.AdmittedRequest,
        plan: requests.RequestPlan,
        is_resumed: bool,
    ) -> None:
        context = self._context
        head = await answer.read_head(context.wire.silence_ms)
        if is_resumed:
            checks.check_resumed_head(
                head, self._incarnation, self.delivery.started
            )
        if self.delivery.started is not None:
            return
        per_s = target_rate.parse_per_s(head.rate_limit)
        if per_s is not None:
            context.rate.apply_answer(per_s, context.clock.now_ms())
        checks.check_answer_head(context, self.submit, head)
        now_ms = context.clock.now_ms()
        if context.is_engine and head.status == checks.OK_STATUS:
            self._incarnation = head.incarnation
            context.state.update_from_head(head)
            missing_pieces = plan.missing_pieces_after(
                head.cached_pieces, context.settings.piece_chars
            )
            context.cost_model.learn_prefill(
                self._sent_ms, now_ms, missing_pieces
            )
            kv_policy.export_computed(context, plan, head)
            context.eviction_age.record_use(plan.keys)
            context.piece_uses.record_use(plan.piece_keys)
            context.cached_levels.mark_computed(self.submit.level_keys)
        self._head_received_ms = now_ms
        self._last_received_ms = now_ms
        context.admission.record_first_token(admitted_request)
        self.delivery.set_started(
            messages.Started(
                head.status,
                head.content_type,
                head.prompt_pieces,
                head.cached_pieces,
                head.weights_version,
                self._width_hint,
            )
        )

    async def _read_chunks(self, answer: targets_api.Answer) -> None:
        context = self._context
        first_seq = self.delivery.buffer.next_seq
        async for items in answer.read_chunks(context.wire.silence_ms):
            self._last_received_ms = context.clock.now_ms()
            self.delivery.append(items)
            if self._order_tracker is not None:
                # an order does not wait for its reader, so that its outcome
                # becomes known in any case
                self._order_tracker.append_answer(items)
                self.delivery.buffer.acknowledge(self.delivery.buffer.next_seq)
            elif not await self.delivery.wait_for_room(
                context.settings.stream_tail_ms
            ):
                raise SlowReaderError("nobody took the answer")
        spent_ms = context.clock.now_ms() - self._head_received_ms
        if context.is_engine:
            tokens = self.delivery.buffer.next_seq - first_seq - 1
            context.cost_model.learn_decode(spent_ms, tokens)
            context.cost_model.learn_length(
                self.delivery.buffer.next_seq - self.first_seq, self._max_tokens
            )
        else:
            context.cost_model.learn_call(
                context.clock.now_ms() - self._sent_ms
            )

    async def _cancel_at_target(self) -> None:
        if self.is_sent and self._order_tracker is None:
            await self._context.driver.cancel(self.submit.request_id)

    def _log(self, ending: deliveries.Ending) -> None:
        context = self._context
        detail = ""
        if isinstance(ending, messages.Finished):
            context.counters.increment("requests.finished")
            reason = ""
        elif isinstance(ending, messages.NotRun):
            context.counters.count_refusal(ending.reason)
            reason = ending.reason
            detail = ending.detail
        else:
            context.counters.increment(f"broken.{ending.reason}")
            reason = ending.reason
            detail = ending.detail
        _LOG.event(
            "request_ended",
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            team=self.submit.team,
            result=type(ending).__name__.lower(),
            reason=reason,
            chunks=self.delivery.buffer.next_seq,
            detail=detail,
        )


__all__ = ["Run", "SlowReaderError"]
