"""Latency histograms, and all metrics in the Prometheus text format."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.telemetry import counters

BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000)
# Labels may contain external input, so their number is limited to bound memory.
MAX_LABELS = 200
OVERFLOW_LABEL = "other"

_INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


class Histograms:
    """The latency histograms of one process, and all metrics as text."""

    def __init__(self, counts: counters.Counters) -> None:
        """Creates an empty set of histograms.

        Args:
            counts: Counters and gauges to include in the text.
        """
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = counts
        self._histogram_by_name: dict[str, prometheus_client.Histogram] = {}
        self._labels: set[str] = set()

    def observe(self, name: str, label: str, duration_ms: float) -> None:
        """Adds a duration to a histogram, which is created on first use.

        Args:
            name: Name of the measured step, which is part of the metric name.
            label: Label value, which identifies a part of the traffic.
            duration_ms: The measured duration.
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
        """Returns all metrics in the Prometheus text format."""
        lines = list(_lines("counter", self._counters.value_by_name.items()))
        lines += _lines("gauge", self._counters.gauge_by_name.items())
        counters_text = "".join(f"{line}\n" for line in lines).encode()
        return counters_text + prometheus_client.generate_latest(self._registry)


def _lines(kind: str, items: Iterable[tuple[str, float]]) -> Iterable[str]:
    for name, value in sorted(items):
        metric = f"lycheering_{_INVALID_CHARACTER.sub('_', name)}"
        yield f"# TYPE {metric} {kind}"
        yield f"{metric} {value}"


__all__ = ["BUCKETS_MS", "Histograms"]
