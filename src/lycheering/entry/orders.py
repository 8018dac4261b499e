"""Runs orders, each of which may run at most once."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.entry import assemble
from lycheering.entry import attempt as attempts
from lycheering.entry import attempt_errors
from lycheering.entry import control_client
from lycheering.entry import dispatch
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.retries import retry_budget
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.routing import router as routers

CONTROL_TIMEOUT_MS = 5_000.0
FINISH_TIMEOUT_MS = 15_000.0
LOOK_UP_INTERVAL_MS = 250.0
STATE_HEADER = "X-Order-State"

_LOG = logs.get("orders")


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A granted claim to run an order on one target.

    Attributes:
        decision: The routing decision, with the chosen target.
        incarnation: The incarnation of the target's agent.
        order_id: The id of the order.
        fence: The fencing attempt_number of the claim.
    """

    decision: routers.RoutingDecision
    incarnation: str
    order_id: str
    fence: int


class _TryAgainError(Exception):
    """The order did not run in this attempt and may be claimed again.

    Attributes:
        reason: Why it did not run.
        retry_after_ms: Time in ms until a retry is worthwhile.
        is_order_not_run: Whether no earlier call under the same key ran the
            order either.
    """

    def __init__(
        self,
        reason: messages.Reason,
        detail: str,
        retry_after_ms: float = 0.0,
        *,
        is_order_not_run: bool = True,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.is_order_not_run = is_order_not_run


class OrderDispatcher:
    """Claims orders, runs them and stores their outcomes."""

    def __init__(
        self,
        targets: target_access.TargetAccess,
        control: control_client.ControlClient,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self._targets = targets
        self._control = control
        self._budget = budget

    async def run(self, job: jobs.Job) -> refusals.Answer:
        """Runs an order, or returns the stored answer of an earlier run.

        Raises:
            RefusalError: If the order has no answer.
        """
        retries = dispatch.new_request_retries(self._targets, job, self._budget)
        tried: list[str] = []
        is_order_not_run = False
        attempt_number = 1
        while True:
            try:
                return await self._run_attempt(job, attempt_number, tried)
            except _TryAgainError as error:
                is_order_not_run = is_order_not_run or error.is_order_not_run
                left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
                if left_ms <= 0 or not retries.try_take(
                    error.reason, not_run=True
                ):
                    raise refusals.RefusalError(
                        error.reason,
                        str(error) or error.reason.value,
                        not_run=True,
                        retry_after_ms=error.retry_after_ms,
                        is_order_not_run=is_order_not_run,
                    ) from error
                self._targets.counters.count_retry(error.reason)
                self._log("order_retry", job, reason=error.reason.value)
            await self._targets.clock.sleep(
                retry_budget.backoff_ms(attempt_number)
            )
            attempt_number += 1

    async def look_up(self, team: str, key: str) -> messages.OrderReply:
        """Returns the state of an order.

        Raises:
            RefusalError: If the control instances can't return it.
        """
        return await self._call_control(
            messages.OrderLookup(team, key), CONTROL_TIMEOUT_MS
        )

    async def _call_control(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.OrderReply:
        try:
            reply = await self._control.call(message, timeout_ms)
        except control_client.ControlUnavailableError as error:
            raise refusals.RefusalError(
                messages.Reason.NO_QUORUM, str(error), not_run=False
            ) from error
        except errors.CallFailedError as error:
            raise refusals.RefusalError(
                error.failure.reason,
                error.failure.detail,
                not_run=False,
                retry_after_ms=error.failure.retry_after_ms,
            ) from error
        return _checked_reply(reply)

    async def _run_attempt(
        self, job: jobs.Job, attempt_number: int, tried: list[str]
    ) -> refusals.Answer:
        decision = await dispatch.choose_target(
            self._targets, job, attempt_number, tried
        )
        tried.append(decision.target.name)
        # connects before the claim, which names the agent's incarnation
        try:
            connection = await self._targets.connect(decision)
        except target_access.NotRunError as error:
            self._targets.circuit_breakers.record_failure(decision.target.name)
            raise _TryAgainError(
                error.reason, str(error), is_order_not_run=False
            ) from error
        incarnation = connection.peer_incarnation
        reply = await self._claim(job, decision, incarnation)
        if not reply.same_digest:
            raise refusals.RefusalError(
                messages.Reason.KEY_REUSED,
                "the key was already used for another request",
                not_run=True,
                is_order_not_run=True,
            )
        if not reply.granted:
            return await self._answer_existing(job, reply)
        claim = _Claim(decision, incarnation, reply.order_id, reply.fence)
        self._log("order_claimed", job, order_id=claim.order_id)
        return await self._send_claimed(job, attempt_number, claim)

    async def _claim(
        self, job: jobs.Job, decision: routers.RoutingDecision, incarnation: str
    ) -> messages.OrderReply:
        retention_ms = self._targets.view.fleet.number(
            "orders.retention_ms", dispatch.options_subject(job)
        )
        claim = messages.OrderClaim(
            job.team,
            job.idempotency_key,
            job.digest,
            job.request_id,
            decision.target.name,
            incarnation,
            retention_ms,
        )
        left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
        return await self._call_control(claim, min(CONTROL_TIMEOUT_MS, left_ms))

    async def _send_claimed(
        self, job: jobs.Job, attempt_number: int, claim: _Claim
    ) -> refusals.Answer:
        sink = sinks.WholeSink()
        ticket = messages.OrderTicket(claim.order_id, claim.fence)
        try:
            await attempts.Attempt(
                self._targets,
                job,
                attempt_number,
                claim.decision,
                sink,
                ticket,
                claim.incarnation,
            ).run()
            is_chat = job.form is jobs.AnswerForm.CHAT
            answer = sink.answer(chat=is_chat, stream=job.stream)
        except target_access.NotRunError as error:
            await self._release_claim(job, claim, error.reason)
            raise _TryAgainError(
                error.reason, str(error), error.retry_after_ms
            ) from error
        except (
            attempt_errors.BrokenError,
            attempt_errors.OverdueError,
            assemble.ChunkError,
            sinks.AnswerTooLargeError,
        ) as error:
            self._targets.circuit_breakers.record_failure(
                claim.decision.target.name
            )
            self._log("order_in_doubt", job, detail=str(error))
            return await self._resolve_in_doubt(job)
        return await self._store_outcome(job, claim, answer)

    async def _store_outcome(
        self, job: jobs.Job, claim: _Claim, answer: refusals.Answer
    ) -> refusals.Answer:
        outcome = messages.OrderOutcome(
            answer.status, answer.content_type, answer.body, job.request_id
        )
        finish = messages.OrderFinish(claim.order_id, outcome)
        try:
            await self._control.call(finish, FINISH_TIMEOUT_MS)
        except (
            control_client.ControlUnavailableError,
            errors.CallFailedError,
        ) as error:
            self._targets.counters.increment("order.finish_failed")
            self._log("order_finish_failed", job, detail=str(error))
            raise refusals.RefusalError(
                messages.Reason.NO_QUORUM,
                "the order ran, but its answer is not stored yet;"
                " send it again under the same key",
                not_run=False,
            ) from error
        self._log("order_finished", job, order_id=claim.order_id)
        return _answer_from_outcome(outcome)

    async def _release_claim(
        self, job: jobs.Job, claim: _Claim, reason: messages.Reason
    ) -> None:
        release = messages.OrderRelease(claim.order_id, reason)
        try:
            await self._control.call(release, CONTROL_TIMEOUT_MS)
        except (
            control_client.ControlUnavailableError,
            errors.CallFailedError,
        ) as error:
            # control resolves the open claim through the agent when the key is
            # sent again
            raise refusals.RefusalError(
                reason,
                f"not run, but the claim is not released yet: {error}",
                not_run=True,
                is_order_not_run=True,
            ) from error
        self._log("order_released", job, reason=reason.value)

    async def _answer_existing(
        self, job: jobs.Job, reply: messages.OrderReply
    ) -> refusals.Answer:
        if reply.state is messages.OrderState.CLAIMED:
            reply = await self.look_up(job.team, job.idempotency_key)
        return self._answer_for_state(job, reply)

    async def _resolve_in_doubt(self, job: jobs.Job) -> refusals.Answer:
        """Waits until control knows the outcome, at most until the deadline."""
        clock = self._targets.clock
        while True:
            reply = await self.look_up(job.team, job.idempotency_key)
            is_running = reply.state is messages.OrderState.CLAIMED
            if not is_running or clock.now_ms() >= job.deadline_at_ms:
                return self._answer_for_state(job, reply)
            await clock.sleep(LOOK_UP_INTERVAL_MS)

    def _answer_for_state(
        self, job: jobs.Job, reply: messages.OrderReply
    ) -> refusals.Answer:
        if not reply.same_digest:
            raise refusals.RefusalError(
                messages.Reason.KEY_REUSED,
                "the key was already used for another request",
                not_run=True,
                is_order_not_run=True,
            )
        match reply.state:
            case messages.OrderState.FINISHED if reply.outcome is not None:
                return _answer_from_outcome(reply.outcome)
            case messages.OrderState.RELEASED:
                raise _TryAgainError(
                    messages.Reason.BLOCKED, "the order did not run"
                )
            case messages.OrderState.CLAIMED:
                raise refusals.RefusalError(
                    messages.Reason.IN_PROGRESS,
                    "the order is claimed and may be running",
                    not_run=False,
                )
            case _:
                raise refusals.RefusalError(
                    messages.Reason.UNKNOWN_OUTCOME,
                    "the order may have run; it will not run again under"
                    " this key",
                    not_run=False,
                )

    def _log(self, event: str, job: jobs.Job, **fields: object) -> None:
        _LOG.event(
            event,
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
            **fields,
        )


def _checked_reply(reply: messages.Message) -> messages.OrderReply:
    if not isinstance(reply, messages.OrderReply):
        raise refusals.RefusalError(
            messages.Reason.INTERNAL,
            f"unexpected reply from control: {type(reply).__name__}",
            not_run=False,
        )
    return reply


def _answer_from_outcome(outcome: messages.OrderOutcome) -> refusals.Answer:
    return refusals.Answer(
        outcome.status,
        outcome.content_type,
        outcome.body,
        {STATE_HEADER: messages.OrderState.FINISHED.value},
    )


__all__ = ["STATE_HEADER", "OrderDispatcher"]
