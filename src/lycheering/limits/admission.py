"""Admission control of one target: admits, queues or refuses requests."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from lycheering.limits import api
from lycheering.limits import cost_model
from lycheering.limits import queue as queues
from lycheering.limits import reserve as reserves
from lycheering.limits import wait_forecast
from lycheering.limits import waits
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks

WAIT_SAFETY_FACTOR = 1.2
RETRY_QUEUE_FRACTION = 0.25
DEADLINE_CHECK_INTERVAL_MS = 50.0
MIN_FAIR_SLOTS = 0.01


class TargetAdmission:
    """Controls the queued and the running requests of one target.

    Attributes:
        limits: The limits in force.
        queue: The queued requests.
        is_draining: Whether new requests are refused.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.limits = api.Limits()
        self.queue = queues.FairQueue()
        self.is_draining = False
        self._clock = clock
        self._running: set[api.AdmittedRequest] = set()
        self._reserve = reserves.SlotReserve(self.queue)
        self._reserve.set_slots(
            self.limits.max_running, self.limits.max_running
        )
        self._forecast = wait_forecast.WaitForecast(
            clock, self.queue, self._reserve, self._running
        )
        self._forecast.slot_count = self.limits.max_running
        self._wait_correction = waits.WaitCorrection()
        self._retry_scheduler = waits.RetryScheduler(clock)
        self._admitted_by_request: dict[
            queues.QueuedRequest, api.AdmittedRequest
        ] = {}
        self._checked_ms = 0.0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running_count(self) -> int:
        """Number of requests that were started and have not ended."""
        return len(self._running)

    def enqueue(self, properties: api.RequestProperties) -> api.AdmittedRequest:
        """Adds a request to the queue, or refuses it immediately.

        Args:
            properties: The properties of the request.

        Returns:
            The admitted request; call `wait`, then always `release`.

        Raises:
            api.RefusedError: If the request is refused.
        """
        if self.is_draining:
            raise self._draining_error()
        now_ms = self._clock.now_ms()
        request = queues.QueuedRequest(
            properties.team,
            properties.team_weight,
            properties.priority,
            properties.cost,
            now_ms,
            properties.deadline_ms,
            asyncio.get_running_loop().create_future(),
            fair_share_ratio=properties.fair_share_ratio,
        )
        self._reserve.record_arrival(request)
        self.queue.assign_tags(request)
        wait_ms = self._wait_ms(request)
        self._check_deadline(request, now_ms, wait_ms)
        self._make_room(request)
        self.queue.add(request)
        admitted_request = api.AdmittedRequest(request, wait_ms)
        self._admitted_by_request[request] = admitted_request
        self._idle.clear()
        self._start_eligible()
        return admitted_request

    async def wait(self, admitted_request: api.AdmittedRequest) -> None:
        """Waits until an admitted request may be sent to the target.

        Raises:
            api.RefusedError: If it is refused while queued, for example
                because its deadline can no longer be met.
        """
        request = admitted_request.request
        left_ms = request.deadline_ms - self._clock.now_ms()
        latest_ms = left_ms - request.cost.total_ms
        try:
            async with asyncio.timeout(max(0.0, latest_ms) / 1_000):
                await asyncio.shield(request.admitted)
        except TimeoutError as error:
            if request.admitted.done():
                request.admitted.result()
                return
            waited_ms = self._clock.now_ms() - request.arrival_ms
            self._wait_correction.learn(
                admitted_request.expected_wait_ms, waited_ms
            )
            raise self._deadline_error(request) from error

    def record_first_token(self, admitted_request: api.AdmittedRequest) -> None:
        """Records that the first token of a request arrived."""
        admitted_request.is_prefilling = False
        # the target prefilled earlier prompts first, so the prefill of this
        # one began later than it was sent
        admitted_request.started_ms = (
            self._clock.now_ms() - admitted_request.request.cost.prefill_ms
        )
        self._start_eligible()

    def release(self, admitted_request: api.AdmittedRequest) -> None:
        """Records that a request ended, successfully or not."""
        self.queue.remove(admitted_request.request)
        self._admitted_by_request.pop(admitted_request.request, None)
        if admitted_request in self._running:
            self._running.remove(admitted_request)
            self._reserve.record_end(admitted_request.request)
        if not admitted_request.request.admitted.done():
            admitted_request.request.admitted.cancel()
        elif not admitted_request.request.admitted.cancelled():
            # retrieves the refusal, so that asyncio does not log it
            admitted_request.request.admitted.exception()
        self._start_eligible()
        if not self._admitted_by_request:
            self._idle.set()

    def start_draining(self) -> None:
        """Refuses all queued and all further requests."""
        self.is_draining = True
        for request in self.queue.all_requests():
            self._refuse(request, self._draining_error())

    def set_limits(self, limits: api.Limits) -> None:
        """Applies new limits."""
        self.limits = limits
        self._reserve.set_slots(
            limits.max_running, limits.max_running - limits.reserved_slots
        )
        self._forecast.slot_count = max(1, limits.max_running)
        self.start_eligible()

    def start_eligible(self) -> None:
        """Starts the queued requests that may start now."""
        self._start_eligible()

    async def wait_idle(self) -> None:
        """Waits until no request is queued or running."""
        await self._idle.wait()

    def expected_wait_ms(
        self, priority: int = api.DEFAULT_PRIORITY, team: str = ""
    ) -> float:
        """Returns the expected wait of a new request.

        Args:
            priority: Its priority.
            team: Its team; empty for one without any requests here.
        """
        request = queues.QueuedRequest(
            team,
            1.0,
            priority,
            cost_model.Cost(0.0, 0.0),
            self._clock.now_ms(),
            0.0,
            asyncio.get_running_loop().create_future(),
        )
        self.queue.assign_tags(request)
        return self._wait_ms(request)

    def reported_wait_ms(self, priority: int, team: str) -> float:
        """Returns the wait to report to an entry that selects a target.

        For a team within its fair share of the fleet, this is the wait
        behind all such teams, so that entries avoid a busy target before
        its queue is long.

        Args:
            priority: The request's priority.
            team: Its team.
        """
        if self._reserve.is_overusing(team, self._clock.now_ms()):
            return self.expected_wait_ms(priority, team)
        return self._forecast.wait_behind_fair_teams_ms(priority)

    def utilization(self) -> float:
        """Returns the work offered to the target, relative to its slots."""
        return self._reserve.utilization(self._clock.now_ms())

    def backlog_ms(self) -> float:
        """Returns the wait of a request behind all queued ones."""
        return self._forecast.start_times_ms()[-1]

    def _wait_ms(self, request: queues.QueuedRequest) -> float:
        return self._wait_correction.corrected_ms(
            self._forecast.expected_wait_ms(request)
        )

    def _check_deadline(
        self, request: queues.QueuedRequest, now_ms: float, wait_ms: float
    ) -> None:
        left_ms = request.deadline_ms - now_ms
        total_ms = request.cost.total_ms
        if wait_ms * WAIT_SAFETY_FACTOR + total_ms <= left_ms:
            return
        # a later request with the same time budget meets its deadline once
        # the wait is this short
        max_wait_ms = math.floor(
            max(0.0, left_ms - total_ms) / WAIT_SAFETY_FACTOR
        )
        raise api.RefusedError(
            messages.Reason.DEADLINE,
            self._retry_after_ms(wait_ms - max_wait_ms, request),
            f"expected to take {wait_ms + total_ms:.0f} ms,"
            f" but only {left_ms:.0f} ms are left",
        )

    def _make_room(self, request: queues.QueuedRequest) -> None:
        if not self.queue and self._has_free_slot():
            return
        if len(self.queue) < self.limits.max_queued:
            return
        last = self.queue.last_request()
        sort_key = (request.priority, *request.sort_key)
        if last is None or sort_key >= (last.priority, *last.sort_key):
            raise self._full_error(request)
        self._refuse(last, self._full_error(last))

    def _full_error(self, request: queues.QueuedRequest) -> api.RefusedError:
        count = len(self.queue)
        fair_count = count / max(1, self.queue.waiting_team_count())
        reason = messages.Reason.FULL
        has_several_teams = self.queue.waiting_team_count() > 1
        if (
            has_several_teams
            and self.queue.waiting_count(request.team) > fair_count
        ):
            reason = messages.Reason.TEAM_LIMIT
        # the caller retries once a part of the queue has been served
        starts_ms = sorted(self._forecast.start_times_ms())
        return api.RefusedError(
            reason,
            self._retry_after_ms(
                starts_ms[math.ceil(count * RETRY_QUEUE_FRACTION)], request
            ),
            f"{count} requests are queued already",
        )

    def _deadline_error(
        self, request: queues.QueuedRequest
    ) -> api.RefusedError:
        return api.RefusedError(
            messages.Reason.DEADLINE,
            self._retry_after_ms(self._wait_ms(request), request),
            "waited too long to meet its deadline",
        )

    def _draining_error(self) -> api.RefusedError:
        return api.RefusedError(
            messages.Reason.DRAINING, 0.0, "target is draining"
        )

    def _retry_after_ms(
        self, wait_ms: float, request: queues.QueuedRequest
    ) -> float:
        slots = max(MIN_FAIR_SLOTS, self._reserve.fair_share_slots(request))
        work_ms = request.cost.total_ms
        return self._retry_scheduler.schedule(
            request.team,
            wait_ms,
            work_ms=work_ms / slots,
            least_work_ms=work_ms / max(1, self.limits.max_running),
        )

    def _refuse(
        self, request: queues.QueuedRequest, error: api.RefusedError
    ) -> None:
        self.queue.remove(request)
        if not request.admitted.done():
            request.admitted.set_exception(error)

    def _has_free_slot(self) -> bool:
        prefilling = sum(
            admitted_request.is_prefilling for admitted_request in self._running
        )
        return (
            self.running_count < self.limits.max_running
            and prefilling < self.limits.max_prefilling
        )

    def _start_eligible(self) -> None:
        while self.queue and self._has_free_slot():
            now_ms = self._clock.now_ms()
            request = self.queue.pop(now_ms, self._reserve.is_held_back)
            if request is None:
                return
            if request.admitted.done():
                continue
            admitted_request = self._admitted_by_request[request]
            admitted_request.started_ms = now_ms
            admitted_request.is_prefilling = True
            self._running.add(admitted_request)
            self._reserve.record_start(request)
            waited_ms = now_ms - request.arrival_ms
            self._wait_correction.learn(
                admitted_request.expected_wait_ms, waited_ms
            )
            request.admitted.set_result(None)
        self._refuse_overdue()

    def _refuse_overdue(self) -> None:
        """Refuses queued requests that can no longer meet their deadline."""
        now_ms = self._clock.now_ms()
        if (
            not self.queue
            or now_ms - self._checked_ms < DEADLINE_CHECK_INTERVAL_MS
        ):
            return
        self._checked_ms = now_ms
        for request, wait_ms in self._forecast.min_waits(now_ms):
            left_ms = request.deadline_ms - now_ms
            if wait_ms + request.cost.total_ms <= left_ms:
                continue
            admitted_request = self._admitted_by_request[request]
            waited_ms = now_ms - request.arrival_ms + wait_ms
            self._wait_correction.learn(
                admitted_request.expected_wait_ms, waited_ms
            )
            self._refuse(request, self._deadline_error(request))


__all__ = ["TargetAdmission"]
