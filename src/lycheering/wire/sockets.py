"""What both kinds of ZeroMQ sockets have in common."""

from __future__ import annotations

import asyncio
import typing

import zmq
import zmq.asyncio

from lycheering.wire import errors

if typing.TYPE_CHECKING:
    from lycheering.settings import model

RECONNECT_MS = 50
OVERSIZE_FACTOR = 2


def configure(
    socket: zmq.asyncio.Socket, settings: model.WireSettings, ip: str
) -> None:
    """Bounds what a socket holds and lets it use the address's family."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, settings.high_water_mark)
    socket.setsockopt(zmq.RCVHWM, settings.high_water_mark)
    # a frame somewhat too large is read and counted, a larger one cuts
    largest = OVERSIZE_FACTOR * settings.max_frame_bytes
    socket.setsockopt(zmq.MAXMSGSIZE, largest)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    if ":" in ip:
        socket.setsockopt(zmq.IPV6, 1)


def send_now(socket: zmq.asyncio.Socket, parts: list[bytes], peer: str) -> None:
    """Hands a frame to a socket without waiting.

    Args:
        socket: The socket.
        parts: The frame's parts.
        peer: The peer's name, for the error.

    Raises:
        PeerUnreachableError: If the peer has no connection or its queue
            is full.
    """
    try:
        sent = socket.send_multipart(parts, flags=zmq.NOBLOCK)
    except zmq.ZMQError as error:
        raise errors.PeerUnreachableError(peer) from error
    future = typing.cast("asyncio.Future[object]", sent)
    failure = future.exception() if future.done() else None
    if failure is not None:
        raise errors.PeerUnreachableError(peer) from failure


def check_size(data: bytes, settings: model.WireSettings) -> None:
    """Checks that a frame is not too large.

    Raises:
        MalformedFrameError: If it is.
    """
    if len(data) > settings.max_frame_bytes:
        raise errors.MalformedFrameError(f"{len(data)} bytes")


__all__ = [
    "OVERSIZE_FACTOR",
    "RECONNECT_MS",
    "check_size",
    "configure",
    "send_now",
]
