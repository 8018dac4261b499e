"""TCP keep-alive settings, which detect peers that vanished silently."""

from __future__ import annotations

import dataclasses
import socket as sockets


@dataclasses.dataclass(frozen=True)
class KeepaliveSettings:
    """When an idle connection is probed, and when it is closed as dead.

    Attributes:
        idle_s: Idle time before the first probe.
        interval_s: Time between probes.
        count: Number of unanswered probes after which it is closed.
        unacknowledged_ms: Time after which it is closed if sent bytes were not
            acknowledged.
    """

    idle_s: int
    interval_s: int
    count: int
    unacknowledged_ms: int


CALLER_KEEPALIVE = KeepaliveSettings(15, 5, 3, 20_000)
TARGET_KEEPALIVE = KeepaliveSettings(3, 1, 3, 6_000)


def configure(socket: sockets.socket, settings: KeepaliveSettings) -> None:
    """Enables keep-alive probes on a connection.

    Connections that a listening socket accepts inherit its settings. Nagle's
    algorithm is disabled too, so that small writes are sent at once.
    """
    level = sockets.IPPROTO_TCP
    socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
    socket.setsockopt(level, sockets.TCP_KEEPIDLE, settings.idle_s)
    socket.setsockopt(level, sockets.TCP_KEEPINTVL, settings.interval_s)
    socket.setsockopt(level, sockets.TCP_KEEPCNT, settings.count)
    socket.setsockopt(
        level, sockets.TCP_USER_TIMEOUT, settings.unacknowledged_ms
    )
    socket.setsockopt(level, sockets.TCP_NODELAY, 1)


__all__ = [
    "CALLER_KEEPALIVE",
    "TARGET_KEEPALIVE",
    "KeepaliveSettings",
    "configure",
]
