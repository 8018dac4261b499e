"""Decides at once whether a request is taken, and when it starts."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from lycheering.limits import api
from lycheering.limits import cost as costs
from lycheering.limits import outlook as outlooks
from lycheering.limits import queue as queues
from lycheering.limits import reserve as reserves
from lycheering.limits import waits
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks

WAIT_MARGIN = 1.2
FULL_DRAIN_SHARE = 0.25
CHECK_EVERY_MS = 50.0
MIN_SLOTS = 0.01


class Admission:
    """The queue and the running requests of one target.

    Attributes:
        limits: What may be taken on.
        queue: The requests that wait.
        draining: Whether nothing new is taken.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.limits = api.Limits()
        self.queue = queues.FairQueue()
        self.draining = False
        self._clock = clock
        self._running: set[api.Place] = set()
        self._reserve = reserves.SlotReserve(self.queue)
        self._reserve.change(self.limits.max_running, self.limits.max_running)
        self._outlook = outlooks.Outlook(
            clock, self.queue, self._reserve, self._running
        )
        self._outlook.slot_count = self.limits.max_running
        self._error = waits.WaitError()
        self._booking = waits.Booking(clock)
        self._place_by_waiting: dict[queues.Waiting, api.Place] = {}
        self._checked_ms = 0.0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Requests that were let through and have not ended."""
        return len(self._running)

    def enter(self, demand: api.Demand) -> api.Place:
        """Takes a request into the queue, or refuses it at once.

        Args:
            demand: What it asks.

        Returns:
            Its place; call `wait`, then `leave` in any case.

        Raises:
            api.RefusedError: If it is not run here.
        """
        if self.draining:
            raise self._refused_draining()
        now_ms = self._clock.now_ms()
        waiting = queues.Waiting(
            demand.team,
            demand.share,
            demand.priority,
            demand.cost,
            now_ms,
            demand.deadline_ms,
            asyncio.get_running_loop().create_future(),
            share_use=demand.share_use,
        )
        self._reserve.entered(waiting)
        self.queue.rank(waiting)
        wait_ms = self._wait_ms(waiting)
        self._check_deadline(waiting, now_ms, wait_ms)
        self._make_room(waiting)
        self.queue.add(waiting)
        place = api.Place(waiting, wait_ms)
        self._place_by_waiting[waiting] = place
        self._idle.clear()
        self._advance()
        return place

    async def wait(self, place: api.Place) -> None:
        """Returns once the request may be sent.

        Raises:
            api.RefusedError: If it is refused after all, such as when its
                deadline can no longer be met.
        """
        waiting = place.waiting
        left_ms = waiting.deadline_ms - self._clock.now_ms()
        latest_ms = left_ms - waiting.cost.service_ms
        try:
            async with asyncio.timeout(max(0.0, latest_ms) / 1_000):
                await asyncio.shield(waiting.turn)
        except TimeoutError as error:
            if waiting.turn.done():
                waiting.turn.result()
                return
            waited_ms = self._clock.now_ms() - waiting.arrival_ms
            self._error.learn(place.expected_start_ms, waited_ms)
            raise self._refused_late(waiting) from error

    def prefilled(self, place: api.Place) -> None:
        """Learns that a request's first token came."""
        place.prefilling = False
        # its prompt had to wait for those that were sent before it
        place.started_ms = self._clock.now_ms() - place.waiting.cost.prefill_ms
        self._advance()

    def leave(self, place: api.Place) -> None:
        """Learns that a request ended, however it did."""
        self.queue.remove(place.waiting)
        self._place_by_waiting.pop(place.waiting, None)
        if place in self._running:
            self._running.remove(place)
            self._reserve.ended(place.waiting)
        if not place.waiting.turn.done():
            place.waiting.turn.cancel()
        elif not place.waiting.turn.cancelled():
            # marks a refusal as seen that nobody waited for
            place.waiting.turn.exception()
        self._advance()
        if not self._place_by_waiting:
            self._idle.set()

    def hand_back(self) -> None:
        """Refuses all that wait, as the target gets no new work."""
        self.draining = True
        for waiting in self.queue.everyone():
            self._refuse(waiting, self._refused_draining())

    def change_limits(self, limits: api.Limits) -> None:
        """Puts other limits in force."""
        self.limits = limits
        self._reserve.change(
            limits.max_running, limits.max_running - limits.reserved
        )
        self._outlook.slot_count = max(1, limits.max_running)
        self.advance()

    def advance(self) -> None:
        """Lets through what may start by now."""
        self._advance()

    async def idle(self) -> None:
        """Returns once nothing waits or runs."""
        await self._idle.wait()

    def expected_wait_ms(
        self, priority: int = api.MIDDLE_PRIORITY, team: str = ""
    ) -> float:
        """Returns the wait expected for a new request.

        Args:
            priority: Its priority.
            team: Its team; empty for one that has nothing here.
        """
        waiting = queues.Waiting(
            team,
            1.0,
            priority,
            costs.Cost(0.0, 0.0),
            self._clock.now_ms(),
            0.0,
            asyncio.get_running_loop().create_future(),
        )
        self.queue.rank(waiting)
        return self._wait_ms(waiting)

    def told_wait_ms(self, priority: int, team: str) -> float:
        """Returns the wait by which a request's target is chosen.

        A team within its fair share of the fleet is told the wait behind
        all teams that are, so that a busy target loses work to others
        before its queue is long.

        Args:
            priority: The request's priority.
            team: Its team.
        """
        if self._reserve.is_flood(team, self._clock.now_ms()):
            return self.expected_wait_ms(priority, team)
        return self._outlook.start_behind_ms(priority)

    def use(self) -> float:
        """Returns what is asked of the target, in parts of its slots."""
        return self._reserve.use(self._clock.now_ms())

    def backlog_ms(self) -> float:
        """Returns the wait of a request that starts after all others."""
        return self._outlook.starts_ms()[-1]

    def _wait_ms(self, waiting: queues.Waiting) -> float:
        return self._error.corrected(self._outlook.expected_wait_ms(waiting))

    def _check_deadline(
        self, waiting: queues.Waiting, now_ms: float, wait_ms: float
    ) -> None:
        left_ms = waiting.deadline_ms - now_ms
        service_ms = waiting.cost.service_ms
        if wait_ms * WAIT_MARGIN + service_ms <= left_ms:
            return
        # a later one with as much time fits once the queue is this short
        bearable_ms = math.floor(max(0.0, left_ms - service_ms) / WAIT_MARGIN)
        raise api.RefusedError(
            messages.Reason.DEADLINE,
            self._book(wait_ms - bearable_ms, waiting),
            f"needs {wait_ms + service_ms:.0f} ms, has {left_ms:.0f} ms",
        )

    def _make_room(self, waiting: queues.Waiting) -> None:
        if not self.queue and self._may_start():
            return
        if len(self.queue) < self.limits.max_queued:
            return
        worst = self.queue.worst()
        place = (waiting.priority, *waiting.place)
        if worst is None or place >= (worst.priority, *worst.place):
            raise self._refused_full(waiting)
        self._refuse(worst, self._refused_full(worst))

    def _refused_full(self, waiting: queues.Waiting) -> api.RefusedError:
        count = len(self.queue)
        fair_count = count / max(1, self.queue.active_teams())
        reason = messages.Reason.FULL
        several = self.queue.active_teams() > 1
        if several and self.queue.team_count(waiting.team) > fair_count:
            reason = messages.Reason.TEAM_LIMIT
        # comes back once a part of the queue has been served
        starts_ms = sorted(self._outlook.starts_ms())
        return api.RefusedError(
            reason,
            self._book(starts_ms[math.ceil(count * FULL_DRAIN_SHARE)], waiting),
            f"{count} requests wait",
        )

    def _refused_late(self, waiting: queues.Waiting) -> api.RefusedError:
        return api.RefusedError(
            messages.Reason.DEADLINE,
            self._book(self._wait_ms(waiting), waiting),
            "waited too long to end in time",
        )

    def _refused_draining(self) -> api.RefusedError:
        return api.RefusedError(
            messages.Reason.DRAINING, 0.0, "target is leaving"
        )

    def _book(self, wait_ms: float, waiting: queues.Waiting) -> float:
        slots = max(MIN_SLOTS, self._reserve.share_slots(waiting))
        work_ms = waiting.cost.service_ms
        return self._booking.book(
            waiting.team,
            wait_ms,
            work_ms=work_ms / slots,
            least_work_ms=work_ms / max(1, self.limits.max_running),
        )

    def _refuse(self, waiting: queues.Waiting, error: api.RefusedError) -> None:
        self.queue.remove(waiting)
        if not waiting.turn.done():
            waiting.turn.set_exception(error)

    def _may_start(self) -> bool:
        prefilling = sum(place.prefilling for place in self._running)
        return (
            self.running < self.limits.max_running
            and prefilling < self.limits.prefill_window
        )

    def _advance(self) -> None:
        while self.queue and self._may_start():
            now_ms = self._clock.now_ms()
            waiting = self.queue.pop(now_ms, self._reserve.holds)
            if waiting is None:
                return
            if waiting.turn.done():
                continue
            place = self._place_by_waiting[waiting]
            place.started_ms = now_ms
            place.prefilling = True
            self._running.add(place)
            self._reserve.started(waiting)
            waited_ms = now_ms - waiting.arrival_ms
            self._error.learn(place.expected_start_ms, waited_ms)
            waiting.turn.set_result(None)
        self._refuse_late()

    def _refuse_late(self) -> None:
        """Refuses those that would end too late if nothing else came."""
        now_ms = self._clock.now_ms()
        if not self.queue or now_ms - self._checked_ms < CHECK_EVERY_MS:
            return
        self._checked_ms = now_ms
        for waiting, wait_ms in self._outlook.least_waits(now_ms):
            left_ms = waiting.deadline_ms - now_ms
            if wait_ms + waiting.cost.service_ms <= left_ms:
                continue
            place = self._place_by_waiting[waiting]
            waited_ms = now_ms - waiting.arrival_ms + wait_ms
            self._error.learn(place.expected_start_ms, waited_ms)
            self._refuse(waiting, self._refused_late(waiting))


__all__ = ["Admission"]
