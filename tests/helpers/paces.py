"""Simulated paces of targets that share their machines with others."""

from __future__ import annotations

import bisect
import random

SPELL_MS = 500.0
SPELL_SHARE = 0.15
SPELL_FACTOR = 2.5
NOISE = 0.15


class Pace:
    """How long work takes: a level, slow spells, and noise in reports."""

    def __init__(self, seed, level=1.0, duration_ms=150_000.0):
        self._rng = random.Random(seed)
        self._begins_ms = []
        self._factors = []
        now_ms = 0.0
        while now_ms < duration_ms:
            is_slow = self._rng.random() < SPELL_SHARE
            self._begins_ms.append(now_ms)
            self._factors.append(level * (SPELL_FACTOR if is_slow else 1.0))
            now_ms += self._rng.expovariate(1 / SPELL_MS)
        self._level = level
        self.boost = None

    def factor(self, now_ms):
        if self.boost is not None:
            begin_ms, end_ms, speedup = self.boost
            if begin_ms <= now_ms < end_ms:
                return self._level / speedup
        number = bisect.bisect_right(self._begins_ms, now_ms) - 1
        return self._factors[max(0, number)]

    def percent(self, now_ms):
        """Returns what the target says, with noise."""
        noise = self._rng.uniform(1 - NOISE, 1 + NOISE)
        return 100 * self.factor(now_ms) * noise


__all__ = ["Pace"]
