"""Lets TCP connections notice peers that are gone without a word."""

from __future__ import annotations

import socket as sockets

KEEP_ALIVE_IDLE_S = 15
KEEP_ALIVE_INTERVAL_S = 5
KEEP_ALIVE_COUNT = 3
UNACKNOWLEDGED_TIMEOUT_MS = 20_000


def notice_dead_peers(socket: sockets.socket) -> None:
    """Sets a connection, or all that a listener accepts, to be probed."""
    level = sockets.IPPROTO_TCP
    socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
    socket.setsockopt(level, sockets.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    socket.setsockopt(level, sockets.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    socket.setsockopt(level, sockets.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
    socket.setsockopt(
        level, sockets.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    socket.setsockopt(level, sockets.TCP_NODELAY, 1)


__all__ = ["notice_dead_peers"]
