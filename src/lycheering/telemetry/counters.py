"""Counters and gauges, kept in memory and optionally sent to statsd."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from lycheering.settings import model

# Names may contain external input, so their number is limited to bound memory.
MAX_NAMES = 2_000
OVERFLOW_NAME = "overflow"


class Counters:
    """The counters and gauges of one process.

    Attributes:
        value_by_name: Value of each counter since the process started.
        gauge_by_name: Last value of each gauge.
    """

    def __init__(self, settings: model.MetricsSettings | None = None) -> None:
        self.value_by_name: collections.Counter[str] = collections.Counter()
        self.gauge_by_name: dict[str, float] = {}
        self._client: statsd.StatsClient | None = None
        if settings is not None and settings.statsd_ip:
            self._client = statsd.StatsClient(
                settings.statsd_ip,
                settings.statsd_port,
                prefix=settings.prefix,
            )

    def increment(self, name: str, amount: int = 1) -> None:
        """Adds to a counter; the counter is created on first use.

        Beyond the limit of names, a shared overflow counter is used instead.
        """
        is_known = name in self.value_by_name
        if not is_known and len(self.value_by_name) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self.value_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge; ignores new names beyond the limit."""
        is_known = name in self.gauge_by_name
        if not is_known and len(self.gauge_by_name) >= MAX_NAMES:
            return
        self.gauge_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def remove_gauge(self, name: str) -> None:
        """Removes a gauge whose value is not known any more."""
        self.gauge_by_name.pop(name, None)

    def count_refusal(self, reason: str) -> None:
        """Counts a refusal by its reason."""
        self.increment(f"refusal.{reason}")

    def count_retry(self, reason: str) -> None:
        """Counts a retry by its reason."""
        self.increment(f"retry.{reason}")


__all__ = ["MAX_NAMES", "OVERFLOW_NAME", "Counters"]
