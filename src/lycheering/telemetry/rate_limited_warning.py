"""Rate limit for warnings that repeat often."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock as clocks

if TYPE_CHECKING:
    from lycheering.telemetry import logs

REPEAT_INTERVAL_MS = 1_000


class RateLimitedWarning:
    """A warning that is logged at most once per interval.

    The first warning is logged at once. Later ones within the interval are only
    counted, and the count is logged with the next line.
    """

    def __init__(
        self,
        log: logs.EventLog,
        event: str,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._log = log
        self._event = event
        self._clock = clock or clocks.Clock()
        self._next_ms = 0.0
        self._suppressed_count = 0

    def warn(self, **fields: object) -> None:
        """Logs the warning, or only counts it within the interval."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            self._suppressed_count += 1
            return
        self._next_ms = now_ms + REPEAT_INTERVAL_MS
        if self._suppressed_count:
            fields["suppressed"] = self._suppressed_count
        self._suppressed_count = 0
        self._log.warning(self._event, **fields)


__all__ = ["REPEAT_INTERVAL_MS", "RateLimitedWarning"]
