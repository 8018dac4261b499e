"""How many targets a hot prefix needs."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.routing import levels
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks

MAX_KEYS = 512
HALF_LIFE_MS = 3_000.0
OWN_HALF_LIFE_MS = 500.0
FIRST_SPAN_MS = 500.0
TARGET_USE = 0.6
SHRINK_USE = 0.4
SHRINK_AFTER_MS = 10_000.0


@dataclasses.dataclass
class _Demand:
    """The decayed work that one prefix brings.

    Attributes:
        work_ms: Work offered to all targets, decayed.
        own_ms: Work offered to this target, decayed.
        at_ms: When it was decayed last.
        since_ms: When the prefix was first seen.
        width: The width that is asked for now.
        low_since_ms: Since when a smaller one would do; 0 if not.
    """

    work_ms: float = 0.0
    own_ms: float = 0.0
    at_ms: float = 0.0
    since_ms: float = 0.0
    width: int = 1
    low_since_ms: float = 0.0


def _span_ms(age_ms: float, half_life_ms: float) -> float:
    """Returns the time that a decayed sum of steady work stands for."""
    tau_ms = half_life_ms / math.log(2)
    age_ms = max(age_ms, FIRST_SPAN_MS)
    return tau_ms * (1.0 - math.exp(-age_ms / tau_ms))


class WidthMeter:
    """Measures the work offered for each prefix and asks for a width.

    A prefix widens at once when its offered load is more than its
    targets can take, and shrinks one step at a time once a smaller
    width would have done for a while.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._demand_by_key: dict[str, _Demand] = {}

    def offer(
        self,
        level_key: str,
        work_ms: float,
        width: int,
        max_width: int,
    ) -> messages.WidthHint | None:
        """Adds the work of one request and returns the width to use.

        Args:
            level_key: The key of the prefix.
            work_ms: The target's time that the request takes.
            width: The targets that the sender spreads the prefix over.
            max_width: The largest width allowed.

        Returns:
            The hint, or None for a request without a prefix.
        """
        if not level_key:
            return None
        now_ms = self._clock.now_ms()
        demand = self._find(level_key, now_ms, width)
        # the request that ends the span counts only after it
        span_ms = _span_ms(now_ms - demand.since_ms, HALF_LIFE_MS)
        use = demand.work_ms / span_ms
        # this target sees one part of what is spread over several
        demand.work_ms += work_ms * max(1, width)
        demand.own_ms += work_ms
        wanted = min(max_width, max(1, math.ceil(use / TARGET_USE)))
        if wanted > demand.width:
            demand.width = wanted
            demand.low_since_ms = 0.0
        else:
            self._shrink(demand, use, now_ms)
        demand.width = min(demand.width, max_width)
        return messages.WidthHint(level_key, demand.width)

    def own_use(self, level_key: str) -> float:
        """Returns the share of this target's time that a prefix takes."""
        demand = self._demand_by_key.get(level_key[: levels.SHORT_KEY_CHARS])
        if demand is None:
            return 0.0
        now_ms = self._clock.now_ms()
        kept = math.pow(0.5, (now_ms - demand.at_ms) / OWN_HALF_LIFE_MS)
        span_ms = _span_ms(now_ms - demand.since_ms, OWN_HALF_LIFE_MS)
        return demand.own_ms * kept / span_ms

    def _shrink(self, demand: _Demand, use: float, now_ms: float) -> None:
        fits = use <= SHRINK_USE * (demand.width - 1)
        if demand.width == 1 or not fits:
            demand.low_since_ms = 0.0
        elif not demand.low_since_ms:
            demand.low_since_ms = now_ms
        elif now_ms - demand.low_since_ms >= SHRINK_AFTER_MS:
            demand.width -= 1
            demand.low_since_ms = now_ms

    def _find(self, level_key: str, now_ms: float, width: int) -> _Demand:
        # the key used last stands last, so that idle ones go first
        level_key = level_key[: levels.SHORT_KEY_CHARS]
        demand = self._demand_by_key.pop(level_key, None)
        if demand is None:
            demand = _Demand(at_ms=now_ms, since_ms=now_ms, width=max(1, width))
            while len(self._demand_by_key) >= MAX_KEYS:
                del self._demand_by_key[next(iter(self._demand_by_key))]
        self._demand_by_key[level_key] = demand
        elapsed_ms = now_ms - demand.at_ms
        demand.work_ms *= 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        demand.own_ms *= 0.5 ** (elapsed_ms / OWN_HALF_LIFE_MS)
        demand.at_ms = now_ms
        return demand


__all__ = ["MAX_KEYS", "WidthMeter"]
