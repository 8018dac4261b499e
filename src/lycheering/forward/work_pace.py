"""Estimates how long work takes at a target now, from its load reports."""

from __future__ import annotations

import math

USUAL_PERCENT = 100.0
# Reports are noisy. Those of the last moments count as one, so that a single
# odd one moves the estimate by a part only.
RECENT_HALF_LIFE_MS = 60.0
# A deviation from the target's own mean lasts for a short time only.
DEVIATION_HALF_LIFE_MS = 250.0
# A target that turned slow for good is told from one that is slow for now.
MEAN_HALF_LIFE_MS = 4_000.0
# a report counts as at most this many times the mean, or as little
MAX_RATIO = 4.0
# Weight, in reports, of the assumption that work takes as long as usual. It
# prevails once a target has not reported for some ten half-lives.
USUAL_WEIGHT = 0.05
# Prefixes that move to another target are prefilled again, so only a lasting
# pace changes a preference.
LASTING_HALF_LIFE_MS = 16_000.0
# Preferences change in steps, so that entries that heard of different reports
# still agree on most prefixes.
PREFERENCE_STEPS_PER_DOUBLING = 2
# part of a step by which the mean must be past the middle to change it
PREFERENCE_HYSTERESIS = 0.25


class WorkPace:
    """How long work takes at one target, relative to what is usual.

    The expected factor is the mean of the reports, plus the deviation of the
    most recent ones from that mean, as far as it is expected to last. Reports
    may arrive late and in any order, through this entry or another.

    Attributes:
        preference: Weight by which prefixes prefer the target; 1 if work takes
            as long as usual on average.
    """

    def __init__(self) -> None:
        self._mean = _DecayingMean(MEAN_HALF_LIFE_MS)
        self._recent = _DecayingMean(RECENT_HALF_LIFE_MS)
        self._lasting = _DecayingMean(LASTING_HALF_LIFE_MS)
        self._newest_ms = -math.inf
        self._preference_step = 0
        self.preference = 1.0

    @property
    def is_known(self) -> bool:
        """Whether the target ever reported its pace."""
        return self._newest_ms > -math.inf

    def observe(self, percent: float, age_ms: float, now_ms: float) -> None:
        """Adds a report.

        Args:
            percent: How long work takes; 100 is usual, more is slower.
            age_ms: How long ago the target said so.
            now_ms: The current time.
        """
        mean = self._mean.value(now_ms, USUAL_WEIGHT)
        factor = percent / USUAL_PERCENT
        factor = min(mean * MAX_RATIO, max(mean / MAX_RATIO, factor))
        self._mean.add(factor, age_ms, now_ms)
        self._recent.add(factor, age_ms, now_ms)
        self._lasting.add(factor, age_ms, now_ms)
        self._newest_ms = max(self._newest_ms, now_ms - age_ms)
        self._update_preference(now_ms)

    def mean_factor(self, now_ms: float) -> float:
        """Returns how much longer than usual work takes that lasts seconds."""
        return self._mean.value(now_ms, USUAL_WEIGHT)

    def time_factor(self, now_ms: float) -> float:
        """Returns how much longer than usual work takes that is sent now."""
        if not self.is_known:
            return 1.0
        mean = self._mean.value(now_ms, USUAL_WEIGHT)
        age_ms = max(0.0, now_ms - self._newest_ms)
        deviation = self._recent.value(now_ms) - mean
        remaining = float(0.5 ** (age_ms / DEVIATION_HALF_LIFE_MS))
        return mean + deviation * remaining

    def _update_preference(self, now_ms: float) -> None:
        mean = self._lasting.value(now_ms, USUAL_WEIGHT)
        steps = -math.log2(mean) * PREFERENCE_STEPS_PER_DOUBLING
        distance = abs(steps - self._preference_step)
        if distance > 0.5 + PREFERENCE_HYSTERESIS:
            self._preference_step = round(steps)
            self.preference = 2.0 ** (
                self._preference_step / PREFERENCE_STEPS_PER_DOUBLING
            )


class _DecayingMean:
    """A mean in which values count less as they age."""

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._sum = 0.0
        self._weight = 0.0
        self._updated_ms = 0.0

    def add(self, value: float, age_ms: float, now_ms: float) -> None:
        """Adds a value that is `age_ms` old."""
        decay = self._decay(now_ms - self._updated_ms)
        weight = self._decay(age_ms)
        self._updated_ms = now_ms
        self._sum = self._sum * decay + value * weight
        self._weight = self._weight * decay + weight

    def value(self, now_ms: float, usual_weight: float = 0.0) -> float:
        """Returns the mean.

        Args:
            now_ms: The current time.
            usual_weight: Weight of the value 1, compared with a new value.
        """
        if not usual_weight:
            return self._sum / self._weight
        decay = self._decay(now_ms - self._updated_ms)
        return (self._sum * decay + usual_weight) / (
            self._weight * decay + usual_weight
        )

    def _decay(self, age_ms: float) -> float:
        return float(0.5 ** (max(0.0, age_ms) / self._half_life_ms))


__all__ = ["USUAL_PERCENT", "WorkPace"]
