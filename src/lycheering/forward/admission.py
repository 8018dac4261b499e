"""Admission control: rejects requests that would wait for too long."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.forward import target_selection


@dataclasses.dataclass(frozen=True)
class AdmissionSettings:
    """Limits on the queueing delay at engines.

    Attributes:
        max_queue_fraction: Longest queueing delay that is admitted, as a
            fraction of the latency objective, for all routes but the most
            urgent ones.
        sustained_queue_fraction: The same while the mean queueing delay
            exceeds this fraction.
        urgent_max_queue_fraction: The same for the most urgent routes, higher
            so that they are rejected after all others.
        retry_jitter: Largest random addition to a retry delay, as a fraction
            of it.
        min_retry_ms: Shortest retry delay.
        half_life_ms: Half-life of an observed queueing delay in the mean.
    """

    max_queue_fraction: float = 0.35
    sustained_queue_fraction: float = 0.15
    urgent_max_queue_fraction: float = 0.7
    retry_jitter: float = 0.5
    min_retry_ms: float = 250.0
    half_life_ms: float = 1_500.0


@dataclasses.dataclass(frozen=True)
class Rejection:
    """The decision not to admit a request.

    Attributes:
        queue_ms: Queueing delay that the request would have had.
        mean_queue_ms: Mean queueing delay of recent requests.
        retry_after_ms: Time after which the caller may retry.
    """

    queue_ms: float
    mean_queue_ms: float
    retry_after_ms: float


class AdmissionController:
    """Admits or rejects requests by their expected queueing delay.

    It handles arrivals that exceed the prefill capacity of the engines for
    several seconds. Served in order of arrival, all of them would then be
    late. A short burst needs no rejections, as engines catch up on their own,
    whereas a queue that persists only delays every answer. The limit is
    therefore lower while the mean delay is high. The size of the request
    itself does not count, or the largest requests would be rejected whenever
    there is any queue.

    Attributes:
        mean_queue_ms: Exponentially weighted mean queueing delay of recent
            requests.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        """Creates a controller that has observed no queue yet.

        Args:
            settings: Limits on the queueing delay.
            rng: Source of randomness for the jitter of retry delays.
        """
        self.mean_queue_ms = 0.0
        self._settings = settings
        self._rng = rng
        self._updated_ms = 0.0
        self._weighted_sum_ms = 0.0
        self._total_weight = 0.0

    def check(
        self,
        estimate: target_selection.Estimate,
        objective_ms: float,
        priority: int,
        now_ms: float,
    ) -> Rejection | None:
        """Records a request's queueing delay; returns a rejection if too long.

        Args:
            estimate: The best target and the expected delays there.
            objective_ms: Latency objective of the route; 0 for a route
                without one, whose requests are always admitted.
            priority: Priority of the route; 0 is the most urgent.
            now_ms: The current time.
        """
        self._update(estimate.queue_ms, now_ms)
        if objective_ms <= 0:
            return None
        settings = self._settings
        fraction = (
            settings.max_queue_fraction
            if priority
            else settings.urgent_max_queue_fraction
        )
        if (
            priority
            and self.mean_queue_ms
            > settings.sustained_queue_fraction * objective_ms
        ):
            fraction = settings.sustained_queue_fraction
        excess_ms = estimate.queue_ms - fraction * objective_ms
        if excess_ms <= 0:
            return None
        retry_ms = max(settings.min_retry_ms, excess_ms)
        return Rejection(
            estimate.queue_ms,
            self.mean_queue_ms,
            retry_ms * self._rng.uniform(1.0, 1.0 + settings.retry_jitter),
        )

    def _update(self, queue_ms: float, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        decay = 0.5 ** (elapsed_ms / self._settings.half_life_ms)
        self._updated_ms = now_ms
        self._weighted_sum_ms = self._weighted_sum_ms * decay + queue_ms
        self._total_weight = self._total_weight * decay + 1.0
        self.mean_queue_ms = self._weighted_sum_ms / self._total_weight


__all__ = ["AdmissionController", "AdmissionSettings", "Rejection"]
