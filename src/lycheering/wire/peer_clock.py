"""What a process knows of a peer's clock."""

from __future__ import annotations

from lycheering import clock

# the most that two machines' clocks are taken to drift apart
DRIFT_MS_PER_S = 0.5


class PeerClock:
    """A peer's clock, known too early rather than too late.

    A reading is early by the time that it took to arrive and to be read, so
    that the highest one is the best.
    """

    def __init__(self) -> None:
        self._incarnation = ""
        self._offset_ms = 0.0
        self._read_at_ms = 0.0

    def read(self, incarnation: str, told_ms: float, now_ms: float) -> None:
        """Takes a reading in.

        Args:
            incarnation: The peer's incarnation.
            told_ms: The peer's time when it sent the reading.
            now_ms: The own time now.
        """
        offset_ms = told_ms - now_ms
        if incarnation == self._incarnation:
            offset_ms = max(offset_ms, self._aged_offset_ms(now_ms))
        self._incarnation = incarnation
        self._offset_ms = offset_ms
        self._read_at_ms = now_ms

    def time_ms(self, own_time_ms: float) -> float:
        """Returns a time of this process by the peer's clock, or earlier."""
        return own_time_ms + self._offset_ms

    def _aged_offset_ms(self, now_ms: float) -> float:
        age_s = (now_ms - self._read_at_ms) / clock.MS_PER_S
        return self._offset_ms - DRIFT_MS_PER_S * age_s


__all__ = ["DRIFT_MS_PER_S", "PeerClock"]
