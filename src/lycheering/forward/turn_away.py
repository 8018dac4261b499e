"""Turns requests away at once that would make too many others late."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.forward import choice


@dataclasses.dataclass(frozen=True)
class TurnAwaySettings:
    """How long the queue at engines may get.

    Attributes:
        queue_part: The longest queue, as a part of the latency objective,
            for routes that others go before.
        standing_part: The same once the usual queue is longer than that.
        first_queue_part: The same for the most urgent routes, so that they
            are not turned away before the others.
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


class UsualQueue:
    """The mean queue that requests met of late, the last ones most.

    A queue that comes and goes is a burst, which engines work off by
    themselves; one that stays only makes every answer later.
    """

    def __init__(self, half_life_ms: float) -> None:
        """Makes it empty.

        Args:
            half_life_ms: The time after which a queue counts half.
        """
        self._half_life_ms = half_life_ms
        self._at_ms = 0.0
        self._sum_ms = 0.0
        self._weight = 0.0

    def see(self, queue_ms: float, now_ms: float) -> float:
        """Takes a queue in and returns the mean of late.

        Args:
            queue_ms: The queue that a request would meet.
            now_ms: The time.
        """
        kept = 0.5 ** ((now_ms - self._at_ms) / self._half_life_ms)
        self._at_ms = now_ms
        self._sum_ms = self._sum_ms * kept + queue_ms
        self._weight = self._weight * kept + 1.0
        return self._sum_ms / self._weight


def retry_after_ms(
    estimate: choice.Estimate,
    objective_ms: float,
    rank: int,
    usual_ms: float,
    settings: TurnAwaySettings,
    randomness: random.Random,
) -> float | None:
    """Returns when a request is to come back, None if it is to be sent.

    The size of the request does not count, or the largest would be turned
    away whenever there is any queue. The load that it answers: arrivals
    above what engines can read for several seconds, in which first come,
    first served makes every answer late.

    Args:
        estimate: The best target and what is expected there.
        objective_ms: The time within which an answer is on time.
        rank: The rank of its route, 0 is first.
        usual_ms: The mean queue that requests met of late.
        settings: How long the queue may get.
        randomness: Spreads the times to come back.
    """
    if objective_ms <= 0:
        return None
    part = settings.queue_part if rank else settings.first_queue_part
    if rank and usual_ms > settings.standing_part * objective_ms:
        part = settings.standing_part
    excess_ms = estimate.queue_ms - part * objective_ms
    if excess_ms <= 0:
        return None
    least_ms = max(settings.least_retry_ms, excess_ms)
    return least_ms * randomness.uniform(1.0, 1.0 + settings.spread)


__all__ = ["TurnAwaySettings", "UsualQueue", "retry_after_ms"]
