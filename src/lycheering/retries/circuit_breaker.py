"""Circuit breakers that keep requests away from failing targets."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock

INITIAL_OPEN_MS = 200.0
MAX_OPEN_MS = 5_000.0


@dataclasses.dataclass
class _CircuitBreaker:
    """The circuit breaker of a failing target.

    Attributes:
        failures: Number of consecutive failures.
        open_until_ms: When the target may be probed. Until then, it gets
            requests only if no other target is usable.
        probe_sent_ms: When the single request that probes it was sent.
    """

    failures: int = 0
    open_until_ms: float = 0.0
    probe_sent_ms: float | None = None


class CircuitBreakers:
    """The circuit breakers of one process, for failing targets only."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._breaker_by_target: dict[str, _CircuitBreaker] = {}

    def is_usable(self, target: str) -> bool:
        """Returns whether requests may be sent to a target now."""
        breaker = self._breaker_by_target.get(target)
        if breaker is None:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < breaker.open_until_ms:
            return False
        probe_ms = breaker.probe_sent_ms
        return probe_ms is None or now_ms - probe_ms > MAX_OPEN_MS

    def record_sent(self, target: str) -> None:
        """Records a request to a target, a probe if the target is failing."""
        breaker = self._breaker_by_target.get(target)
        if breaker is not None:
            breaker.probe_sent_ms = self._clock.now_ms()

    def record_success(self, target: str) -> None:
        """Records that a target responded."""
        self._breaker_by_target.pop(target, None)

    def record_failure(self, target: str) -> None:
        """Records a failure; each consecutive one doubles the open time."""
        breaker = self._breaker_by_target.setdefault(target, _CircuitBreaker())
        breaker.failures += 1
        backoff_ms = INITIAL_OPEN_MS * 2 ** min(breaker.failures - 1, 10)
        open_ms = min(MAX_OPEN_MS, backoff_ms)
        breaker.open_until_ms = self._clock.now_ms() + open_ms
        breaker.probe_sent_ms = None

    def retain(self, names: set[str]) -> None:
        """Forgets the targets that were removed from the fleet."""
        for target in list(self._breaker_by_target):
            if target not in names:
                del self._breaker_by_target[target]


__all__ = ["INITIAL_OPEN_MS", "MAX_OPEN_MS", "CircuitBreakers"]
