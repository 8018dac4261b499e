"""Runs repeatable requests, with retries on other targets."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from lycheering.entry import attempt as attempts
from lycheering.entry import attempt_errors
from lycheering.entry import cache_inquiries
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.fleet import view as fleet_view
from lycheering.retries import request_retries
from lycheering.retries import retry_budget
from lycheering.routing import api as routing_api
from lycheering.routing import router as routers
from lycheering.telemetry import logs
from lycheering.wire import api as wire_api
from lycheering.wire import byte_budget
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Collection

    from lycheering.entry import job as jobs
    from lycheering.fleet import records

    _Failure = target_access.NotRunError | attempt_errors.BrokenError

_LOG = logs.get("dispatch")


def options_subject(job: jobs.Job) -> fleet_view.Subject:
    """Returns the subject by which options of a request are looked up."""
    return fleet_view.Subject(
        team=job.team,
        service=job.requirement.service,
        model=job.requirement.model,
    )


def new_request_retries(
    targets: target_access.TargetAccess,
    job: jobs.Job,
    budget: retry_budget.RetryBudget,
) -> request_retries.RequestRetries:
    """Adds a new request to the retry budget and returns its retries."""
    fleet = targets.view.fleet
    subject = options_subject(job)
    budget.add_first_attempt(fleet.number("retry.budget_ratio", subject))
    max_attempts = fleet.integer("retry.max_attempts", subject)
    return request_retries.RequestRetries(budget, max_attempts)


async def choose_target(
    targets: target_access.TargetAccess,
    job: jobs.Job,
    attempt_number: int,
    tried: Collection[str],
) -> routers.RoutingDecision:
    """Chooses the target of an attempt.

    Args:
        targets: The access to targets.
        job: The request.
        attempt_number: Counts the attempts of the request from 1.
        tried: The names of targets whose attempts failed.

    Raises:
        RefusalError: If no target can serve the request.
    """
    fleet = targets.view.fleet
    subject = options_subject(job)
    query = routing_api.Query(
        job.request_id,
        job.caller_request_id,
        job.levels,
        fleet.number("routing.reuse_weight", subject),
        fleet.integer("routing.candidates", subject),
        fleet.integer("routing.max_width", subject),
        team=job.team,
        team_weight=fleet.number("limits.team_share", subject),
    )
    are_loads_updated = update_loads(targets, job.requirement)
    policy = fleet.text("routing.policy", subject)
    ask_ms = fleet.integer("routing.ask_ms", subject)
    candidates = targets.router.inquiry_candidates(
        job.requirement, query, policy
    )
    if not are_loads_updated:
        _update_loads_of(targets, candidates)
    if ask_ms and len(candidates) > 1:
        cache_state_by_target = await cache_inquiries.query_agents(
            targets, candidates, job, ask_ms
        )
        query = dataclasses.replace(
            query, cache_state_by_target=cache_state_by_target
        )
        if targets.budget.is_large_fleet and cache_state_by_target:
            # a target that was not asked reports no queue, so it would look
            # idle next to those that answered
            candidate_count = min(
                query.max_candidates, len(cache_state_by_target)
            )
            query = dataclasses.replace(query, max_candidates=candidate_count)
    try:
        return targets.router.choose(
            job.requirement,
            query,
            policy=policy,
            attempt=attempt_number,
            tried_targets=tried,
            is_usable=targets.is_usable,
        )
    except routers.NoTargetError as error:
        raise refusals.RefusalError(
            messages.Reason.NO_TARGET,
            f"no live target for {error}",
            not_run=attempt_number == 1,
        ) from error


def update_loads(
    targets: target_access.TargetAccess, requirement: routers.TargetRequirement
) -> bool:
    """Updates the router with the latest load reports of all candidates.

    Returns:
        False if there are too many candidates to do so for each request.
    """
    candidates = targets.router.targets(requirement)
    if len(candidates) > byte_budget.MAX_SMALL_FLEET_TARGETS:
        return False
    _update_loads_of(targets, candidates)
    return True


def _update_loads_of(
    targets: target_access.TargetAccess, candidates: Collection[records.Target]
) -> None:
    for target in candidates:
        address = wire_api.agent_address(target)
        connection = targets.connections.find(address)
        if connection is not None:
            targets.router.target_loads.store_report(
                target.name, connection.peer_load, connection.peer_load_at_ms
            )


class Dispatcher:
    """Runs requests that may be retried."""

    def __init__(
        self,
        targets: target_access.TargetAccess,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self._targets = targets
        self._budget = budget

    async def run(self, job: jobs.Job, sink: sinks.Sink) -> None:
        """Runs a request until its answer is complete.

        Args:
            job: The request.
            sink: Receives the answer.

        Raises:
            RefusalError: If no attempt completes the answer.
            StalledError: If the caller stops reading.
        """
        retries = new_request_retries(self._targets, job, self._budget)
        tried: list[str] = []
        may_have_run = False
        for attempt_number in itertools.count(1):
            try:
                self._check_quarantine(job)
                decision = await choose_target(
                    self._targets, job, attempt_number, tried
                )
            except refusals.RefusalError as error:
                error.not_run = not may_have_run
                raise
            name = decision.target.name
            failure = await self._run_attempt(
                job, attempt_number, decision, sink
            )
            if failure is None:
                return
            # the frame was lost, but the agent replies again, so it is no
            # worse a choice than before
            if not isinstance(failure, target_access.LostFrameError):
                tried.append(name)
            may_have_run |= isinstance(failure, attempt_errors.BrokenError)
            self._prepare_retry(job, sink, failure, may_have_run)
            self._check_retry_allowed(job, failure, may_have_run, retries)
            await self._targets.clock.sleep(
                retry_budget.backoff_ms(attempt_number)
            )
            self._record_retry(job, failure, name, attempt_number)

    def _check_quarantine(self, job: jobs.Job) -> None:
        """Refuses a request that crashes targets, or a level of its prompt."""
        quarantine = self._targets.quarantine.find(
            job.levels.inquiry_keys, job.fingerprint
        )
        if quarantine is not None:
            raise refusals.RefusalError(
                messages.Reason.QUARANTINED,
                quarantine.reason,
                not_run=True,
                retry_after_ms=self._targets.quarantine.retry_after_ms(
                    quarantine
                ),
            )

    async def _run_attempt(
        self,
        job: jobs.Job,
        attempt_number: int,
        decision: routers.RoutingDecision,
        sink: sinks.Sink,
    ) -> _Failure | None:
        """Runs one attempt.

        Returns:
            The failure if a retry is possible, or None on success.

        Raises:
            RefusalError: If no retry is possible.
        """
        name = decision.target.name
        try:
            await attempts.Attempt(
                self._targets, job, attempt_number, decision, sink
            ).run()
        except target_access.LostFrameError as error:
            return error
        except target_access.NotRunError as error:
            if error.reason is messages.Reason.UNREACHABLE:
                self._targets.circuit_breakers.record_failure(name)
            return error
        except attempt_errors.BrokenError as error:
            self._targets.circuit_breakers.record_failure(name)
            return error
        except attempt_errors.OverdueError as error:
            raise refusals.RefusalError(
                messages.Reason.DEADLINE,
                "the answer was not complete by the deadline",
                not_run=False,
            ) from error
        except sinks.AnswerTooLargeError as error:
            raise refusals.RefusalError(
                messages.Reason.TOO_LARGE, str(error), not_run=False
            ) from error
        return None

    def _prepare_retry(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        failure: _Failure,
        may_have_run: bool,
    ) -> None:
        if attempt_errors.is_pinned_to_target(job, sink):
            raise refusals.RefusalError(
                failure.reason,
                f"the answer was cut off after {sink.next_seq} chunks and"
                f" can't be continued on another target: {failure}",
                not_run=not may_have_run,
            )
        can_continue = job.deterministic and sink.is_event_stream
        if sink.next_seq and not can_continue:
            sink.reset()

    def _check_retry_allowed(
        self,
        job: jobs.Job,
        failure: _Failure,
        may_have_run: bool,
        retries: request_retries.RequestRetries,
    ) -> None:
        not_run = isinstance(failure, target_access.NotRunError)
        left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
        if left_ms > 0 and retries.try_take(failure.reason, not_run=not_run):
            return
        retry_after_ms = 0.0
        if isinstance(failure, target_access.NotRunError):
            retry_after_ms = failure.retry_after_ms
        if retries.is_budget_empty:
            self._targets.counters.increment("retry_budget.empty")
        raise refusals.RefusalError(
            failure.reason,
            str(failure) or failure.reason.value,
            not_run=not may_have_run,
            retry_after_ms=retry_after_ms,
        )

    def _record_retry(
        self,
        job: jobs.Job,
        failure: _Failure,
        target: str,
        attempt_number: int,
    ) -> None:
        self._targets.counters.count_retry(failure.reason)
        _LOG.event(
            "retry",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
            attempt=attempt_number,
            target=target,
            reason=failure.reason.value,
            detail=str(failure),
        )


__all__ = [
    "Dispatcher",
    "new_request_retries",
    "choose_target",
    "update_loads",
]
