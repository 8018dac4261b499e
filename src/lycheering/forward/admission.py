"""Rejects requests at once that would make too many others late."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.forward import choice


@dataclasses.dataclass(frozen=True)
class AdmissionSettings:
    """How long the queue at engines may get.

    Attributes:
        queue_part: The longest queue, as a part of the latency objective,
            for routes that others go before.
        standing_part: The same once the mean queue is longer than that.
        first_queue_part: The same for the most urgent routes, so that they
            are not rejected before the others.
        spread: How far the times to come back are spread.
        least_retry_ms: The shortest time to come back.
        half_life_ms: The time after which a queue met counts half.
    """

    queue_part: float = 0.35
    standing_part: float = 0.15
    first_queue_part: float = 0.7
    spread: float = 0.5
    least_retry_ms: float = 250.0
    half_life_ms: float = 1_500.0


@dataclasses.dataclass(frozen=True)
class Rejection:
    """That a request is not sent.

    Attributes:
        queue_ms: The queue that it would have met.
        mean_queue_ms: The mean queue that requests met lately.
        retry_after_ms: When it is to come back.
    """

    queue_ms: float
    mean_queue_ms: float
    retry_after_ms: float


class AdmissionController:
    """Decides which requests are sent, by the queue that they would meet.

    The load that it answers: arrivals above what engines can read for several
    seconds, in which first come, first served makes every answer late. A queue
    that comes and goes is a burst, which engines work off by themselves; one
    that stays only makes every answer later, so the mean queue counts too. The
    size of a request does not, or the largest would be rejected whenever there
    is any queue.

    Attributes:
        mean_queue_ms: The mean queue that requests met, the last ones most.
    """

    def __init__(
        self, settings: AdmissionSettings, randomness: random.Random
    ) -> None:
        """Begins with no queue met.

        Args:
            settings: How long the queue may get.
            randomness: Spreads the times to come back.
        """
        self.mean_queue_ms = 0.0
        self._settings = settings
        self._random = randomness
        self._at_ms = 0.0
        self._sum_ms = 0.0
        self._weight = 0.0

    def check(
        self,
        estimate: choice.Estimate,
        objective_ms: float,
        rank: int,
        now_ms: float,
    ) -> Rejection | None:
        """Counts the queue that a request meets and returns if it is rejected.

        Args:
            estimate: The best target and what is expected there.
            objective_ms: The time within which an answer is on time; 0 for a
                route that has none, whose requests are all sent.
            rank: The rank of its route, 0 is first.
            now_ms: The time.
        """
        self._update(estimate.queue_ms, now_ms)
        if objective_ms <= 0:
            return None
        settings = self._settings
        part = settings.queue_part if rank else settings.first_queue_part
        if rank and self.mean_queue_ms > settings.standing_part * objective_ms:
            part = settings.standing_part
        excess_ms = estimate.queue_ms - part * objective_ms
        if excess_ms <= 0:
            return None
        least_ms = max(settings.least_retry_ms, excess_ms)
        return Rejection(
            estimate.queue_ms,
            self.mean_queue_ms,
            least_ms * self._random.uniform(1.0, 1.0 + settings.spread),
        )

    def _update(self, queue_ms: float, now_ms: float) -> None:
        passed_ms = now_ms - self._at_ms
        kept = 0.5 ** (passed_ms / self._settings.half_life_ms)
        self._at_ms = now_ms
        self._sum_ms = self._sum_ms * kept + queue_ms
        self._weight = self._weight * kept + 1.0
        self.mean_queue_ms = self._sum_ms / self._weight


__all__ = ["AdmissionController", "AdmissionSettings", "Rejection"]
