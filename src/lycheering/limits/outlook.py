"""When the requests of one target are expected to start."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from lycheering.limits import forecast

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from lycheering import clock as clocks
    from lycheering.limits import api as limits_api
    from lycheering.limits import queue as queues
    from lycheering.limits import reserve as reserves


class Outlook:
    """Foresees waits from what waits, runs and has come as of late.

    Attributes:
        slot_count: The slots of the target.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        queue: queues.FairQueue,
        reserve: reserves.SlotReserve,
        running: Collection[limits_api.Place],
    ) -> None:
        self.slot_count = 1
        self._clock = clock
        self._queue = queue
        self._reserve = reserve
        self._running = running

    def expected_wait_ms(self, waiting: queues.Waiting) -> float:
        """Returns the wait of a ranked request that comes now."""
        now_ms = self._clock.now_ms()
        ahead = self._queue.ahead_of(waiting)
        if not self._reserve.holds(waiting, now_ms):
            # those held back leave their slots to this one
            ahead = [
                other
                for other in ahead
                if not self._reserve.holds(other, now_ms)
            ]
        wait_ms = forecast.starts_ms(ahead, self._slots())[-1]
        if wait_ms > 0:
            wait_ms = forecast.overtaken_ms(
                wait_ms, self._overtakers(waiting), self.slot_count
            )
        return max(wait_ms, self._held_wait_ms(waiting, ahead, now_ms))

    def least_waits(
        self, now_ms: float
    ) -> Iterator[tuple[queues.Waiting, float]]:
        """Returns each waiting request's wait if no other one came."""
        free: list[queues.Waiting] = []
        held_by_kind: dict[tuple[str, int], list[queues.Waiting]] = {}
        flood = ""  # stands for all teams that are over their fair shares
        for waiting in self._queue.everyone():
            if self._reserve.holds(waiting, now_ms):
                team = waiting.team
                if self._reserve.is_flood(team, now_ms):
                    flood = flood or team
                    team = flood
                kind = (team, waiting.priority)
                held_by_kind.setdefault(kind, []).append(waiting)
            else:
                free.append(waiting)
        free_ms = forecast.starts_ms(free, self._slots())
        yield from zip(free, free_ms, strict=False)
        for (team, priority), held in held_by_kind.items():
            first = bisect.bisect_left(
                free, priority, key=lambda waiting: waiting.priority
            )
            held_ms = forecast.starts_ms(held, self._team_slots(team, now_ms))
            for waiting, wait_ms in zip(held, held_ms, strict=False):
                yield waiting, max(wait_ms, free_ms[first])

    def start_behind_ms(self, priority: int) -> float:
        """Returns when a request starts after all that are as urgent.

        Teams over their fair share of the fleet don't count, as they leave
        their slots to others.

        Args:
            priority: The request's priority.
        """
        now_ms = self._clock.now_ms()
        ahead = [
            other
            for other in self._queue.everyone()
            if other.priority <= priority
            and not self._reserve.is_flood(other.team, now_ms)
        ]
        return forecast.starts_ms(ahead, self._slots())[-1]

    def starts_ms(self) -> list[float]:
        """Returns when each request starts, and one after all of them."""
        return forecast.starts_ms(self._queue.everyone(), self._slots())

    def _overtakers(
        self, waiting: queues.Waiting
    ) -> Iterator[forecast.Overtaker]:
        for rate in self._reserve.rates():
            if rate.team != waiting.team:
                room = self._queue.room_before(waiting, rate.team)
                yield forecast.Overtaker(rate.slots, rate.share * room)

    def _held_wait_ms(
        self,
        waiting: queues.Waiting,
        ahead: list[queues.Waiting],
        now_ms: float,
    ) -> float:
        own = [
            other
            for other in ahead
            if self._reserve.are_together(other.team, waiting.team, now_ms)
        ]
        slots = self._team_slots(waiting.team, now_ms)
        return forecast.starts_ms(own, slots)[-1]

    def _team_slots(self, team: str, now_ms: float) -> forecast.Slots:
        count = max(1, self._reserve.team_slots(team, now_ms))
        running = [
            place
            for place in self._running
            if self._reserve.are_together(place.waiting.team, team, now_ms)
        ]
        return forecast.Slots(self._free_ms(running, count))

    def _slots(self) -> forecast.Slots:
        return forecast.Slots(
            self._free_ms(self._running, self.slot_count),
            self._running_prefill_ms(),
        )

    def _free_ms(
        self, running: Collection[limits_api.Place], count: int
    ) -> list[float]:
        now_ms = self._clock.now_ms()
        free_ms = [
            max(0.0, place.waiting.cost.service_ms - now_ms + place.started_ms)
            for place in running
        ]
        free_ms += [0.0] * (count - len(free_ms))
        # with more running than allowed, the last ones to end free a slot
        return sorted(free_ms)[-count:]

    def _running_prefill_ms(self) -> float:
        now_ms = self._clock.now_ms()
        return sum(
            max(0.0, place.waiting.cost.prefill_ms - now_ms + place.started_ms)
            for place in self._running
            if place.prefilling
        )


__all__ = ["Outlook"]
