"""One request from its arrival to its end."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec

from lycheering.agent import checks
from lycheering.agent import delivery as deliveries
from lycheering.agent import kept_prompts
from lycheering.agent import orders
from lycheering.agent import requests
from lycheering.agent import ticketed
from lycheering.limits import api as limits_api
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts

MAX_RESUMES = 3
RESUME_PAUSE_MS = 100

_LOG = logs.get("runs")


class SlowReaderError(targets_api.LostStreamError):
    """Nobody took the answer for too long."""

    reason = messages.Reason.CANCELLED


class Run:
    """One attempt of one request at the target.

    Attributes:
        submit: The request; its body is dropped once sent.
        first_seq: The number of the answer's first chunk.
        delivery: The answer.
        sent: Whether a byte of it may have left for the target.
    """

    def __init__(
        self, submit: messages.Submit, context: contexts.Context
    ) -> None:
        self.submit = submit
        self.sent = False
        self.first_seq = submit.continue_from if context.is_engine else 0
        self.delivery = deliveries.Delivery(self.first_seq, context.clock)
        self._context = context
        self._sent_ms = 0.0
        self._checked_ms = 0.0
        self._heard_ms = 0.0
        self._incarnation = ""
        self._hint: messages.WidthHint | None = None
        self._head_ms = 0.0
        self._max_tokens = 0
        self._order: ticketed.TicketedOrder | None = None
        if submit.ticket is not None:
            self._order = ticketed.TicketedOrder(
                context, submit.ticket, submit.request_id
            )

    async def work(self) -> None:
        """Runs the request; its delivery has an end afterwards."""
        try:
            ending: deliveries.Ending = await self._attempt()
        except limits_api.RefusedError as error:
            ending = self._failed(
                error.reason, error.detail, error.retry_after_ms
            )
        except orders.AlreadySentError as error:
            ending = messages.Broken(
                messages.Reason.BLOCKED, 0, f"order {error} was sent before"
            )
        except targets_api.TargetError as error:
            ending = self._failed(
                error.reason, str(error), checks.DOWN_RETRY_AFTER_MS
            )
        except TimeoutError:
            ending = self._failed(messages.Reason.DEADLINE, "past the deadline")
        except asyncio.CancelledError:
            ending = self._failed(messages.Reason.CANCELLED, "cancelled")
        except Exception as error:
            _LOG.error(
                "run_failed",
                request_id=self.submit.request_id,
                error=repr(error),
            )
            ending = self._failed(messages.Reason.INTERNAL, repr(error))
        self._end(ending)
        if isinstance(ending, messages.Broken):
            await self._cancel_at_target()

    def abandon(self) -> None:
        """Ends the request if its task was ended before it could."""
        if self.delivery.ending is None:
            self._end(self._failed(messages.Reason.CANCELLED, "cancelled"))

    def _end(self, ending: deliveries.Ending) -> None:
        self.submit = msgspec.structs.replace(self.submit, body=b"")
        if self._order is not None:
            self._order.settle(ending, self.delivery.started)
        self.delivery.end(ending)
        self._log(ending)

    def _failed(
        self,
        reason: messages.Reason,
        detail: str,
        retry_after_ms: float = 0.0,
    ) -> messages.NotRun | messages.Broken:
        # the one place that tells "not run" from "may have run"
        if self.sent:
            return messages.Broken(reason, self.delivery.tail.next_seq, detail)
        return messages.NotRun(reason, retry_after_ms, detail, self._hint)

    async def _attempt(self) -> messages.Finished:
        context = self._context
        checks.check_acceptable(context, self.submit)
        plan = requests.make_plan(context, self.submit)
        self._max_tokens = plan.max_tokens
        self._measure_width(plan)
        demand = requests.make_demand(context, self.submit, plan.cost)
        place = context.admission.enter(demand)
        level_keys = self.submit.level_keys
        self._expect_levels(plan)
        try:
            if self._order is not None:
                self._order.receive()
            self.delivery.tell(messages.Accepted(place.expected_start_ms))
            await context.admission.wait(place)
            left_ms = self.submit.deadline_ms - context.clock.now_ms()
            if self._order is not None:
                # a late outcome is worth more to an order than none
                left_ms += context.settings.stream_tail_ms
            async with asyncio.timeout(max(0.0, left_ms) / 1_000):
                return await self._run(place, plan)
        finally:
            context.admission.leave(place)
            if self.delivery.started is None:
                context.held.not_computed(level_keys)

    def _expect_levels(self, plan: requests.Plan) -> None:
        for level in plan.levels:
            level.expected_until_ms = self.submit.deadline_ms
        self._context.held.expect(self.submit.level_keys, plan.levels)

    def _measure_width(self, plan: requests.Plan) -> None:
        context = self._context
        max_width = context.holder.fleet.integer(
            "routing.max_width", context.subject
        )
        slots = max(1, context.admission.limits.max_running)
        # counted as if its levels were held, as they soon are
        held = plan.levels[-1].pieces if plan.levels else 0
        after = plan.missing_after(held, context.settings.piece_chars)
        prefill_ms = context.cost.completion(after, 0).prefill_ms
        work_ms = prefill_ms + plan.cost.decode_ms / slots
        self._hint = context.widths.offer(
            self.submit.level_key, work_ms, self.submit.width, max_width
        )

    async def _run(
        self, place: limits_api.Place, plan: requests.Plan
    ) -> messages.Finished:
        context = self._context
        async with contextlib.AsyncExitStack() as stack:
            if self._order is not None and self._order.in_order:
                await stack.enter_async_context(context.order_lock)
            await kept_prompts.bring(context, self.submit)
            call = requests.make_call(context, self.submit)
            self._checked_ms = context.clock.now_ms()
            answer = await context.driver.send(call, self._before_send)
            del call
            self.submit = msgspec.structs.replace(self.submit, body=b"")
            return await self._read(answer, place, plan)

    def _before_send(self) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if now_ms >= self.submit.deadline_ms:
            raise limits_api.RefusedError(messages.Reason.DEADLINE)
        if now_ms - self._checked_ms >= context.wire.silence_ms:
            raise limits_api.RefusedError(
                messages.Reason.EXPIRED, 0.0, "the agent stood still"
            )
        if context.is_engine:
            checks.check_weights(context, self.submit)
        if self._order is not None:
            self._order.sending()
        self._incarnation = context.state.incarnation
        self._sent_ms = now_ms
        self._heard_ms = now_ms
        self.sent = True

    async def _read(
        self,
        answer: targets_api.Answer,
        place: limits_api.Place,
        plan: requests.Plan,
    ) -> messages.Finished:
        reasons = messages.Reason
        failures = 0
        renewed = False
        try:
            while True:
                try:
                    await self._read_head(answer, place, plan, renewed)
                    await self._read_chunks(answer)
                    return messages.Finished(self.delivery.tail.next_seq)
                except targets_api.LostStreamError:
                    raise
                except targets_api.SilentTargetError:
                    self._context.counters.retry(reasons.SILENT)
                    if not await self._context.driver.healthy():
                        raise
                    if not answer.resumable and self._is_overdue():
                        # slow or lost can't be told apart from here
                        raise
                except targets_api.BrokenAnswerError:
                    failures += 1
                    if not answer.resumable or failures > MAX_RESUMES:
                        raise
                    self._context.counters.retry(reasons.TARGET_FAILED)
                if answer.resumable:
                    silent = answer
                    answer = await self._renew()
                    silent.close()
                    renewed = True
        finally:
            answer.close()

    def _is_overdue(self) -> bool:
        silent_ms = self._context.clock.now_ms() - self._heard_ms
        return silent_ms >= self._context.settings.reply_timeout_ms

    async def _renew(self) -> targets_api.Answer:
        context = self._context
        request_id = self.submit.request_id
        next_seq = self.delivery.tail.next_seq
        for _ in range(MAX_RESUMES):
            try:
                return await context.driver.resume(request_id, next_seq)
            except targets_api.NotSentError:
                await context.clock.sleep(RESUME_PAUSE_MS)
        raise targets_api.LostStreamError("the target is gone")

    async def _read_head(
        self,
        answer: targets_api.Answer,
        place: limits_api.Place,
        plan: requests.Plan,
        renewed: bool,
    ) -> None:
        context = self._context
        head = await answer.head(context.wire.silence_ms)
        if renewed:
            checks.check_renewed(head, self._incarnation)
        if self.delivery.started is not None:
            return
        checks.check_first(context, self.submit, head)
        now_ms = context.clock.now_ms()
        if context.is_engine and head.status == checks.OK_STATUS:
            self._incarnation = head.incarnation
            context.state.learn_head(head)
            missing = plan.missing_after(
                head.cached_pieces, context.settings.piece_chars
            )
            context.cost.learn_prefill(self._sent_ms, now_ms, missing)
            kept_prompts.keep(context, plan, head)
            context.ages.used(plan.keys)
            context.heat.used(plan.links)
            context.held.computed(self.submit.level_keys)
        self._head_ms = now_ms
        self._heard_ms = now_ms
        context.admission.prefilled(place)
        self.delivery.start(
            messages.Started(
                head.status,
                head.content_type,
                head.prompt_pieces,
                head.cached_pieces,
                head.weights_version,
                self._hint,
            )
        )

    async def _read_chunks(self, answer: targets_api.Answer) -> None:
        context = self._context
        first_seq = self.delivery.tail.next_seq
        async for items in answer.batches(context.wire.silence_ms):
            self._heard_ms = context.clock.now_ms()
            self.delivery.add(items)
            if self._order is not None:
                # goes on without a reader, so that its outcome is known
                self._order.keep(items)
                self.delivery.tail.acknowledge(self.delivery.tail.next_seq)
            elif not await self.delivery.room(context.settings.stream_tail_ms):
                raise SlowReaderError("nobody took the answer")
        spent_ms = context.clock.now_ms() - self._head_ms
        if context.is_engine:
            tokens = self.delivery.tail.next_seq - first_seq - 1
            context.cost.learn_decode(spent_ms, tokens)
            context.cost.learn_length(
                self.delivery.tail.next_seq - self.first_seq, self._max_tokens
            )
        else:
            context.cost.learn_call(context.clock.now_ms() - self._sent_ms)

    async def _cancel_at_target(self) -> None:
        if self.sent and self._order is None:
            await self._context.driver.cancel(self.submit.request_id)

    def _log(self, ending: deliveries.Ending) -> None:
        context = self._context
        if isinstance(ending, messages.Finished):
            context.counters.increment("requests.finished")
            reason = ""
        elif isinstance(ending, messages.NotRun):
            context.counters.refusal(ending.reason)
            reason = ending.reason
        else:
            context.counters.increment(f"broken.{ending.reason}")
            reason = ending.reason
        _LOG.event(
            "request_ended",
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            team=self.submit.team,
            result=type(ending).__name__.lower(),
            reason=reason,
            chunks=self.delivery.tail.next_seq,
        )


__all__ = ["Run", "SlowReaderError"]
