"""Lets TCP connections notice peers that are gone without a word."""

from __future__ import annotations

import dataclasses
import socket as sockets


@dataclasses.dataclass(frozen=True)
class Probes:
    """When a connection is probed and given up.

    Attributes:
        idle_s: Idle time before the first probe.
        interval_s: Time between probes.
        count: Probes without an answer before it is given up.
        unacknowledged_ms: How long sent bytes may stay unacknowledged.
    """

    idle_s: int
    interval_s: int
    count: int
    unacknowledged_ms: int


CALLER_PROBES = Probes(15, 5, 3, 20_000)
TARGET_PROBES = Probes(3, 1, 3, 6_000)


def notice_dead_peers(socket: sockets.socket, probes: Probes) -> None:
    """Sets a connection, or all that a listener accepts, to be probed."""
    level = sockets.IPPROTO_TCP
    socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
    socket.setsockopt(level, sockets.TCP_KEEPIDLE, probes.idle_s)
    socket.setsockopt(level, sockets.TCP_KEEPINTVL, probes.interval_s)
    socket.setsockopt(level, sockets.TCP_KEEPCNT, probes.count)
    socket.setsockopt(level, sockets.TCP_USER_TIMEOUT, probes.unacknowledged_ms)
    socket.setsockopt(level, sockets.TCP_NODELAY, 1)


__all__ = ["CALLER_PROBES", "TARGET_PROBES", "Probes", "notice_dead_peers"]
