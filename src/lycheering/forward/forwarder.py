"""Takes a request from its arrival to the last byte of its answer."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from lycheering.forward import admission
from lycheering.forward import api
from lycheering.forward import attempt as attempts
from lycheering.forward import choice
from lycheering.forward import intake as intakes
from lycheering.forward import job as jobs
from lycheering.forward import refusals
from lycheering.forward import shared_parts
from lycheering.retries import window
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import holder
    from lycheering.forward import caller as callers
    from lycheering.forward import target_state
    from lycheering.telemetry import counters
    from lycheering.telemetry import histograms

# connections that fail before a request leaves, for one request
MAX_CONNECT_FAILURES = 3
FIRST_RETRY_AFTER_MS = 300.0
# waits end by themselves when a request's time is over, but for its caller's
MAX_OVERTIME_MS = 200.0

_LOG = logs.get("forward")


@dataclasses.dataclass(frozen=True)
class ForwardSettings:
    """How requests are forwarded.

    Attributes:
        choice: Weights of the choice of a target.
        second_sends: Bound on second sends to a service.
        admission: How long the queue at engines may get.
    """

    choice: choice.ChoiceSettings
    second_sends: window.WindowSettings
    admission: admission.AdmissionSettings = admission.AdmissionSettings()


class Forwarder:
    """Finds a target for each request and makes attempts.

    Attributes:
        registry: What is known of targets.
    """

    def __init__(
        self,
        settings: ForwardSettings,
        view: holder.ViewHolder,
        intake: intakes.Intake,
        sender: attempts.Attempts,
        failure_domain: str,
        time: clock.Clock,
        counts: counters.Counters,
        times: histograms.Histograms,
    ) -> None:
        """Prepares the forwarder.

        Args:
            settings: How requests are forwarded.
            view: The fleet view in force.
            intake: Makes jobs of requests.
            sender: Makes attempts.
            failure_domain: Where this entry is.
            time: The clock.
            counts: The process's counters.
            times: The process's latency histograms.
        """
        self.registry = sender.registry
        self._intake = intake
        self._settings = settings
        self._view = view
        self._sender = sender
        self._failure_domain = failure_domain
        self._clock = time
        self._counters = counts
        self._times = times
        self._random = random.Random()
        self._admission = admission.AdmissionController(
            settings.admission, self._random
        )
        self._window_by_service: dict[str, window.SendWindow] = {}
        self._sharers = 1

    def share(self, sharers: int) -> None:
        """Learns how many entries share the bound on second sends."""
        self._sharers = sharers
        for item in self._window_by_service.values():
            item.sharers = sharers

    async def forward(
        self, arrival: intakes.Arrival, caller: callers.Caller
    ) -> None:
        """Answers one request.

        Raises:
            RefusalError: If the entry answers it by itself.
            CallerGoneError: If the caller left.
            AnswerCutError: If the answer ends before it is whole.
        """
        job = await self._intake.job(arrival, caller)
        caller.watch()
        self._window(job.service.name).count_request()
        outcome = "refused"
        reason = ""
        try:
            result = await self._send_in_time(job)
            outcome, reason = result.result.value, result.detail
        except refusals.RefusalError as refusal:
            reason = refusal.reason.value
            raise
        except refusals.CallerGoneError:
            outcome = "caller_gone"
            raise
        except refusals.AnswerCutError as error:
            outcome, reason = "cut", str(error)
            raise
        finally:
            caller.close()
            self._account(job, outcome, reason)

    async def _send_in_time(self, job: jobs.Job) -> attempts.Outcome:
        """Bounds what no single wait does: a caller that does not read."""
        left_ms = self._sender.left_ms(job) + MAX_OVERTIME_MS
        try:
            async with asyncio.timeout(left_ms / 1_000):
                return await self._send(job)
        except TimeoutError as error:
            if job.caller.has_begun:
                raise refusals.AnswerCutError("not read in time") from error
            raise refusals.RefusalError(refusals.Reason.TIMEOUT) from error

    async def _send(self, job: jobs.Job) -> attempts.Outcome:
        """Makes attempts until one answers or no more are allowed."""
        connect_failures = 0
        while True:
            estimate = self._choose(job)
            if estimate is None:
                if job.failed_answer is None or job.caller.has_begun:
                    self._refuse_unplaced(job)
                return await self._deliver_failure(job)
            if not job.sends and job.traits.model:
                self._check_admission(job, estimate)
            job.sending = self._sending(job, estimate)
            job.sent_ms = self._clock.now_ms()
            outcome = await self._sender.run(job, estimate, job.sending)
            state = estimate.state
            result = outcome.result
            if result is not attempts.Result.NOT_SENT:
                job.sends += 1
            if result is attempts.Result.DONE:
                state.succeeded()
                return outcome
            self._log_attempt(job, outcome)
            job.tried.add(state.target.key)
            if result is attempts.Result.NOT_SENT:
                state.failed(self._clock.now_ms())
                connect_failures += 1
                if connect_failures >= MAX_CONNECT_FAILURES:
                    self._give_up(job, outcome)
                continue
            if result in (attempts.Result.BROKEN, attempts.Result.CUT):
                state.failed(self._clock.now_ms())
            if not self._may_send_again(job, outcome):
                if job.failed_answer is not None and not job.caller.has_begun:
                    return await self._deliver_failure(job)
                self._give_up(job, outcome)

    async def _deliver_failure(self, job: jobs.Job) -> attempts.Outcome:
        """Hands on the failure of a target that ran the request."""
        assert job.failed_answer is not None
        await attempts.deliver(job, self._sender, job.failed_answer)
        return attempts.Outcome(
            attempts.Result.FAILED, job.failed_answer.status
        )

    def _check_admission(
        self, job: jobs.Job, estimate: choice.Estimate
    ) -> None:
        """Refuses a request for which the queue is too long."""
        rejection = self._admission.check(
            estimate,
            job.route.objective_ms,
            job.route.priority,
            self._clock.now_ms(),
        )
        if rejection is not None:
            raise refusals.RefusalError(
                refusals.Reason.OVERLOADED,
                f"a queue of {rejection.queue_ms:.0f} ms"
                f", {rejection.mean_queue_ms:.0f} ms on average",
                rejection.retry_after_ms,
            )

    def _refuse_unplaced(self, job: jobs.Job) -> None:
        """Raises what the caller gets when no target is left."""
        if job.caller.has_begun:
            raise refusals.AnswerCutError("no other target")
        if job.may_have_run:
            raise refusals.RefusalError(refusals.Reason.BROKEN)
        raise refusals.RefusalError(
            refusals.Reason.NO_TARGET,
            job.service.name,
            self._retry_after_ms(job),
        )

    def _choose(self, job: jobs.Job) -> choice.Estimate | None:
        estimate = choice.choose(
            self.registry.of_service(job.service.name),
            job.work,
            self._settings.choice,
            self._failure_domain,
            job.tried,
            self._clock.now_ms(),
            self._random,
            self._sender.connected(),
        )
        if estimate is None:
            return None
        job.target_id = estimate.state.target.target_id
        job.cost_ms = estimate.cost_ms
        job.wait_ms = estimate.wait_ms
        job.unread_tokens = estimate.unread_tokens
        job.load = estimate.state.describe(self._clock.now_ms())
        return estimate

    def _sending(self, job: jobs.Job, estimate: choice.Estimate) -> api.Sending:
        target = estimate.state.target
        version = target.version_by_model.get(job.traits.model, 0)
        scope = str(version) if job.traits.model else ""
        team = job.team
        if team is not None and team.is_isolated and scope:
            scope = f"{scope}.{team.name}"
        sending = api.Sending(
            target_id=target.target_id,
            left_ms=self._sender.left_ms(job),
            team=team.name if team is not None else "",
            priority=job.priority if job.traits.model else None,
            cache_scope=scope,
            weights_version=version,
            last_event_id=job.last_event_id,
        )
        if self._is_version_doubtful(job, estimate):
            # any weights will do, and no other request uses what it leaves
            job.shared_parts = shared_parts.Plan()
            return dataclasses.replace(
                sending, cache_scope=job.traits.request_id, weights_version=0
            )
        plan = shared_parts.plan(
            self.registry.of_service(job.service.name),
            self.registry.stores(),
            estimate.state,
            job.work,
            self._clock.now_ms(),
        )
        job.shared_parts = plan
        return dataclasses.replace(
            sending,
            fetch_from=_address(plan.fetch_from),
            save_to=_address(plan.store) if plan.saves else "",
        )

    def _is_version_doubtful(
        self, job: jobs.Job, estimate: choice.Estimate
    ) -> bool:
        """Returns whether a last send could be refused for its weights."""
        if job.sends + 1 < job.route.max_sends or not job.traits.model:
            return False
        state = estimate.state
        return state.target.is_held or state.is_version_doubtful

    def _may_send_again(self, job: jobs.Job, outcome: attempts.Outcome) -> bool:
        if outcome.result is attempts.Result.TIMEOUT:
            return False
        if outcome.result is not attempts.Result.NOT_RUN:
            job.may_have_run = True
            if not job.may_repeat:
                return False
        if job.caller.has_begun and not job.route.is_resumable:
            return False
        if job.sends >= job.route.max_sends or self._sender.left_ms(job) <= 0:
            return False
        if not self._window(job.service.name).spend():
            self._counters.increment("second_send.over_budget")
            return False
        self._counters.retry(outcome.result.value)
        return True

    def _give_up(self, job: jobs.Job, outcome: attempts.Outcome) -> None:
        """Raises what the caller gets after the last attempt."""
        if job.caller.has_begun:
            raise refusals.AnswerCutError(outcome.detail)
        match outcome.result:
            case attempts.Result.TIMEOUT:
                reason = refusals.Reason.TIMEOUT
            case attempts.Result.NOT_RUN | attempts.Result.NOT_SENT:
                reason = refusals.Reason.TARGETS_FULL
                if outcome.result is attempts.Result.NOT_SENT:
                    reason = refusals.Reason.UNREACHABLE
                if job.may_have_run:
                    reason = refusals.Reason.BROKEN
            case _:
                reason = refusals.Reason.BROKEN
        raise refusals.RefusalError(
            reason, outcome.detail, self._retry_after_ms(job)
        )

    def _retry_after_ms(self, job: jobs.Job) -> float:
        """Returns when a caller is to come back: once a target may take it."""
        now_ms = self._clock.now_ms()
        spared_ms = [
            max(0.0, state.spared_until_ms - now_ms)
            for state in self.registry.of_service(job.service.name)
            if not state.is_leaving
        ]
        least_ms = max(FIRST_RETRY_AFTER_MS, min(spared_ms, default=0.0))
        return least_ms * self._random.uniform(0.7, 1.3)

    def _window(self, service: str) -> window.SendWindow:
        found = self._window_by_service.get(service)
        if found is None:
            found = window.SendWindow(self._settings.second_sends, self._clock)
            found.sharers = self._sharers
            self._window_by_service[service] = found
        return found

    def _log_attempt(self, job: jobs.Job, outcome: attempts.Outcome) -> None:
        self._counters.increment(f"attempt.{outcome.result.value}")
        _LOG.event(
            "attempt",
            id=job.traits.request_id,
            target=job.target_id,
            result=outcome.result.value,
            status=outcome.status,
            sends=job.sends,
            detail=outcome.detail[:120],
        )

    def _account(self, job: jobs.Job, outcome: str, reason: str) -> None:
        now_ms = self._clock.now_ms()
        first_ms = 0.0
        if job.first_byte_ms:
            first_ms = job.first_byte_ms - job.arrived_ms
            self._times.observe("first_byte", job.route.name, first_ms)
        total_ms = now_ms - job.arrived_ms
        self._times.observe("total", job.route.name, total_ms)
        self._counters.increment(f"request.{outcome}")
        sending = job.sending
        _LOG.event(
            "request",
            id=job.traits.request_id,
            route=job.route.name,
            team=job.team.name if job.team is not None else "",
            target=job.target_id,
            sends=job.sends,
            outcome=outcome,
            reason=reason[:120],
            cost_ms=round(job.cost_ms),
            wait_ms=round(job.wait_ms),
            prefix=f"{job.work.affinity_key:016x}",
            load=job.load,
            shared=job.work.shared_tokens,
            unread=job.unread_tokens,
            weights=sending.weights_version if sending else 0,
            fetch=sending.fetch_from if sending else "",
            save=sending.save_to if sending else "",
            sent_ms=round(job.sent_ms - job.arrived_ms),
            first_ms=round(first_ms),
            total_ms=round(total_ms),
            view=self._view.revision(),
        )


def _address(state: target_state.TargetState | None) -> str:
    if state is None:
        return ""
    return f"{state.target.ip}:{state.target.port}"


__all__ = ["ForwardSettings", "Forwarder"]
