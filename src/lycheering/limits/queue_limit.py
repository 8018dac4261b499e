"""Limits the expected queueing delay at which requests get a target."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class QueueLimitSettings:
    """Limits on the queueing delay, as fractions of the latency objective.

    Attributes:
        max_queue_fraction: Longest queueing delay, for all routes but the
            most urgent ones.
        sustained_queue_fraction: The same while the mean queueing delay
            exceeds this fraction.
        urgent_max_queue_fraction: The same for the most urgent routes, higher
            so that they are refused after all others.
        half_life_ms: Half-life of an observed queueing delay in the mean.
    """

    max_queue_fraction: float = 0.35
    sustained_queue_fraction: float = 0.15
    urgent_max_queue_fraction: float = 0.7
    half_life_ms: float = 1_500.0


class QueueLimit:
    """The queueing delay up to which requests of one priority are sent.

    It handles arrivals that exceed the prefill capacity of the engines for
    several seconds. Served in order of arrival, all of them would then be
    late. A short burst needs no refusals, as engines catch up on their own,
    whereas a queue that persists only delays every answer. The limit is
    therefore lower while the mean delay is high. The size of the request
    itself does not count, or the largest requests would be refused whenever
    there is any queue.

    Attributes:
        mean_queue_ms: Exponentially weighted mean queueing delay of recent
            requests.
    """

    def __init__(self, settings: QueueLimitSettings) -> None:
        """Creates a limit that has observed no queue yet.

        Args:
            settings: The fractions.
        """
        self.mean_queue_ms = 0.0
        self._settings = settings
        self._updated_ms = 0.0
        self._weighted_sum_ms = 0.0
        self._total_weight = 0.0

    def record(self, queue_ms: float, now_ms: float) -> None:
        """Records the queueing delay that a request would have.

        Args:
            queue_ms: The delay at the best target.
            now_ms: The current time.
        """
        elapsed_ms = now_ms - self._updated_ms
        decay = 0.5 ** (elapsed_ms / self._settings.half_life_ms)
        self._updated_ms = now_ms
        self._weighted_sum_ms = self._weighted_sum_ms * decay + queue_ms
        self._total_weight = self._total_weight * decay + 1.0
        self.mean_queue_ms = self._weighted_sum_ms / self._total_weight

    def is_sustained(self, objective_ms: float) -> bool:
        """Returns whether the queue has been long for some time."""
        limit_ms = self._settings.sustained_queue_fraction * objective_ms
        return self.mean_queue_ms > limit_ms

    def limit_ms(self, objective_ms: float, *, is_urgent: bool) -> float:
        """Returns the longest queueing delay that is accepted.

        Args:
            objective_ms: Latency objective of the route.
            is_urgent: Whether the request goes before ordinary ones.
        """
        settings = self._settings
        fraction = settings.max_queue_fraction
        if is_urgent:
            fraction = settings.urgent_max_queue_fraction
        elif self.is_sustained(objective_ms):
            fraction = settings.sustained_queue_fraction
        return fraction * objective_ms


__all__ = ["QueueLimit", "QueueLimitSettings"]
