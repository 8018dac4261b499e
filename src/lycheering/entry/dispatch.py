"""Gets a repeatable request answered, in one attempt or several."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from lycheering.entry import attempt as attempts
from lycheering.entry import cache_inquiries
from lycheering.entry import endings
from lycheering.entry import refusals
from lycheering.entry import sinks
from lycheering.entry import target_access
from lycheering.fleet import view as fleet_view
from lycheering.retries import allowance as allowances
from lycheering.retries import budget as budgets
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

    _Failure = target_access.NotRunError | endings.BrokenError

_LOG = logs.get("dispatch")


def subject_of(job: jobs.Job) -> fleet_view.Subject:
    """Returns the subject for options of a request."""
    return fleet_view.Subject(
        team=job.team, service=job.wanted.service, model=job.wanted.model
    )


def allow_retries(
    targets: target_access.Targets,
    job: jobs.Job,
    budget: budgets.RetryBudget,
) -> allowances.Allowance:
    """Returns the retries of a new request, which earns for the budget."""
    fleet = targets.view.fleet
    subject = subject_of(job)
    budget.earn(fleet.number("retry.budget_ratio", subject))
    max_attempts = fleet.integer("retry.max_attempts", subject)
    return allowances.Allowance(budget, max_attempts)


async def choose(
    targets: target_access.Targets,
    job: jobs.Job,
    number: int,
    tried: Collection[str],
) -> routers.Choice:
    """Chooses the target of an attempt.

    Raises:
        RefusalError: If no target may serve the request.
    """
    fleet = targets.view.fleet
    subject = subject_of(job)
    query = routing_api.Query(
        job.request_id,
        job.caller_request_id,
        job.levels,
        fleet.number("routing.reuse_weight", subject),
        fleet.integer("routing.candidates", subject),
        fleet.integer("routing.max_width", subject),
        team=job.team,
        team_share=fleet.number("limits.team_share", subject),
    )
    all_noted = note_loads(targets, job.wanted)
    policy = fleet.text("routing.policy", subject)
    ask_ms = fleet.integer("routing.ask_ms", subject)
    asked = targets.router.compared(job.wanted, query, policy)
    if not all_noted:
        _note_loads_of(targets, asked)
    if ask_ms and len(asked) > 1:
        seen_by_target = await cache_inquiries.ask(targets, asked, job, ask_ms)
        query = dataclasses.replace(query, seen_by_target=seen_by_target)
        if targets.budget.is_large and seen_by_target:
            # one that was not asked would look idle beside those that were
            compared = min(query.candidates, len(seen_by_target))
            query = dataclasses.replace(query, candidates=compared)
    try:
        return targets.router.choose(
            job.wanted,
            query,
            policy=policy,
            attempt=number,
            tried=tried,
            usable=targets.usable,
        )
    except routers.NoTargetError as error:
        raise refusals.RefusalError(
            messages.Reason.NO_TARGET,
            f"no live target for {error}",
            not_run=number == 1,
        ) from error


def note_loads(targets: target_access.Targets, wanted: routers.Wanted) -> bool:
    """Takes over what agents reported since the last choice.

    Returns:
        Whether it did, as the candidates are not too many.
    """
    candidates = targets.router.targets(wanted)
    if len(candidates) > byte_budget.MAX_SMALL_FLEET:
        return False
    _note_loads_of(targets, candidates)
    return True


def _note_loads_of(
    targets: target_access.Targets, candidates: Collection[records.Target]
) -> None:
    for target in candidates:
        address = wire_api.agent_address(target)
        connection = targets.connections.known(address)
        if connection is not None:
            targets.router.loads.report(
                target.name, connection.peer_load, connection.peer_load_at_ms
            )


class Dispatcher:
    """Runs requests that may be repeated."""

    def __init__(
        self, targets: target_access.Targets, budget: budgets.RetryBudget
    ) -> None:
        self._targets = targets
        self._budget = budget

    async def run(self, job: jobs.Job, sink: sinks.Sink) -> None:
        """Returns once the answer is whole.

        Args:
            job: The request.
            sink: Where the answer goes.

        Raises:
            RefusalError: If it can't be had.
            StalledError: If the caller reads nothing.
        """
        allowance = allow_retries(self._targets, job, self._budget)
        tried: list[str] = []
        may_have_run = False
        for number in itertools.count(1):
            try:
                choice = await choose(self._targets, job, number, tried)
            except refusals.RefusalError as error:
                error.not_run = not may_have_run
                raise
            name = choice.target.name
            failure = await self._try(job, number, choice, sink)
            if failure is None:
                return
            # an agent that lost a frame answers again, and is as good as before
            if not isinstance(failure, target_access.LostFrameError):
                tried.append(name)
            may_have_run |= isinstance(failure, endings.BrokenError)
            self._check_repeat(job, sink, failure, may_have_run)
            self._check_allowed(job, failure, may_have_run, allowance)
            await self._targets.clock.sleep(budgets.pause_ms(number))
            self._count(job, failure, name, number)

    async def _try(
        self,
        job: jobs.Job,
        number: int,
        choice: routers.Choice,
        sink: sinks.Sink,
    ) -> _Failure | None:
        """Makes one attempt.

        Returns:
            Why it failed, if another one may be made.

        Raises:
            RefusalError: If no other one may be made.
        """
        name = choice.target.name
        try:
            await attempts.Attempt(
                self._targets, job, number, choice, sink
            ).run()
        except target_access.LostFrameError as error:
            return error
        except target_access.NotRunError as error:
            if error.reason is messages.Reason.UNREACHABLE:
                self._targets.circuits.failed(name)
            return error
        except endings.BrokenError as error:
            self._targets.circuits.failed(name)
            return error
        except endings.OverdueError as error:
            raise refusals.RefusalError(
                messages.Reason.DEADLINE,
                "the answer was not whole by the deadline",
                not_run=False,
            ) from error
        except sinks.AnswerTooLargeError as error:
            raise refusals.RefusalError(
                messages.Reason.TOO_LARGE, str(error), not_run=False
            ) from error
        return None

    def _check_repeat(
        self,
        job: jobs.Job,
        sink: sinks.Sink,
        failure: _Failure,
        may_have_run: bool,
    ) -> None:
        if endings.is_bound(job, sink):
            raise refusals.RefusalError(
                failure.reason,
                f"the answer broke off after {sink.next_seq} chunks and can't"
                f" be continued elsewhere: {failure}",
                not_run=not may_have_run,
            )
        goes_on = job.deterministic and sink.is_event_stream
        if sink.next_seq and not goes_on:
            sink.restart()

    def _check_allowed(
        self,
        job: jobs.Job,
        failure: _Failure,
        may_have_run: bool,
        allowance: allowances.Allowance,
    ) -> None:
        not_run = isinstance(failure, target_access.NotRunError)
        left_ms = job.deadline_at_ms - self._targets.clock.now_ms()
        if left_ms > 0 and allowance.take(failure.reason, not_run=not_run):
            return
        retry_after_ms = 0.0
        if isinstance(failure, target_access.NotRunError):
            retry_after_ms = failure.retry_after_ms
        if allowance.budget_empty:
            self._targets.counters.increment("retry_budget.empty")
        raise refusals.RefusalError(
            failure.reason,
            str(failure) or failure.reason.value,
            not_run=not may_have_run,
            retry_after_ms=retry_after_ms,
        )

    def _count(
        self,
        job: jobs.Job,
        failure: _Failure,
        target: str,
        number: int,
    ) -> None:
        self._targets.counters.retry(failure.reason)
        _LOG.event(
            "retry",
            request_id=job.request_id,
            caller_request_id=job.caller_request_id,
            team=job.team,
            attempt=number,
            target=target,
            reason=failure.reason.value,
            detail=str(failure),
        )


__all__ = [
    "Dispatcher",
    "allow_retries",
    "choose",
    "note_loads",
]
