"""ZeroMQ sockets as one task reads them and any code writes to them."""

from __future__ import annotations

import asyncio
import resource
import typing

import zmq
import zmq.asyncio

from lycheering.wire import errors

if typing.TYPE_CHECKING:
    from lycheering.settings import model
    from lycheering.wire import api

RECONNECT_MS = 50
OVERSIZE_FACTOR = 2
MAX_FRAMES_PER_READ = 64
# a connection's own socket, and two that tell when it is lost
MAX_SOCKETS = 8_192
FILES_PER_CONNECTION = 4
FILES_SHARE = 0.5

# plain numbers, since flag arithmetic on enums is slow
_NOBLOCK = int(zmq.NOBLOCK)
_NOBLOCK_MORE = int(zmq.NOBLOCK) | int(zmq.SNDMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_POLLOUT = int(zmq.POLLOUT)

Frame = list[bytes]


class FrameSocket:
    """A socket that hands out all frames that wait at once.

    pyzmq's own asyncio socket makes several futures and callbacks for each
    frame; here one wake-up of the reader serves all that came.

    Attributes:
        socket: The socket itself, for its options.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Begins to watch a socket, in a running event loop.

        Args:
            socket: The socket, which this object closes.
        """
        self.socket = socket
        self._loop = asyncio.get_running_loop()
        self._fd = int(socket.getsockopt(zmq.FD))
        self._wake = asyncio.Event()
        self._wake.set()
        self._wanted = _POLLIN
        self._loop.add_reader(self._fd, self._check)

    def send(self, parts: Frame, peer: str) -> None:
        """Hands a frame to the socket without waiting.

        Args:
            parts: The frame's parts.
            peer: The peer's name, for the error.

        Raises:
            PeerUnreachableError: If the peer has no connection or its
                queue is full.
        """
        try:
            self._hand_over(parts)
        except zmq.ZMQError as error:
            raise errors.PeerUnreachableError(peer) from error
        finally:
            # sending may use up the signal that frames have come
            if not self._wake.is_set():
                self._check()

    async def send_when_connected(self, parts: Frame) -> None:
        """Hands a frame to the socket once it has a connection."""
        while True:
            try:
                self._hand_over(parts)
            except zmq.Again:
                await self._writable()
            else:
                return

    async def receive(self) -> list[Frame]:
        """Returns the frames that wait, one at least."""
        frames: list[Frame] = []
        while not frames:
            await self._wake.wait()
            self._take(frames)
        if self._wake.is_set():
            # lets others run while frames keep coming
            await asyncio.sleep(0)
        return frames

    def monitor(self, kinds: int) -> zmq.asyncio.Socket:
        """Returns a socket that tells what becomes of connections."""
        found = self.socket.get_monitor_socket(kinds)
        # the context makes it, which is an asyncio one
        return typing.cast("zmq.asyncio.Socket", found)

    def close(self, linger_ms: int = 0) -> None:
        """Stops watching the socket and closes it."""
        self._loop.remove_reader(self._fd)
        self.socket.close(linger=linger_ms)

    def _hand_over(self, parts: Frame) -> None:
        *others, last = parts
        for part in others:
            self.socket.send(part, _NOBLOCK_MORE)
        self.socket.send(last, _NOBLOCK)

    def _take(self, frames: list[Frame]) -> None:
        while len(frames) < MAX_FRAMES_PER_READ:
            try:
                frames.append(self.socket.recv_multipart(_NOBLOCK))
            except zmq.Again:
                self._wake.clear()
                return
            # costs less than to find out by reading in vain
            if not self._has(_POLLIN):
                self._wake.clear()
                return

    async def _writable(self) -> None:
        self._wake.clear()
        self._wanted = _POLLOUT
        try:
            self._check()
            await self._wake.wait()
        finally:
            self._wanted = _POLLIN
            # the signal of a frame may have been used up
            self._wake.set()

    def _check(self) -> None:
        if self._has(self._wanted):
            self._wake.set()

    def _has(self, event: int) -> bool:
        # asking for the events also takes the signal back
        return bool(int(self.socket.getsockopt(_EVENTS)) & event)


def new_context() -> zmq.asyncio.Context:
    """Returns a context for a process that connects to many peers."""
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    return context


def most_connections() -> int:
    """Returns how many connections the limit on open files leaves room for."""
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if files == resource.RLIM_INFINITY:
        return MAX_SOCKETS // 3
    most = int(FILES_SHARE * files / FILES_PER_CONNECTION)
    return min(MAX_SOCKETS // 3, most)


def configure(
    socket: zmq.Socket[bytes], settings: model.WireSettings, ip: str
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


def connect(link: api.Link, address: api.Address) -> FrameSocket:
    """Returns a socket that connects to a peer.

    Raises:
        WireError: If the keys for it are missing.
        ZMQError: If the address can't be used.
    """
    socket = zmq.Socket(link.context, zmq.DEALER)
    configure(socket, link.settings, address.ip)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    try:
        link.security.secure_client(socket, address.name)
        socket.connect(address.url)
    except (errors.WireError, zmq.ZMQError):
        socket.close(linger=0)
        raise
    return FrameSocket(socket)


def check_size(data: bytes, settings: model.WireSettings) -> None:
    """Checks that a frame is not too large.

    Raises:
        MalformedFrameError: If it is.
    """
    if len(data) > settings.max_frame_bytes:
        raise errors.MalformedFrameError(f"{len(data)} bytes")


__all__ = [
    "MAX_FRAMES_PER_READ",
    "OVERSIZE_FACTOR",
    "RECONNECT_MS",
    "Frame",
    "FrameSocket",
    "check_size",
    "configure",
    "connect",
    "most_connections",
    "new_context",
]
