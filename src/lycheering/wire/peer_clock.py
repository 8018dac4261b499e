"""Estimates a peer's clock."""

from __future__ import annotations

from lycheering import clock

# upper bound of the drift between the clocks of two machines
MAX_DRIFT_MS_PER_S = 0.5


class PeerClock:
    """A lower bound of a peer's clock, from timestamps in its frames.

    A timestamp is behind the peer's clock by the time until it arrives and
    is processed, so the reading with the highest offset is the most precise.
    """

    def __init__(self) -> None:
        self._incarnation = ""
        self._offset_ms = 0.0
        self._read_at_ms = 0.0

    def add_reading(
        self, incarnation: str, sent_at_ms: float, now_ms: float
    ) -> None:
        """Updates the estimate from a timestamp of the peer.

        Args:
            incarnation: The peer's incarnation.
            sent_at_ms: Time by the peer's clock when it sent the timestamp.
            now_ms: Current time by this process's clock.
        """
        offset_ms = sent_at_ms - now_ms
        if incarnation == self._incarnation:
            offset_ms = max(offset_ms, self._offset_after_drift_ms(now_ms))
        self._incarnation = incarnation
        self._offset_ms = offset_ms
        self._read_at_ms = now_ms

    def earliest_time_ms(self, own_time_ms: float) -> float:
        """Returns the earliest time on the peer's clock at a local time.

        Args:
            own_time_ms: Time by this process's clock.
        """
        return own_time_ms + self._offset_ms

    def _offset_after_drift_ms(self, now_ms: float) -> float:
        age_s = (now_ms - self._read_at_ms) / clock.MS_PER_S
        return self._offset_ms - MAX_DRIFT_MS_PER_S * age_s


__all__ = ["MAX_DRIFT_MS_PER_S", "PeerClock"]
