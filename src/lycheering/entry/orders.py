"""Gets orders answered, each of which runs at most once."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.entry import assemble
from lycheering.entry import attempt as attempts
from lycheering.entry import control_client
from lycheering.entry import dispatch
from lycheering.entry import endings
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.retries import budget as budgets
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.routing import router as routers

CALL_MS = 5_000.0
FINISH_MS = 15_000.0
ASK_PAUSE_MS = 250.0
STATE_HEADER = "X-Order-State"

_LOG = logs.get("orders")


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A granted claim and the target that it is for.

    Attributes:
        choice: The target.
        incarnation: The incarnation of the agent beside it.
        order_id: The claim's id.
        fence: Its fencing number.
    """

    choice: routers.Choice
    incarnation: str
    order_id: str
    fence: int


class _TryAgainError(Exception):
    """This sending did not run the order; another claim may be made.

    Attributes:
        reason: Why.
        retry_after_ms: When to try again.
        settled: Whether no earlier sending ran it either.
    """

    def __init__(
        self,
        reason: messages.Reason,
        detail: str,
        retry_after_ms: float = 0.0,
        *,
        settled: bool = True,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.settled = settled


class OrderDesk:
    """Claims, runs and settles orders."""

    def __init__(
        self,
        targets: target_access.Targets,
        control: control_client.ControlClient,
        budget: budgets.RetryBudget,
    ) -> None:
        self._targets = targets
        self._control = control
        self._budget = budget

    async def run(self, job: jobs.Job) -> refusals.Answer:
        """Returns the order's answer, now or from an earlier run.

        Raises:
            RefusalError: If there is none.
        """
        allowance = dispatch.allow_retries(self._targets, job, self._budget)
        tried: list[str] = []
        settled = False
        number = 1
        while True:
            try:
                return await self._run_once(job, number, tried)
            except _TryAgainError as error:
                settled = settled or error.settled
                left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
                if left_ms <= 0 or not allowance.take(
                    error.reason, not_run=True
                ):
                    raise refusals.RefusalError(
                        error.reason,
                        str(error) or error.reason.value,
                        not_run=True,
                        retry_after_ms=error.retry_after_ms,
                        settles_order=settled,
                    ) from error
                self._targets.counters.retry(error.reason)
                self._log("order_retry", job, reason=error.reason.value)
            await self._targets.clock.sleep(budgets.pause_ms(number))
            number += 1

    async def look_up(self, team: str, key: str) -> messages.OrderReply:
        """Returns where an order stands.

        Raises:
            RefusalError: If control can't tell.
        """
        return await self._ask(messages.OrderLookup(team, key), CALL_MS)

    async def _ask(
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
        return _order_reply(reply)

    async def _run_once(
        self, job: jobs.Job, number: int, tried: list[str]
    ) -> refusals.Answer:
        choice = await dispatch.choose(self._targets, job, number, tried)
        tried.append(choice.target.name)
        # the claim names the incarnation that will be sent to
        try:
            connection = await self._targets.connect(choice)
        except target_access.NotRunError as error:
            self._targets.circuits.failed(choice.target.name)
            raise _TryAgainError(
                error.reason, str(error), settled=False
            ) from error
        incarnation = connection.peer_incarnation
        reply = await self._claim(job, choice, incarnation)
        if not reply.same_digest:
            raise refusals.RefusalError(
                messages.Reason.KEY_REUSED,
                "the key belongs to another request",
                not_run=True,
                settles_order=True,
            )
        if not reply.granted:
            return await self._stored(job, reply)
        claim = _Claim(choice, incarnation, reply.order_id, reply.fence)
        self._log("order_claimed", job, order_id=claim.order_id)
        return await self._send(job, number, claim)

    async def _claim(
        self, job: jobs.Job, choice: routers.Choice, incarnation: str
    ) -> messages.OrderReply:
        retention_ms = self._targets.view.fleet.number(
            "orders.retention_ms", dispatch.subject_of(job)
        )
        claim = messages.OrderClaim(
            job.team,
            job.idempotency_key,
            job.digest,
            job.request_id,
            choice.target.name,
            incarnation,
            retention_ms,
        )
        left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
        return await self._ask(claim, min(CALL_MS, left_ms))

    async def _send(
        self, job: jobs.Job, number: int, claim: _Claim
    ) -> refusals.Answer:
        sink = sinks.WholeSink()
        ticket = messages.OrderTicket(claim.order_id, claim.fence)
        try:
            await attempts.Attempt(
                self._targets,
                job,
                number,
                claim.choice,
                sink,
                ticket,
                claim.incarnation,
            ).run()
            chat = job.form is jobs.AnswerForm.CHAT
            answer = sink.answer(chat=chat, stream=job.stream)
        except target_access.NotRunError as error:
            await self._release(job, claim, error.reason)
            raise _TryAgainError(
                error.reason, str(error), error.retry_after_ms
            ) from error
        except (
            endings.BrokenError,
            endings.OverdueError,
            assemble.ChunkError,
            sinks.AnswerTooLargeError,
        ) as error:
            self._targets.circuits.failed(claim.choice.target.name)
            self._log("order_in_doubt", job, detail=str(error))
            return await self._settle(job)
        return await self._finish(job, claim, answer)

    async def _finish(
        self, job: jobs.Job, claim: _Claim, answer: refusals.Answer
    ) -> refusals.Answer:
        outcome = messages.OrderOutcome(
            answer.status, answer.content_type, answer.body, job.request_id
        )
        finish = messages.OrderFinish(claim.order_id, outcome)
        try:
            await self._control.call(finish, FINISH_MS)
        except (
            control_client.ControlUnavailableError,
            errors.CallFailedError,
        ) as error:
            self._targets.counters.increment("order.finish_failed")
            self._log("order_finish_failed", job, detail=str(error))
            raise refusals.RefusalError(
                messages.Reason.NO_QUORUM,
                "the order ran, but its answer is not kept yet;"
                " send it again under the same key",
                not_run=False,
            ) from error
        self._log("order_finished", job, order_id=claim.order_id)
        return _answer_of(outcome)

    async def _release(
        self, job: jobs.Job, claim: _Claim, reason: messages.Reason
    ) -> None:
        release = messages.OrderRelease(claim.order_id, reason)
        try:
            await self._control.call(release, CALL_MS)
        except (
            control_client.ControlUnavailableError,
            errors.CallFailedError,
        ) as error:
            # control asks the agent when the key comes again
            raise refusals.RefusalError(
                reason,
                f"not run, but the claim is not given back yet: {error}",
                not_run=True,
                settles_order=True,
            ) from error
        self._log("order_released", job, reason=reason.value)

    async def _stored(
        self, job: jobs.Job, reply: messages.OrderReply
    ) -> refusals.Answer:
        if reply.state is messages.OrderState.CLAIMED:
            reply = await self.look_up(job.team, job.idempotency_key)
        return self._by_state(job, reply)

    async def _settle(self, job: jobs.Job) -> refusals.Answer:
        """Answers an order of which only control can tell what became."""
        clock = self._targets.clock
        while True:
            reply = await self.look_up(job.team, job.idempotency_key)
            running = reply.state is messages.OrderState.CLAIMED
            if not running or clock.now_ms() >= job.deadline_at_ms:
                return self._by_state(job, reply)
            await clock.sleep(ASK_PAUSE_MS)

    def _by_state(
        self, job: jobs.Job, reply: messages.OrderReply
    ) -> refusals.Answer:
        if not reply.same_digest:
            raise refusals.RefusalError(
                messages.Reason.KEY_REUSED,
                "the key belongs to another request",
                not_run=True,
                settles_order=True,
            )
        match reply.state:
            case messages.OrderState.FINISHED if reply.outcome is not None:
                return _answer_of(reply.outcome)
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


def _order_reply(reply: messages.Message) -> messages.OrderReply:
    if not isinstance(reply, messages.OrderReply):
        raise refusals.RefusalError(
            messages.Reason.INTERNAL,
            f"control answered {type(reply).__name__}",
            not_run=False,
        )
    return reply


def _answer_of(outcome: messages.OrderOutcome) -> refusals.Answer:
    return refusals.Answer(
        outcome.status,
        outcome.content_type,
        outcome.body,
        {STATE_HEADER: messages.OrderState.FINISHED.value},
    )


__all__ = ["STATE_HEADER", "OrderDesk"]
