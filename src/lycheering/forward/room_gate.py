"""Lets requests through to targets while there is room for them."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lycheering.forward import refusals
from lycheering.limits import arrival_order
from lycheering.limits import returns
from lycheering.limits import room as rooms
from lycheering.telemetry import logs

if TYPE_CHECKING:
    import random

    from lycheering import clock
    from lycheering.forward import pending_request
    from lycheering.forward import target_selection
    from lycheering.limits import held_requests
    from lycheering.telemetry import counters

# how long a held request waits before it looks for room again
CHECK_INTERVAL_MS = 15.0
# work of an output token, in prompt tokens
OUTPUT_TOKEN_WORK = 10
TEAM_WEIGHT = 1.0

_LOG = logs.get("room")


class RoomGate:
    """Sends, holds or refuses the requests of this entry.

    There is one decision for each service, as its targets are its room.
    Requests that are not ranked get room in order of arrival.
    """

    def __init__(
        self,
        settings: rooms.RoomSettings,
        time: clock.Clock,
        rng: random.Random,
        counts: counters.Counters,
    ) -> None:
        """Creates a gate that knows no requests yet.

        Args:
            settings: Settings of the decision.
            time: The clock.
            rng: Source of randomness for retry delays.
            counts: The counters of the process.
        """
        self._clock = time
        self._counters = counts
        self._control_by_service: dict[str, rooms.RoomControl] = (
            collections.defaultdict(lambda: rooms.RoomControl(settings, rng))
        )
        self._arrival_order = arrival_order.ArrivalOrder(settings, rng)
        self._returns_by_route: dict[str, returns.ReturnDetector] = (
            collections.defaultdict(returns.ReturnDetector)
        )

    def record_arrival(self, request: pending_request.PendingRequest) -> None:
        """Tells by a request's timeout whether its caller has returned."""
        detector = self._returns_by_route[request.route.name]
        request.has_returned = detector.has_returned(
            request.metadata.caller_timeout_ms
        )

    async def admit(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
    ) -> bool:
        """Decides on a request that has a target.

        Args:
            request: The request.
            estimate: The target and what is expected there.

        Returns:
            Whether it may be sent. If not, it has been held for a moment, and
            a target has to be selected again.

        Raises:
            RefusalError: If it is refused.
            CallerGoneError: If its caller disconnected while it was held.
        """
        now_ms = self._clock.now_ms()
        if not request.is_ranked:
            self._admit_by_arrival(request, estimate, now_ms)
            return True
        control = self._control_by_service[request.service.name]
        place = request.place
        if place is None:
            place = control.held.create(
                request.route.priority, _team_name(request), TEAM_WEIGHT
            )
            request.place = place
            request.applied_ms = now_ms
        decision = control.decide(
            self._applicant(request, estimate, control, place, now_ms),
            estimate.queue_ms,
            now_ms,
        )
        request.rank = decision.rank
        match decision.verdict:
            case rooms.Verdict.SEND:
                control.held.release(place)
                if decision.is_raised:
                    _raise(request)
                return True
            case rooms.Verdict.REFUSE:
                control.held.release(place)
                self._refuse(request, decision, now_ms)
        control.held.hold(place)
        self._counters.increment("room.held")
        try:
            await self._clock.sleep(CHECK_INTERVAL_MS)
        except BaseException:
            control.held.release(place)
            raise
        if request.caller.is_disconnected:
            control.held.release(place)
            raise refusals.CallerGoneError
        return False

    def control(self, service: str) -> rooms.RoomControl:
        """Returns the decision on the room of a service."""
        return self._control_by_service[service]

    def _admit_by_arrival(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
        now_ms: float,
    ) -> None:
        """Refuses a request that is not ranked if its queue is too long.

        Raises:
            RefusalError: If it is refused.
        """
        request.applied_ms = now_ms
        applicant = rooms.Applicant(
            priority=request.route.priority,
            team=_team_name(request),
            team_weight=TEAM_WEIGHT,
            work=_work(request, estimate),
            objective_ms=request.route.objective_ms,
            remaining_ms=request.deadline_ms - now_ms,
        )
        decision = self._arrival_order.decide(
            applicant, estimate.queue_ms, now_ms
        )
        request.rank = decision.rank
        if decision.verdict is rooms.Verdict.REFUSE:
            self._refuse(request, decision, now_ms)

    def leave(self, request: pending_request.PendingRequest) -> None:
        """Gives up the place of a request that has ended."""
        if request.place is not None:
            control = self._control_by_service[request.service.name]
            control.held.release(request.place)

    def _applicant(
        self,
        request: pending_request.PendingRequest,
        estimate: target_selection.Estimate,
        control: rooms.RoomControl,
        place: held_requests.HeldRequest,
        now_ms: float,
    ) -> rooms.Applicant:
        return rooms.Applicant(
            priority=request.route.priority,
            team=place.team,
            team_weight=place.team_weight,
            work=_work(request, estimate),
            objective_ms=request.route.objective_ms,
            remaining_ms=request.deadline_ms - now_ms,
            held_ms=now_ms - request.applied_ms,
            has_returned=request.has_returned,
            has_others_ahead=control.held.has_ahead(place),
        )

    def _refuse(
        self,
        request: pending_request.PendingRequest,
        decision: rooms.Decision,
        now_ms: float,
    ) -> None:
        """Refuses a request for which there is no room.

        Raises:
            RefusalError: Always.
        """
        self._counters.increment(f"room.refused.{decision.rank.value}")
        _LOG.event(
            "room_refused",
            id=request.metadata.request_id,
            route=request.route.name,
            team=_team_name(request),
            rank=decision.rank.value,
            has_returned=request.has_returned,
            queue_ms=round(decision.queue_ms),
            limit_ms=round(decision.limit_ms),
            mean_queue_ms=round(decision.mean_queue_ms),
            held_ms=round(now_ms - request.applied_ms),
            retry_after_ms=round(decision.retry_after_ms),
        )
        raise refusals.RefusalError(
            refusals.Reason.OVERLOADED,
            f"expected queueing delay is {decision.queue_ms:.0f} ms, the limit"
            f" for {decision.rank.value} is {decision.limit_ms:.0f} ms",
            decision.retry_after_ms,
        )


def _raise(request: pending_request.PendingRequest) -> None:
    """Lets a request of a starved kind be read with the urgent ones."""
    request.priority = min(request.priority, request.first_level)
    request.profile = dataclasses.replace(request.profile, is_first=True)


def _work(
    request: pending_request.PendingRequest,
    estimate: target_selection.Estimate,
) -> float:
    """Returns the work that a request causes, in prompt tokens."""
    output_work = OUTPUT_TOKEN_WORK * request.metadata.output_tokens
    return estimate.uncached_tokens + output_work


def _team_name(request: pending_request.PendingRequest) -> str:
    return request.team.name if request.team is not None else ""


__all__ = ["RoomGate"]
