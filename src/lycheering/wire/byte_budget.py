"""Bounds the bytes that a process spends on agents besides requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock as clocks

if TYPE_CHECKING:
    from lycheering.settings import model

# with the headers of TCP and IP and the packets that acknowledge
HEARTBEAT_BYTES = 262
ASK_BYTES = 390
CONNECT_BYTES = 1_600

MAX_IDLE_HEARTBEAT_MS = 600_000
# a larger one is neither kept connected nor asked without a bound
MAX_SMALL_FLEET = 64
HEARTBEAT_SHARE = 0.1
ASK_SHARE = 0.5  # of what is saved up, for one request
# what one agent alone tells can't be compared with anything
LEAST_ASKS = 2
BURST_S = 2.0
DEBT_S = 10.0


class ByteBudget:
    """Spreads a rate of bytes over heartbeats, new connections and asking.

    In a small fleet heartbeats have all of it, and the rest is not bounded.
    In a larger one heartbeats have a share. New connections and asking have
    the rest; connections that requests need are made whatever is left, and
    asking has what they leave.

    Attributes:
        targets: The targets in the fleet view.
        connections: The connections to agents that are open.
    """

    def __init__(
        self, settings: model.WireSettings, clock: clocks.Clock
    ) -> None:
        self.targets = 0
        self.connections = 0
        self._settings = settings
        self._clock = clock
        self._rate_per_s = (1 - HEARTBEAT_SHARE) * settings.control_bytes_per_s
        self._saved_bytes = BURST_S * self._rate_per_s
        self._filled_ms = clock.now_ms()

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for what small ones do."""
        return self.targets > MAX_SMALL_FLEET

    def heartbeat_ms(self) -> float:
        """Returns the time between heartbeats on an idle connection."""
        share = HEARTBEAT_SHARE if self.is_large else 1.0
        bytes_per_ms = (
            share * self._settings.control_bytes_per_s / clocks.MS_PER_S
        )
        even_ms = self.connections * HEARTBEAT_BYTES / bytes_per_ms
        least_ms: float = self._settings.heartbeat_ms
        return max(least_ms, min(MAX_IDLE_HEARTBEAT_MS, even_ms))

    def asks(self) -> int:
        """Returns how many agents may be asked for one request."""
        self._fill()
        allowed = int(ASK_SHARE * self._saved_bytes / ASK_BYTES)
        return allowed if allowed >= LEAST_ASKS else 0

    def spend(self, count: int, bytes_each: int) -> None:
        """Notes what was sent."""
        self._fill()
        least = -DEBT_S * self._rate_per_s
        self._saved_bytes -= count * bytes_each
        self._saved_bytes = max(least, self._saved_bytes)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._filled_ms) / clocks.MS_PER_S
        self._filled_ms = now_ms
        most = BURST_S * self._rate_per_s
        self._saved_bytes += elapsed_s * self._rate_per_s
        self._saved_bytes = min(most, self._saved_bytes)


__all__ = [
    "ASK_BYTES",
    "CONNECT_BYTES",
    "HEARTBEAT_BYTES",
    "MAX_IDLE_HEARTBEAT_MS",
    "MAX_SMALL_FLEET",
    "ByteBudget",
]
