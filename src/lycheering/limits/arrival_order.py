"""Gives room at targets in order of arrival, as long as the queue is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.limits import queue_limit
from lycheering.limits import room

if TYPE_CHECKING:
    import random

MAX_RETRY_JITTER = 0.5


class ArrivalOrder(room.RoomDecision):
    """Sends or refuses requests by their expected queueing delay alone.

    Neither the team nor the kind of a request decides, except that the most
    urgent routes have a higher limit. No request is held.
    """

    def __init__(self, settings: room.RoomSettings, rng: random.Random) -> None:
        """Creates a decision that has observed no queue yet.

        Args:
            settings: Its settings.
            rng: Source of randomness for retry delays.
        """
        self._settings = settings
        self._limit = queue_limit.QueueLimit(settings.queue_limit)
        self._rng = rng

    def decide(
        self, applicant: room.Applicant, queue_ms: float, now_ms: float
    ) -> room.Decision:
        """Decides whether a request is sent or refused now.

        Args:
            applicant: The request.
            queue_ms: Expected queueing delay at the best target.
            now_ms: The current time.
        """
        self._limit.record(queue_ms, now_ms)
        limit_ms = self._limit.limit_ms(
            applicant.objective_ms, is_urgent=not applicant.priority
        )
        excess_ms = queue_ms - limit_ms
        verdict, retry_ms = room.Verdict.SEND, 0.0
        if applicant.objective_ms > 0 and excess_ms > 0:
            verdict = room.Verdict.REFUSE
            retry_ms = max(self._settings.min_retry_ms, excess_ms)
            retry_ms *= self._rng.uniform(1.0, 1.0 + MAX_RETRY_JITTER)
        return room.Decision(
            verdict,
            room.Rank.ORDINARY if applicant.priority else room.Rank.FIRST,
            queue_ms,
            limit_ms,
            self._limit.mean_queue_ms,
            retry_ms,
        )


__all__ = ["ArrivalOrder"]
