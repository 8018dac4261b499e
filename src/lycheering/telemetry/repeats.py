"""Keeps an event that repeats from filling the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock as clocks

if TYPE_CHECKING:
    from lycheering.telemetry import logs

REPEAT_INTERVAL_MS = 1_000


class RepeatedWarning:
    """Logs an event at once, then once in an interval with its count."""

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
        self._unlogged = 0

    def warn(self, **fields: object) -> None:
        """Logs the event, or counts it for the next line."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            self._unlogged += 1
            return
        self._next_ms = now_ms + REPEAT_INTERVAL_MS
        if self._unlogged:
            fields["unlogged"] = self._unlogged
        self._unlogged = 0
        self._log.warning(self._event, **fields)


__all__ = ["REPEAT_INTERVAL_MS", "RepeatedWarning"]
