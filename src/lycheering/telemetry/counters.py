"""Counters kept in the process and sent on by statsd."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from lycheering.settings import model

MAX_NAMES = 2_000  # a name taken from outside cannot fill the memory
OVERFLOW_NAME = "overflow"


class Counters:
    """The counters and gauges of one process.

    Attributes:
        value_by_name: Every counter's value since the process started.
        gauge_by_name: Every gauge's last value.
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
        """Adds to a counter, made on first use."""
        known = name in self.value_by_name
        if not known and len(self.value_by_name) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self.value_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        known = name in self.gauge_by_name
        if not known and len(self.gauge_by_name) >= MAX_NAMES:
            return
        self.gauge_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def refusal(self, reason: str) -> None:
        """Counts one refusal by its reason."""
        self.increment(f"refusal.{reason}")

    def retry(self, reason: str) -> None:
        """Counts one retry by its reason."""
        self.increment(f"retry.{reason}")


__all__ = ["MAX_NAMES", "OVERFLOW_NAME", "Counters"]
