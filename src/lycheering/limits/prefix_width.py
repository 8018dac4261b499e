"""Computes how many targets a hot prefix needs."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.routing import levels
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks

MAX_PREFIXES = 512
HALF_LIFE_MS = 3_000.0
LOCAL_HALF_LIFE_MS = 500.0
MIN_SPAN_MS = 500.0
MAX_UTILIZATION = 0.6
SHRINK_UTILIZATION = 0.4
SHRINK_DELAY_MS = 10_000.0


@dataclasses.dataclass
class _PrefixLoad:
    """The recent work that requests with one prefix cause.

    Attributes:
        fleet_work_ms: Work at all targets, with exponential decay.
        local_work_ms: Work at this target, with exponential decay.
        decayed_ms: When the sums were last decayed.
        first_seen_ms: When the first request with the prefix arrived.
        width: The current width.
        low_since_ms: Since when a smaller width suffices; 0 if it doesn't.
    """

    fleet_work_ms: float = 0.0
    local_work_ms: float = 0.0
    decayed_ms: float = 0.0
    first_seen_ms: float = 0.0
    width: int = 1
    low_since_ms: float = 0.0


def _span_ms(age_ms: float, half_life_ms: float) -> float:
    """Returns the time that a decayed sum is divided by for a rate."""
    time_constant_ms = half_life_ms / math.log(2)
    age_ms = max(age_ms, MIN_SPAN_MS)
    return time_constant_ms * (1.0 - math.exp(-age_ms / time_constant_ms))


class PrefixWidthController:
    """Measures the work of each prefix and derives its width.

    A prefix is widened at once when its load exceeds what its targets can
    serve. It is narrowed by one target at a time, after a smaller width has
    sufficed for a while.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._load_by_key: dict[str, _PrefixLoad] = {}

    def record_request(
        self,
        level_key: str,
        work_ms: float,
        width: int,
        max_width: int,
    ) -> messages.WidthHint | None:
        """Adds the work of one request and returns the width to use.

        Args:
            level_key: The key of the prefix; empty without one.
            work_ms: The time that the request occupies the target.
            width: The number of targets that the sending entry spreads the
                prefix over.
            max_width: The largest allowed width.

        Returns:
            The width hint, or None for a request without a prefix.
        """
        if not level_key:
            return None
        now_ms = self._clock.now_ms()
        load = self._decayed_load(level_key, now_ms, width)
        # the span ends with this request, so that its work is added later
        span_ms = _span_ms(now_ms - load.first_seen_ms, HALF_LIFE_MS)
        utilization = load.fleet_work_ms / span_ms
        # the prefix's other targets get as many requests as this one
        load.fleet_work_ms += work_ms * max(1, width)
        load.local_work_ms += work_ms
        needed_width = min(
            max_width, max(1, math.ceil(utilization / MAX_UTILIZATION))
        )
        if needed_width > load.width:
            load.width = needed_width
            load.low_since_ms = 0.0
        else:
            self._shrink(load, utilization, now_ms)
        load.width = min(load.width, max_width)
        return messages.WidthHint(level_key, load.width)

    def local_utilization(self, level_key: str) -> float:
        """Returns the fraction of this target's time that a prefix takes."""
        load = self._load_by_key.get(level_key[: levels.SHORT_KEY_CHARS])
        if load is None:
            return 0.0
        now_ms = self._clock.now_ms()
        decay = math.pow(0.5, (now_ms - load.decayed_ms) / LOCAL_HALF_LIFE_MS)
        span_ms = _span_ms(now_ms - load.first_seen_ms, LOCAL_HALF_LIFE_MS)
        return load.local_work_ms * decay / span_ms

    def _shrink(
        self, load: _PrefixLoad, utilization: float, now_ms: float
    ) -> None:
        fits = utilization <= SHRINK_UTILIZATION * (load.width - 1)
        if load.width == 1 or not fits:
            load.low_since_ms = 0.0
        elif not load.low_since_ms:
            load.low_since_ms = now_ms
        elif now_ms - load.low_since_ms >= SHRINK_DELAY_MS:
            load.width -= 1
            load.low_since_ms = now_ms

    def _decayed_load(
        self, level_key: str, now_ms: float, width: int
    ) -> _PrefixLoad:
        # keeps the keys in order of use, so that idle ones are evicted first
        level_key = level_key[: levels.SHORT_KEY_CHARS]
        load = self._load_by_key.pop(level_key, None)
        if load is None:
            load = _PrefixLoad(
                decayed_ms=now_ms, first_seen_ms=now_ms, width=max(1, width)
            )
            while len(self._load_by_key) >= MAX_PREFIXES:
                del self._load_by_key[next(iter(self._load_by_key))]
        self._load_by_key[level_key] = load
        elapsed_ms = now_ms - load.decayed_ms
        load.fleet_work_ms *= 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        load.local_work_ms *= 0.5 ** (elapsed_ms / LOCAL_HALF_LIFE_MS)
        load.decayed_ms = now_ms
        return load


__all__ = ["MAX_PREFIXES", "PrefixWidthController"]
