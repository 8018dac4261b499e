"""Limits the bandwidth of traffic to agents other than requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock as clocks

if TYPE_CHECKING:
    from lycheering.settings import model

# bytes on the network, including TCP/IP headers and acknowledgements
HEARTBEAT_BYTES = 262
INQUIRY_BYTES = 390
CONNECT_BYTES = 1_600

MAX_IDLE_HEARTBEAT_MS = 600_000
# In larger fleets, staying connected to all agents and sending cache
# inquiries without a limit would cost too much bandwidth.
MAX_SMALL_FLEET_TARGETS = 64
HEARTBEAT_SHARE = 0.1
INQUIRY_SHARE = 0.5  # of the available bytes, for one request
# the reply of a single agent can't be compared with another
MIN_INQUIRIES = 2
MAX_SAVED_S = 2.0
MAX_DEBT_S = 10.0


class ByteBudget:
    """Divides a byte rate among heartbeats, new connections and inquiries.

    In a small fleet, heartbeats use the whole rate and the rest is not
    limited. In a large fleet, heartbeats use a fixed share. The remainder
    fills a token bucket for new connections and cache inquiries: connections
    that requests need are always made, even if this overdraws the bucket,
    and inquiries use what is left.

    Attributes:
        target_count: Number of targets in the fleet view.
        connection_count: Number of open connections to agents.
    """

    def __init__(
        self, settings: model.WireSettings, clock: clocks.Clock
    ) -> None:
        self.target_count = 0
        self.connection_count = 0
        self._settings = settings
        self._clock = clock
        self._rate_per_s = (1 - HEARTBEAT_SHARE) * settings.control_bytes_per_s
        self._available_bytes = MAX_SAVED_S * self._rate_per_s
        self._refilled_ms = clock.now_ms()

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet has too many targets for unlimited inquiries."""
        return self.target_count > MAX_SMALL_FLEET_TARGETS

    def heartbeat_interval_ms(self) -> float:
        """Returns the heartbeat interval of an idle connection."""
        share = HEARTBEAT_SHARE if self.is_large_fleet else 1.0
        bytes_per_ms = (
            share * self._settings.control_bytes_per_s / clocks.MS_PER_S
        )
        interval_ms = self.connection_count * HEARTBEAT_BYTES / bytes_per_ms
        min_interval_ms: float = self._settings.heartbeat_ms
        return max(min_interval_ms, min(MAX_IDLE_HEARTBEAT_MS, interval_ms))

    def allowed_inquiries(self) -> int:
        """Returns how many agents may be sent an inquiry for one request."""
        self._refill()
        allowed = int(INQUIRY_SHARE * self._available_bytes / INQUIRY_BYTES)
        return allowed if allowed >= MIN_INQUIRIES else 0

    def spend(self, count: int, bytes_each: int) -> None:
        """Subtracts sent bytes from the available bytes."""
        self._refill()
        min_bytes = -MAX_DEBT_S * self._rate_per_s
        self._available_bytes -= count * bytes_each
        self._available_bytes = max(min_bytes, self._available_bytes)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._refilled_ms) / clocks.MS_PER_S
        self._refilled_ms = now_ms
        max_bytes = MAX_SAVED_S * self._rate_per_s
        self._available_bytes += elapsed_s * self._rate_per_s
        self._available_bytes = min(max_bytes, self._available_bytes)


__all__ = [
    "INQUIRY_BYTES",
    "CONNECT_BYTES",
    "HEARTBEAT_BYTES",
    "MAX_IDLE_HEARTBEAT_MS",
    "MAX_SMALL_FLEET_TARGETS",
    "ByteBudget",
]
