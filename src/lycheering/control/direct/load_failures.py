"""Limits the loads of weights that engines do not survive."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.telemetry import counters

# engines that failed while they loaded weights, from which on the weights may
# be the cause
SUSPECTED_FAILURES = 2
# engines that load weights at the same time fail within this time
SAME_ROUND_MS = 1_000.0
FIRST_PAUSE_MS = 2_000.0
MAX_PAUSE_MS = 300_000.0

_LOG = logs.get("weights")


@dataclasses.dataclass
class _Failures:
    """The failed loads of one version.

    Attributes:
        version: The version.
        count: Number of failed loads.
        rounds: Number of times at which loads failed.
        last_ms: Time of the last one.
    """

    version: int
    count: int = 0
    rounds: int = 0
    last_ms: float = -math.inf


class LoadFailures:
    """Decides how many engines may load a version of weights at once.

    An engine that fails while it loads weights may have failed for another
    reason. If several do and no engine has loaded the version, single engines
    test it, with growing pauses, so that weights that crash engines do not
    crash all of them. The first engine that loads it ends this. Another version
    is another matter.
    """

    def __init__(self, time: clock.Clock, counts: counters.Counters) -> None:
        self._clock = time
        self._counters = counts
        self._failures_by_model: dict[str, _Failures] = {}

    def failed_models(self) -> list[str]:
        """Returns the models of which an engine failed in a load."""
        return list(self._failures_by_model)

    def record_failed(self, model: str, version: int, target: str) -> None:
        """Records that an engine failed after it had accepted an order.

        Args:
            model: The model.
            version: The version that it was ordered to load.
            target: Id of the engine, for the log.
        """
        failures = self._failures_by_model.get(model)
        if failures is None or version > failures.version:
            failures = self._failures_by_model[model] = _Failures(version)
        elif version < failures.version:
            return
        now_ms = self._clock.now_ms()
        failures.count += 1
        failures.rounds += now_ms - failures.last_ms >= SAME_ROUND_MS
        failures.last_ms = now_ms
        self._counters.increment("weights.load_broke_engine")
        _LOG.warning(
            "engine_failed_in_load",
            target=target,
            model=model,
            version=version,
            failures=failures.count,
            pause_ms=round(self._pause_ms(failures)),
        )

    def max_loads(
        self, model: str, version: int, *, is_loaded: bool
    ) -> int | None:
        """Returns how many engines may load a version at once.

        Args:
            model: The model.
            version: The version.
            is_loaded: Whether an engine serves this version or a newer one.

        Returns:
            The number of engines; None for no limit.
        """
        failures = self._failures_by_model.get(model)
        if failures is None or failures.version != version:
            return None
        if is_loaded:
            del self._failures_by_model[model]
            return None
        if failures.count < SUSPECTED_FAILURES:
            return None
        since_ms = self._clock.now_ms() - failures.last_ms
        return 1 if since_ms >= self._pause_ms(failures) else 0

    def _pause_ms(self, failures: _Failures) -> float:
        """Returns how long no engine loads the version after a failure."""
        if failures.count < SUSPECTED_FAILURES:
            return 0.0
        return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2.0 ** (failures.rounds - 1))


__all__ = ["LoadFailures"]
