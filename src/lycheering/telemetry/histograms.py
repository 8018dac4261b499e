"""Latency histograms and their text form."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.telemetry import counters

BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000)
MAX_LABELS = 200  # labels taken from outside cannot fill the memory
OVERFLOW_LABEL = "other"

_NAME = re.compile(r"[^a-zA-Z0-9_]")


class Histograms:
    """The latency histograms of one process, and all metrics as text."""

    def __init__(self, counts: counters.Counters) -> None:
        """Begins with no histogram.

        Args:
            counts: Counters and gauges that the text holds too.
        """
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = counts
        self._histogram_by_name: dict[str, prometheus_client.Histogram] = {}
        self._labels: set[str] = set()

    def observe(self, name: str, label: str, duration_ms: float) -> None:
        """Counts a duration under a label.

        Args:
            name: What was measured.
            label: For which part of the traffic.
            duration_ms: The duration.
        """
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                f"lycheering_{name}_ms",
                f"Time to {name} in milliseconds",
                ["label"],
                registry=self._registry,
                buckets=BUCKETS_MS,
            )
            self._histogram_by_name[name] = histogram
        if label not in self._labels and len(self._labels) >= MAX_LABELS:
            label = OVERFLOW_LABEL
        self._labels.add(label)
        histogram.labels(label).observe(duration_ms)

    def text(self) -> bytes:
        """Returns all metrics in the text form that scrapers read."""
        lines = list(_lines("counter", self._counters.value_by_name.items()))
        lines += _lines("gauge", self._counters.gauge_by_name.items())
        plain = "".join(f"{line}\n" for line in lines).encode()
        return plain + prometheus_client.generate_latest(self._registry)


def _lines(kind: str, items: Iterable[tuple[str, float]]) -> Iterable[str]:
    for name, value in sorted(items):
        metric = f"lycheering_{_NAME.sub('_', name)}"
        yield f"# TYPE {metric} {kind}"
        yield f"{metric} {value}"


__all__ = ["BUCKETS_MS", "Histograms"]
