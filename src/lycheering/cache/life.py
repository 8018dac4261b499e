"""How long an unused block stays in an engine's cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock as clocks

SMOOTHING = 0.2
MAX_KEYS = 65_536


class EvictionAge:
    """Measures the time from a block's last use to its eviction.

    A short time means that the cache is too small for what it is asked.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._used_ms_by_key: dict[bytes, float] = {}
        self._age_ms = 0.0
        self._evicted_ms = 0.0

    @property
    def life_ms(self) -> float:
        """The time that unused blocks stay; 0 if none was evicted yet."""
        if not self._age_ms:
            return 0.0
        # what was not evicted since lives at least that long
        return max(self._age_ms, self._clock.now_ms() - self._evicted_ms)

    def used(self, keys: Iterable[bytes]) -> None:
        """Learns that blocks were used."""
        now_ms = self._clock.now_ms()
        for key in keys:
            self._used_ms_by_key.pop(key, None)
            self._used_ms_by_key[key] = now_ms
        while len(self._used_ms_by_key) > MAX_KEYS:
            del self._used_ms_by_key[next(iter(self._used_ms_by_key))]

    def evicted(self, key: bytes) -> None:
        """Learns that a block was evicted."""
        used_ms = self._used_ms_by_key.pop(key, None)
        if used_ms is None:
            return
        now_ms = self._clock.now_ms()
        age_ms = max(1.0, now_ms - used_ms)
        if self._age_ms:
            self._age_ms += SMOOTHING * (age_ms - self._age_ms)
        else:
            self._age_ms = age_ms
        self._evicted_ms = now_ms

    def cleared(self) -> None:
        """Learns that the cache is empty."""
        self._used_ms_by_key.clear()
        self._age_ms = 0.0


__all__ = ["EvictionAge"]
