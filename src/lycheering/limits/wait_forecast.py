"""Predicts how long requests wait at one target."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from lycheering.limits import queue_simulation

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from lycheering import clock as clocks
    from lycheering.limits import api as limits_api
    from lycheering.limits import queue as queues
    from lycheering.limits import reserve as reserves


class WaitForecast:
    """Predicts waits from queued, running and recent requests.

    Attributes:
        slot_count: The number of slots of the target.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        queue: queues.FairQueue,
        reserve: reserves.SlotReserve,
        running: Collection[limits_api.AdmittedRequest],
    ) -> None:
        self.slot_count = 1
        self._clock = clock
        self._queue = queue
        self._reserve = reserve
        self._running = running

    def expected_wait_ms(self, request: queues.QueuedRequest) -> float:
        """Returns the wait of a tagged request that arrives now."""
        now_ms = self._clock.now_ms()
        ahead = self._queue.ahead_of(request)
        if not self._reserve.is_held_back(request, now_ms):
            # requests that are held back leave their slots to this one
            ahead = [
                other
                for other in ahead
                if not self._reserve.is_held_back(other, now_ms)
            ]
        wait_ms = queue_simulation.start_times_ms(ahead, self._slots())[-1]
        if wait_ms > 0:
            wait_ms = queue_simulation.wait_with_overtaking_ms(
                wait_ms, self._overtaking_teams(request), self.slot_count
            )
        return max(wait_ms, self._team_wait_ms(request, ahead, now_ms))

    def min_waits(
        self, now_ms: float
    ) -> Iterator[tuple[queues.QueuedRequest, float]]:
        """Returns each queued request's wait if no further one arrives."""
        eligible: list[queues.QueuedRequest] = []
        held_by_group: dict[tuple[str, int], list[queues.QueuedRequest]] = {}
        # represents all teams that exceed their fair share
        overusing_team = ""
        for request in self._queue.all_requests():
            if self._reserve.is_held_back(request, now_ms):
                team = request.team
                if self._reserve.is_overusing(team, now_ms):
                    overusing_team = overusing_team or team
                    team = overusing_team
                group = (team, request.priority)
                held_by_group.setdefault(group, []).append(request)
            else:
                eligible.append(request)
        start_ms = queue_simulation.start_times_ms(eligible, self._slots())
        yield from zip(eligible, start_ms, strict=False)
        for (team, priority), held in held_by_group.items():
            first = bisect.bisect_left(
                eligible, priority, key=lambda request: request.priority
            )
            held_ms = queue_simulation.start_times_ms(
                held, self._team_slots(team, now_ms)
            )
            for request, wait_ms in zip(held, held_ms, strict=False):
                yield request, max(wait_ms, start_ms[first])

    def wait_behind_fair_teams_ms(self, priority: int) -> float:
        """Returns the wait behind all requests that are as urgent.

        Requests of teams that exceed their fair share of the fleet don't
        count, as these teams leave their slots to others.

        Args:
            priority: The request's priority.
        """
        now_ms = self._clock.now_ms()
        ahead = [
            other
            for other in self._queue.all_requests()
            if other.priority <= priority
            and not self._reserve.is_overusing(other.team, now_ms)
        ]
        return queue_simulation.start_times_ms(ahead, self._slots())[-1]

    def start_times_ms(self) -> list[float]:
        """Returns when each request starts, and one after all of them."""
        return queue_simulation.start_times_ms(
            self._queue.all_requests(), self._slots()
        )

    def _overtaking_teams(
        self, request: queues.QueuedRequest
    ) -> Iterator[queue_simulation.OvertakingTeam]:
        for rate in self._reserve.team_rates():
            if rate.team != request.team:
                gap_ms = self._queue.virtual_gap_ms(request, rate.team)
                yield queue_simulation.OvertakingTeam(
                    rate.slots, rate.weight * gap_ms
                )

    def _team_wait_ms(
        self,
        request: queues.QueuedRequest,
        ahead: list[queues.QueuedRequest],
        now_ms: float,
    ) -> float:
        own = [
            other
            for other in ahead
            if self._reserve.share_slot_limit(other.team, request.team, now_ms)
        ]
        slots = self._team_slots(request.team, now_ms)
        return queue_simulation.start_times_ms(own, slots)[-1]

    def _team_slots(
        self, team: str, now_ms: float
    ) -> queue_simulation.SlotState:
        count = max(1, self._reserve.slot_limit(team, now_ms))
        running = [
            admitted_request
            for admitted_request in self._running
            if self._reserve.share_slot_limit(
                admitted_request.request.team, team, now_ms
            )
        ]
        return queue_simulation.SlotState(self._free_ms(running, count))

    def _slots(self) -> queue_simulation.SlotState:
        return queue_simulation.SlotState(
            self._free_ms(self._running, self.slot_count),
            self._running_prefill_ms(),
        )

    def _free_ms(
        self, running: Collection[limits_api.AdmittedRequest], count: int
    ) -> list[float]:
        now_ms = self._clock.now_ms()
        free_ms = [
            max(
                0.0,
                admitted_request.request.cost.total_ms
                - now_ms
                + admitted_request.started_ms,
            )
            for admitted_request in running
        ]
        free_ms += [0.0] * (count - len(free_ms))
        # if more requests run than allowed, only the last ones to end free
        # a slot
        return sorted(free_ms)[-count:]

    def _running_prefill_ms(self) -> float:
        now_ms = self._clock.now_ms()
        return sum(
            max(
                0.0,
                admitted_request.request.cost.prefill_ms
                - now_ms
                + admitted_request.started_ms,
            )
            for admitted_request in self._running
            if admitted_request.is_prefilling
        )


__all__ = ["WaitForecast"]
