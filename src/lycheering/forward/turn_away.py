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
        first_queue_part: The same for the most urgent routes, so that they
            are not turned away before the others.
        spread: How far the times to come back are spread.
        least_retry_ms: The shortest time to come back.
    """

    queue_part: float = 0.25
    first_queue_part: float = 0.7
    spread: float = 0.5
    least_retry_ms: float = 250.0


def retry_after_ms(
    estimate: choice.Estimate,
    objective_ms: float,
    rank: int,
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
        settings: How long the queue may get.
        randomness: Spreads the times to come back.
    """
    if objective_ms <= 0:
        return None
    part = settings.queue_part if rank else settings.first_queue_part
    excess_ms = estimate.queue_ms - part * objective_ms
    if excess_ms <= 0:
        return None
    least_ms = max(settings.least_retry_ms, excess_ms)
    return least_ms * randomness.uniform(1.0, 1.0 + settings.spread)


__all__ = ["TurnAwaySettings", "retry_after_ms"]
