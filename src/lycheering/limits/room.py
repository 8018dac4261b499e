"""Decides which requests get the room at targets while it is short."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

from lycheering.limits import held_requests
from lycheering.limits import kind_order
from lycheering.limits import queue_limit
from lycheering.limits import returns
from lycheering.limits import team_shares

if TYPE_CHECKING:
    import random


@dataclasses.dataclass(frozen=True)
class RoomSettings:
    """Settings of the decision.

    Attributes:
        queue_limit: Limits on the queueing delay at targets.
        behind_fraction: The part of the limit that holds for teams that got
            their share.
        returned_factor: By what the limit is raised for callers that have
            returned after a refusal.
        hold_fraction: Longest time that a request is held at the entry before
            it is refused, as a fraction of the latency objective.
        min_retry_ms: Shortest retry delay.
    """

    queue_limit: queue_limit.QueueLimitSettings = (
        queue_limit.QueueLimitSettings()
    )
    behind_fraction: float = 0.3
    returned_factor: float = 1.05
    hold_fraction: float = 0.12
    min_retry_ms: float = 250.0


@dataclasses.dataclass(frozen=True)
class Applicant:
    """What the decision needs to know of a request.

    Attributes:
        priority: Priority of its route; 0 is the most urgent.
        team: Its team; empty for none.
        team_weight: The team's weight in fair sharing.
        work: Its expected work, in tokens.
        objective_ms: Latency objective of its route; 0 for none.
        remaining_ms: Time until its caller's deadline.
        held_ms: How long it has been held at this entry.
        has_returned: Whether its caller returned after a refusal.
        has_others_ahead: Whether requests that go before it are held here.
    """

    priority: int
    team: str
    team_weight: float
    work: float
    objective_ms: float
    remaining_ms: float
    held_ms: float = 0.0
    has_returned: bool = False
    has_others_ahead: bool = False


class Verdict(enum.StrEnum):
    """What becomes of a request for now.

    Attributes:
        SEND: It is sent to the target.
        HOLD: It is held at the entry and decided on again soon.
        REFUSE: It is refused, and its caller told when to return.
    """

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class Rank(enum.StrEnum):
    """Where a request stands among the others while room is short.

    Attributes:
        FIRST: Before ordinary ones: the most urgent kind, and kinds that
            would otherwise be starved.
        RETURNED: Before others of its kind, as its caller has returned.
        ORDINARY: In order of arrival.
        AFTER_TEAMS: Its team has got its share, others go first.
        AFTER_KINDS: More urgent kinds are refused more often.
    """

    FIRST = "first"
    RETURNED = "returned"
    ORDINARY = "ordinary"
    AFTER_TEAMS = "after_teams"
    AFTER_KINDS = "after_kinds"


@dataclasses.dataclass(frozen=True)
class Decision:
    """What becomes of a request, and why.

    Attributes:
        verdict: What becomes of it.
        rank: Where it stands among the others.
        queue_ms: Queueing delay that it would have.
        limit_ms: Queueing delay up to which it is sent.
        mean_queue_ms: Mean queueing delay of recent requests.
        retry_after_ms: Time after which its caller may return.
        is_raised: Whether its target gets it as an urgent one, as its kind
            would be starved otherwise.
    """

    verdict: Verdict
    rank: Rank
    queue_ms: float
    limit_ms: float
    mean_queue_ms: float
    retry_after_ms: float = 0.0
    is_raised: bool = False


class RoomDecision(abc.ABC):
    """Decides which requests are sent, held or refused."""

    @abc.abstractmethod
    def decide(
        self, applicant: Applicant, queue_ms: float, now_ms: float
    ) -> Decision:
        """Decides whether a request is sent, held or refused now.

        Args:
            applicant: The request.
            queue_ms: Expected queueing delay at the best target.
            now_ms: The current time.
        """


class RoomControl(RoomDecision):
    """Decides on the requests to one service, at one entry.

    While room is short, the order is: callers that returned after a refusal,
    and kinds that are starved; then more urgent kinds before less urgent ones;
    then teams that got less than their fair share; then by arrival. The size
    of a request does not count, or the largest of a kind would starve.

    A request that has to wait too long at its target is held here for a short
    time, as the order of what was sent can't be changed. If that does not
    help, it is refused at once.

    Attributes:
        held: The requests that are held.
    """

    def __init__(self, settings: RoomSettings, rng: random.Random) -> None:
        """Creates a decision that knows no requests yet.

        Args:
            settings: Its settings.
            rng: Source of randomness for retry delays.
        """
        self._settings = settings
        self._limit_by_priority: dict[int, queue_limit.QueueLimit] = {}
        self._kinds = kind_order.KindOrder()
        self._teams = team_shares.TeamShares()
        self._return_times = returns.ReturnTimes(rng, settings.min_retry_ms)
        self.held = held_requests.HeldRequests(self._teams.granted)

    def decide(
        self, applicant: Applicant, queue_ms: float, now_ms: float
    ) -> Decision:
        """Decides whether a request is sent, held or refused now.

        Args:
            applicant: The request.
            queue_ms: Expected queueing delay at the best target.
            now_ms: The current time.
        """
        limit = self._limit(applicant.priority)
        if not applicant.held_ms:
            limit.record(queue_ms, now_ms)
            self._teams.record_offered(
                applicant.team, applicant.team_weight, applicant.work, now_ms
            )
        rank = self._rank(applicant, limit, now_ms)
        limit_ms = self._limit_ms(applicant, rank, limit)
        excess_ms = queue_ms - limit_ms
        decision = Decision(
            Verdict.SEND,
            rank,
            queue_ms,
            limit_ms,
            limit.mean_queue_ms,
            is_raised=self._kinds.is_starved(applicant.priority),
        )
        has_room = excess_ms <= 0 and not applicant.has_others_ahead
        if applicant.objective_ms <= 0 or has_room:
            self._record(applicant, now_ms, is_refused=False)
            return decision
        hold_ms = (
            self._settings.hold_fraction * applicant.objective_ms
            - applicant.held_ms
        )
        if hold_ms > 0 and excess_ms < hold_ms:
            return dataclasses.replace(decision, verdict=Verdict.HOLD)
        if excess_ms <= 0:
            # those ahead found no room in time, but there is room for this one
            self._record(applicant, now_ms, is_refused=False)
            return decision
        self._record(applicant, now_ms, is_refused=True)
        return dataclasses.replace(
            decision,
            verdict=Verdict.REFUSE,
            retry_after_ms=self._retry_after_ms(applicant, excess_ms, now_ms),
        )

    def _limit(self, priority: int) -> queue_limit.QueueLimit:
        limit = self._limit_by_priority.get(priority)
        if limit is None:
            limit = queue_limit.QueueLimit(self._settings.queue_limit)
            self._limit_by_priority[priority] = limit
        return limit

    def _limit_ms(
        self,
        applicant: Applicant,
        rank: Rank,
        limit: queue_limit.QueueLimit,
    ) -> float:
        is_starved = self._kinds.is_starved(applicant.priority)
        limit_ms = limit.limit_ms(
            applicant.objective_ms,
            is_urgent=not applicant.priority or is_starved,
        )
        if not is_starved:
            limit_ms *= self._kinds.factor(applicant.priority)
        if rank is Rank.AFTER_TEAMS:
            limit_ms *= self._settings.behind_fraction
        if rank is Rank.RETURNED:
            limit_ms *= self._settings.returned_factor
        return limit_ms

    def _rank(
        self,
        applicant: Applicant,
        limit: queue_limit.QueueLimit,
        now_ms: float,
    ) -> Rank:
        if applicant.has_returned:
            return Rank.RETURNED
        if self._kinds.is_starved(applicant.priority):
            return Rank.FIRST
        is_short = self._kinds.has_refusals() or limit.is_sustained(
            applicant.objective_ms
        )
        if is_short and self._teams.is_over_share(
            applicant.team, applicant.team_weight, now_ms
        ):
            return Rank.AFTER_TEAMS
        if self._kinds.factor(applicant.priority) < 1.0:
            return Rank.AFTER_KINDS
        return Rank.ORDINARY if applicant.priority else Rank.FIRST

    def _record(
        self, applicant: Applicant, now_ms: float, *, is_refused: bool
    ) -> None:
        self._kinds.record(
            applicant.priority, is_refused=is_refused, now_ms=now_ms
        )
        if not is_refused:
            self._teams.record_granted(
                applicant.team, applicant.team_weight, applicant.work, now_ms
            )

    def _retry_after_ms(
        self, applicant: Applicant, excess_ms: float, now_ms: float
    ) -> float:
        granted_per_ms = self._teams.granted_per_ms(now_ms)
        room_ms = 0.0
        if granted_per_ms > 0:
            room_ms = min(
                applicant.work / granted_per_ms, applicant.remaining_ms
            )
        return self._return_times.assign(
            applicant.priority,
            excess_ms,
            room_ms,
            applicant.remaining_ms,
            now_ms,
        )


__all__ = [
    "Applicant",
    "Decision",
    "Rank",
    "RoomControl",
    "RoomDecision",
    "RoomSettings",
    "Verdict",
]
