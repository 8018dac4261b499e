"""Forwards requests to targets, with retries, until they are answered."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from typing import TYPE_CHECKING

from lycheering.forward import api
from lycheering.forward import attempt as attempts
from lycheering.forward import intake as intakes
from lycheering.forward import pending_request
from lycheering.forward import prefix_transfer
from lycheering.forward import refusals
from lycheering.forward import room_gate
from lycheering.forward import target_selection
from lycheering.limits import room as rooms
from lycheering.retries import crash_ledger
from lycheering.retries import second_send_window
from lycheering.streams import stream_versions
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import view_holder
    from lycheering.forward import allowance_gate
    from lycheering.forward import caller as callers
    from lycheering.forward import crash_detector
    from lycheering.forward import target_state
    from lycheering.retries import prompt_quarantine
    from lycheering.telemetry import counters
    from lycheering.telemetry import histograms

# failed connects for one request, which do not count as sends
MAX_CONNECT_FAILURES = 3
# refused connections cost little time, and many targets may crash at once
MAX_REFUSED_CONNECTS = 30
MIN_RETRY_AFTER_MS = 300.0
MAX_RETRY_JITTER = 1.5
# other entries can take the request at once
STOPPING_RETRY_AFTER_MS = 50.0
# another entry may know the version of a stream
VERSION_RETRY_AFTER_MS = 200.0
# Waits for targets end at the deadline by themselves. Only a caller that does
# not read its answer keeps a request open for this long after the deadline.
DEADLINE_SLACK_MS = 200.0

MAX_LOGGED_PARTS = 16
MAX_LOGGED_KEY = 32

_LOG = logs.get("forward")


@dataclasses.dataclass(frozen=True)
class ForwardSettings:
    """Settings of the forwarder.

    Attributes:
        selection: Cost terms of target selection.
        second_sends: Retry budget: limit on second sends to a service.
        room: How room at engines is given while it is short.
    """

    selection: target_selection.SelectionSettings
    second_sends: second_send_window.SecondSendSettings
    room: rooms.RoomSettings = rooms.RoomSettings()


class Forwarder:
    """Selects a target for each request and makes attempts.

    Attributes:
        registry: The states of all targets.
        stops_at_ms: Time at which the entry stops; infinite while it is not
            known.
    """

    def __init__(
        self,
        settings: ForwardSettings,
        view: view_holder.ViewHolder,
        intake: intakes.RequestIntake,
        attempt_runner: attempts.AttemptRunner,
        detector: crash_detector.CrashDetector,
        quarantine: prompt_quarantine.PromptQuarantine,
        failure_domain: str,
        time: clock.Clock,
        counts: counters.Counters,
        times: histograms.Histograms,
        allowances: allowance_gate.AllowanceGate | None = None,
    ) -> None:
        """Creates a forwarder.

        Args:
            settings: Its settings.
            view: The fleet view in force.
            intake: Accepts incoming requests.
            attempt_runner: Makes the attempts.
            detector: Detects crashes of targets.
            quarantine: The prompts that crash targets.
            failure_domain: Failure domain of this entry.
            time: The clock.
            counts: The counters of the process.
            times: The latency histograms of the process.
            allowances: Charges requests to the allowances of their teams;
                None if teams have none.
        """
        self._allowances = allowances
        self.registry = attempt_runner.registry
        self.stops_at_ms = math.inf
        self._intake = intake
        self._settings = settings
        self._view = view
        self._attempt_runner = attempt_runner
        self._crash_detector = detector
        self._quarantine = quarantine
        self._failure_domain = failure_domain
        self._clock = time
        self._counters = counts
        self._times = times
        self._rng = random.Random()
        self._room = room_gate.RoomGate(settings.room, time, self._rng, counts)
        self._second_send_limiter_by_service: dict[
            str, second_send_window.SecondSendLimiter
        ] = {}
        self._entry_count = 1
        self._open_requests: dict[int, pending_request.PendingRequest] = {}
        quarantine.on_quarantined = self._withdraw_requests

    def set_entry_count(self, entry_count: int) -> None:
        """Sets the number of entries that share the retry budget."""
        self._entry_count = entry_count
        self._quarantine.entry_count = entry_count
        for limiter in self._second_send_limiter_by_service.values():
            limiter.process_count = entry_count

    async def forward(
        self, incoming: intakes.IncomingRequest, caller: callers.Caller
    ) -> None:
        """Answers one request.

        Raises:
            RefusalError: If the request is refused.
            CallerGoneError: If the caller disconnected.
            AnswerCutError: If the answer can't be completed.
        """
        request = await self._intake.accept(incoming, caller)
        if request.deadline_ms > self.stops_at_ms:
            raise refusals.RefusalError(
                refusals.Reason.STOPPING,
                "the entry stops before the deadline of the request",
                STOPPING_RETRY_AFTER_MS,
            )
        caller.watch_disconnect()
        self._open_requests[id(request)] = request
        self._second_send_limiter(request.service.name).count_request()
        self._room.record_arrival(request)
        self.registry.rate_reporter.count_request()
        outcome = "refused"
        reason = ""
        try:
            if self._allowances is not None:
                await self._allowances.admit(request)
            result = await self._send_before_deadline(request)
            outcome, reason = result.result.value, result.detail
        except refusals.RefusalError as refusal:
            reason = refusal.reason.value
            if refusal.is_not_run:
                self._refund(request)
            raise
        except refusals.CallerGoneError:
            outcome = "caller_gone"
            if not request.last_sent_ms:
                self._refund(request)
            raise
        except refusals.AnswerCutError as error:
            outcome, reason = "cut", str(error)
            raise
        finally:
            caller.close()
            self._room.leave(request)
            del self._open_requests[id(request)]
            self._record_request(request, outcome, reason)

    def _refund(self, request: pending_request.PendingRequest) -> None:
        if self._allowances is not None:
            self._allowances.refund(request)

    async def _send_before_deadline(
        self, request: pending_request.PendingRequest
    ) -> attempts.Outcome:
        """Sends a request and ends the exchange if its caller stops reading.

        Each wait for a target ends at the deadline, but a write to the caller
        has no timeout of its own.
        """
        timeout_ms = (
            self._attempt_runner.remaining_ms(request) + DEADLINE_SLACK_MS
        )
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._send(request)
        except TimeoutError as error:
            if request.caller.has_begun:
                raise refusals.AnswerCutError(
                    "caller did not read the answer before the deadline"
                ) from error
            raise refusals.RefusalError(refusals.Reason.TIMEOUT) from error

    async def _send(
        self, request: pending_request.PendingRequest
    ) -> attempts.Outcome:
        """Makes attempts until one succeeds or no more are allowed."""
        await self._bind_to_version(request)
        connect_failures = 0
        refused_connects = 0
        while True:
            self._check_quarantine(request)
            self._intake.update_cache_scope(request)
            estimate = self._select_target(request)
            if estimate is None:
                if self._may_end_unproven(request):
                    return await self._end_unproven(request)
                if request.failed_answer is None or request.caller.has_begun:
                    self._refuse_without_target(request)
                return await self._send_failed_answer(request)
            is_first_send = not request.send_count and request.metadata.model
            if is_first_send and not await self._room.admit(request, estimate):
                continue
            request.send_options = self._send_options(request, estimate)
            request.last_sent_ms = self._clock.now_ms()
            outcome = await self._attempt_runner.run(
                request, estimate, request.send_options
            )
            state = estimate.state
            result = outcome.result
            if result is not attempts.Result.NOT_SENT:
                request.send_count += 1
            if result is attempts.Result.DONE:
                state.record_success()
                return outcome
            self._log_attempt(request, outcome)
            if request.withdrawal:
                self._refuse_withdrawn(request)
            request.tried_keys.add(state.target.key)
            if result is attempts.Result.NOT_SENT:
                state.record_failure(self._clock.now_ms())
                refused_connects += outcome.is_connect_refused
                connect_failures += not outcome.is_connect_refused
                if (
                    connect_failures >= MAX_CONNECT_FAILURES
                    or refused_connects >= MAX_REFUSED_CONNECTS
                ):
                    self._refuse_after_attempt(request, outcome)
                continue
            if result in attempts.BROKEN_RESULTS:
                self._crash_detector.record_broken(state, request)
                state.record_failure(self._clock.now_ms())
                if result is attempts.Result.INVALID:
                    state.record_broken_off(self._clock.now_ms())
            if not self._may_retry(request, outcome):
                if self._may_end_unproven(request):
                    return await self._end_unproven(request)
                if (
                    request.failed_answer is not None
                    and not request.caller.has_begun
                ):
                    return await self._send_failed_answer(request)
                self._refuse_after_attempt(request, outcome)
            if self._quarantine.next_crash_quarantines(request.fingerprint):
                await self._crash_detector.wait_for_verdict(state)

    async def _bind_to_version(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Binds a request that takes a stream up to the stream's version.

        Raises:
            RefusalError: If that version can't be told.
        """
        metadata = request.metadata
        if not metadata.last_event_id or not request.route.resumes_streams:
            return
        try:
            request.bound_version = await self._attempt_runner.streams.find(
                metadata.resumed_id, request.service.name
            )
        except stream_versions.VersionUnavailableError as error:
            # the caller may reach an entry that is in touch with the leader
            raise refusals.RefusalError(
                refusals.Reason.STREAM_VERSION_UNKNOWN,
                "the software version that began the stream can't be told now",
                VERSION_RETRY_AFTER_MS,
            ) from error
        if request.bound_version is None:
            raise refusals.RefusalError(
                refusals.Reason.STREAM_VERSION_UNKNOWN,
                "the software version that began the stream is not known",
            )

    def _check_quarantine(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Refuses a request that crashes targets, or a part of its prompt."""
        quarantine = self._quarantine.find(
            crash_ledger.part_keys(request.shared_part_keys),
            request.fingerprint,
        )
        if quarantine is None:
            return
        detail = quarantine.reason
        if request.caller.has_begun:
            raise refusals.AnswerCutError(detail)
        if request.may_have_run:
            raise refusals.RefusalError(refusals.Reason.BROKEN, detail)
        raise refusals.RefusalError(
            refusals.Reason.QUARANTINED,
            detail,
            self._quarantine.retry_after_ms(quarantine),
        )

    def _withdraw_requests(self, key: str) -> None:
        """Ends the exchanges of prompts that crash targets.

        A target that has begun to answer may as well finish.

        Args:
            key: Key of a prompt part, or fingerprint of a request.
        """
        for request in list(self._open_requests.values()):
            progress = request.progress
            if (
                request.abort_exchange is None
                or progress is None
                or progress.answer is not attempts.AnswerProgress.NONE
            ):
                continue
            if key == request.fingerprint:
                request.withdrawal = "the request crashes targets"
            elif key in crash_ledger.part_keys(request.shared_part_keys):
                request.withdrawal = f"part {key} of the prompt crashes targets"
            else:
                continue
            request.abort_exchange()
            self._counters.increment("quarantine.withdrawn")

    def _refuse_withdrawn(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Raises the error of a request whose exchange this entry ended."""
        if request.caller.has_begun:
            raise refusals.AnswerCutError(request.withdrawal)
        raise refusals.RefusalError(
            refusals.Reason.WITHDRAWN, request.withdrawal
        )

    async def _send_failed_answer(
        self, request: pending_request.PendingRequest
    ) -> attempts.Outcome:
        """Sends the caller the answer of a target that ran and failed."""
        assert request.failed_answer is not None
        await attempts.send_buffered_answer(
            request, self._attempt_runner, request.failed_answer
        )
        return attempts.Outcome(
            attempts.Result.FAILED, request.failed_answer.status
        )

    def _may_end_unproven(
        self, request: pending_request.PendingRequest
    ) -> bool:
        """Returns whether an answer may end although its end is not proven.

        It may if its caller is told no more than that.
        """
        return (
            request.has_unproven_end and not request.caller.may_claim_complete
        )

    async def _end_unproven(
        self, request: pending_request.PendingRequest
    ) -> attempts.Outcome:
        await request.caller.finish()
        return attempts.Outcome(attempts.Result.UNPROVEN)

    def _refuse_without_target(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Raises the error of a request for which no target is left."""
        if request.caller.has_begun:
            raise refusals.AnswerCutError("no other target is available")
        if request.may_have_run:
            raise refusals.RefusalError(refusals.Reason.BROKEN)
        candidates = self._candidates(request)
        if request.bound_version is not None and not candidates:
            raise refusals.RefusalError(
                refusals.Reason.STREAM_VERSION_GONE,
                f"no target has the software version {request.bound_version}"
                " that began the stream",
            )
        now_ms = self._clock.now_ms()
        limited = [
            state for state in candidates if not state.rate.allows_send(now_ms)
        ]
        if limited:
            self._counters.increment("rate_limit.refused")
            retry_ms = self.registry.rate_reporter.retry_after_ms()
            raise refusals.RefusalError(
                refusals.Reason.RATE_LIMITED,
                f"{len(limited)} targets name a rate limit, and this entry has"
                f" no permit left: {limited[0].rate.describe(now_ms)}",
                retry_ms * self._rng.uniform(1.0, MAX_RETRY_JITTER),
            )
        raise refusals.RefusalError(
            refusals.Reason.NO_TARGET,
            request.service.name,
            self._retry_after_ms(request),
        )

    def _candidates(
        self, request: pending_request.PendingRequest
    ) -> list[target_state.TargetState]:
        """Returns the targets at which a request may begin or go on."""
        states = self.registry.live_targets(request.service.name)
        if request.bound_version is None:
            return states
        return [
            state
            for state in states
            if state.target.software_version == request.bound_version
        ]

    def _select_target(
        self, request: pending_request.PendingRequest
    ) -> target_selection.Estimate | None:
        estimate = target_selection.select_target(
            self._candidates(request),
            request.profile,
            self._settings.selection,
            self._failure_domain,
            request.tried_keys,
            self._clock.now_ms(),
            self._rng,
            self._attempt_runner.connected_keys(),
        )
        if estimate is None:
            return None
        request.target_id = estimate.state.target.target_id
        request.target_version = estimate.state.target.software_version
        request.cost_ms = estimate.cost_ms
        request.wait_ms = estimate.wait_ms
        request.uncached_tokens = estimate.uncached_tokens
        self.registry.record_selection(
            request.service.name, estimate.uncached_tokens
        )
        now_ms = self._clock.now_ms()
        request.load_description = estimate.state.describe_load(now_ms)
        request.limit_description = estimate.state.rate.describe(now_ms)
        return estimate

    def _send_options(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
    ) -> api.SendOptions:
        target = estimate.state.target
        version = target.version_by_model.get(request.metadata.model, 0)
        team = request.team
        # the table may have changed since the target was selected
        self._intake.update_cache_scope(request)
        scope = ""
        if request.metadata.model:
            scope = f"{version}{request.cache_scope}"
        send_options = api.SendOptions(
            target_id=target.target_id,
            remaining_ms=self._attempt_runner.remaining_ms(request),
            team=team.name if team is not None else "",
            priority=request.priority if request.metadata.model else None,
            cache_scope=scope,
            weights_version=version,
            last_event_id=request.last_event_id,
        )
        if self._may_mismatch_version(request, estimate):
            # Any weights version is accepted. The request id as cache scope
            # keeps other requests from using its cache entries.
            request.transfer_plan = prefix_transfer.TransferPlan()
            return dataclasses.replace(
                send_options,
                cache_scope=f"request:{request.metadata.request_id}",
                weights_version=0,
            )
        plan = prefix_transfer.plan_transfer(
            self.registry.live_targets(request.service.name),
            self.registry.stores(),
            estimate.state,
            request.profile,
            self._clock.now_ms(),
        )
        request.transfer_plan = plan
        return dataclasses.replace(
            send_options,
            fetch_from=_address(plan.fetch_from),
            save_to=_address(plan.store) if plan.is_saved else "",
        )

    def _may_mismatch_version(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
    ) -> bool:
        """Returns whether the last send could fail for the weights version."""
        if (
            request.send_count + 1 < request.route.max_sends
            or not request.metadata.model
        ):
            return False
        state = estimate.state
        return state.target.is_held or state.has_version_mismatch

    def _may_retry(
        self,
        request: pending_request.PendingRequest,
        outcome: attempts.Outcome,
    ) -> bool:
        if outcome.result is attempts.Result.TIMEOUT:
            return False
        if outcome.result is not attempts.Result.NOT_RUN:
            request.may_have_run = True
            if not request.is_repeatable:
                return False
        if request.caller.has_begun and not request.route.resumes_streams:
            return False
        if (
            request.send_count >= request.route.max_sends
            or self._attempt_runner.remaining_ms(request) <= 0
        ):
            return False
        if not self._second_send_limiter(request.service.name).try_spend():
            self._counters.increment("second_send.over_budget")
            return False
        if (
            outcome.result is not attempts.Result.NOT_RUN
            and self._allowances is not None
            and not self._allowances.admit_repeat(request)
        ):
            return False
        self._counters.count_retry(outcome.result.value)
        return True

    def _refuse_after_attempt(
        self,
        request: pending_request.PendingRequest,
        outcome: attempts.Outcome,
    ) -> None:
        """Raises the error of a request whose last attempt failed."""
        if request.caller.has_begun:
            raise refusals.AnswerCutError(outcome.detail)
        match outcome.result:
            case attempts.Result.TIMEOUT:
                reason = refusals.Reason.TIMEOUT
            case attempts.Result.NOT_RUN | attempts.Result.NOT_SENT:
                reason = refusals.Reason.TARGETS_FULL
                if outcome.result is attempts.Result.NOT_SENT:
                    reason = refusals.Reason.UNREACHABLE
                if request.may_have_run:
                    reason = refusals.Reason.BROKEN
            case _:
                reason = refusals.Reason.BROKEN
        raise refusals.RefusalError(
            reason, outcome.detail, self._retry_after_ms(request)
        )

    def _retry_after_ms(self, request: pending_request.PendingRequest) -> float:
        """Returns a retry delay that lasts until a target ends its back-off."""
        now_ms = self._clock.now_ms()
        back_offs_ms = [
            max(0.0, state.back_off_until_ms - now_ms)
            for state in self.registry.live_targets(request.service.name)
            if not state.is_shutting_down
        ]
        retry_ms = max(MIN_RETRY_AFTER_MS, min(back_offs_ms, default=0.0))
        return retry_ms * self._rng.uniform(0.7, 1.3)

    def _second_send_limiter(
        self, service: str
    ) -> second_send_window.SecondSendLimiter:
        limiter = self._second_send_limiter_by_service.get(service)
        if limiter is None:
            limiter = second_send_window.SecondSendLimiter(
                self._settings.second_sends, self._clock
            )
            limiter.process_count = self._entry_count
            self._second_send_limiter_by_service[service] = limiter
        return limiter

    def _log_attempt(
        self,
        request: pending_request.PendingRequest,
        outcome: attempts.Outcome,
    ) -> None:
        self._counters.increment(f"attempt.{outcome.result.value}")
        now_ms = self._clock.now_ms()
        progress = request.progress
        _LOG.event(
            "attempt",
            id=request.metadata.request_id,
            target=request.target_id,
            version=request.target_version,
            result=outcome.result.value,
            status=outcome.status,
            sends=request.send_count,
            detail=outcome.detail[:120],
            answer=progress.answer.value if progress else "none",
            events=progress.events if progress else 0,
            age_ms=round(now_ms - progress.sent_ms) if progress else 0,
            answering_ms=(
                round(now_ms - progress.body_ms)
                if progress and progress.body_ms
                else 0
            ),
            shared_parts=",".join(
                key[:MAX_LOGGED_KEY]
                for key in request.shared_part_keys[:MAX_LOGGED_PARTS]
            ),
        )

    def _record_request(
        self, request: pending_request.PendingRequest, outcome: str, reason: str
    ) -> None:
        now_ms = self._clock.now_ms()
        first_byte_ms = 0.0
        if request.first_byte_ms:
            first_byte_ms = request.first_byte_ms - request.arrived_ms
            self._times.observe("first_byte", request.route.name, first_byte_ms)
        total_ms = now_ms - request.arrived_ms
        self._times.observe("total", request.route.name, total_ms)
        self._counters.increment(f"request.{outcome}")
        send_options = request.send_options
        _LOG.event(
            "request",
            id=request.metadata.request_id,
            route=request.route.name,
            team=request.team.name if request.team is not None else "",
            target=request.target_id,
            sends=request.send_count,
            outcome=outcome,
            reason=reason[:120],
            cost_ms=round(request.cost_ms),
            wait_ms=round(request.wait_ms),
            rank=request.rank,
            has_returned=request.has_returned,
            caller_timeout_ms=round(request.metadata.caller_timeout_ms or 0),
            prefix=f"{request.profile.affinity_key:016x}",
            load=request.load_description,
            limit=request.limit_description,
            shared_tokens=request.profile.shared_tokens,
            uncached_tokens=request.uncached_tokens,
            resumes=request.metadata.resumed_id,
            after_event=request.metadata.last_event_id,
            allowance=(
                request.allowance_charge.amount
                if request.allowance_charge is not None
                else 0
            ),
            allowance_wait_ms=round(request.allowance_wait_ms),
            bound_to=request.bound_version or "",
            version=request.target_version,
            weights=send_options.weights_version if send_options else 0,
            fetch_from=send_options.fetch_from if send_options else "",
            save_to=send_options.save_to if send_options else "",
            sent_ms=round(request.last_sent_ms - request.arrived_ms),
            first_byte_ms=round(first_byte_ms),
            longest_gap_ms=round(request.longest_gap_ms),
            total_ms=round(total_ms),
            view=self._view.revision(),
        )


def _address(state: target_state.TargetState | None) -> str:
    if state is None:
        return ""
    return f"{state.target.ip}:{state.target.port}"


__all__ = ["ForwardSettings", "Forwarder"]
