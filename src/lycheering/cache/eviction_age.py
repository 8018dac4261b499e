"""Estimates how long an unused block stays in an engine's cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock as clocks

SMOOTHING = 0.2
MAX_TRACKED_BLOCKS = 65_536


class EvictionAge:
    """Averages the time from a block's last use to its eviction.

    A short time means that the cache is too small for its load.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_used_ms_by_key: dict[bytes, float] = {}
        self._average_age_ms = 0.0
        self._last_eviction_ms = 0.0

    @property
    def idle_lifetime_ms(self) -> float:
        """The time that unused blocks stay; 0 before the first eviction."""
        if not self._average_age_ms:
            return 0.0
        # Without an eviction since, unused blocks stay at least that long.
        return max(
            self._average_age_ms, self._clock.now_ms() - self._last_eviction_ms
        )

    def record_use(self, keys: Iterable[bytes]) -> None:
        """Records that blocks were used."""
        now_ms = self._clock.now_ms()
        for key in keys:
            self._last_used_ms_by_key.pop(key, None)
            self._last_used_ms_by_key[key] = now_ms
        while len(self._last_used_ms_by_key) > MAX_TRACKED_BLOCKS:
            del self._last_used_ms_by_key[next(iter(self._last_used_ms_by_key))]

    def record_eviction(self, key: bytes) -> None:
        """Updates the average, unless the block's last use is unknown."""
        last_used_ms = self._last_used_ms_by_key.pop(key, None)
        if last_used_ms is None:
            return
        now_ms = self._clock.now_ms()
        age_ms = max(1.0, now_ms - last_used_ms)
        if self._average_age_ms:
            self._average_age_ms += SMOOTHING * (age_ms - self._average_age_ms)
        else:
            self._average_age_ms = age_ms
        self._last_eviction_ms = now_ms

    def reset(self) -> None:
        """Discards all uses and the average, as the cache was cleared."""
        self._last_used_ms_by_key.clear()
        self._average_age_ms = 0.0


__all__ = ["EvictionAge"]
