"""ZeroMQ sockets for asyncio that read many frames per wake-up."""

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
# three per connection: its own, and two to monitor it for a disconnect
MAX_SOCKETS = 8_192
FILES_PER_CONNECTION = 4
MAX_FILES_SHARE = 0.5

# plain integers, as flag arithmetic on enums is slow
_NOBLOCK = int(zmq.NOBLOCK)
_NOBLOCK_MORE = int(zmq.NOBLOCK) | int(zmq.SNDMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_POLLOUT = int(zmq.POLLOUT)

Frame = list[bytes]


class FrameSocket:
    """A socket that returns all waiting frames at once.

    One task reads; any code may send. pyzmq's asyncio socket creates several
    futures and callbacks for each frame; here one wake-up of the reader
    serves all frames that have arrived.

    Attributes:
        socket: The underlying socket, for its options.
    """

    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        """Registers a socket with the running event loop.

        Args:
            socket: The socket; close() closes it.
        """
        self.socket = socket
        self._loop = asyncio.get_running_loop()
        self._fd = int(socket.getsockopt(zmq.FD))
        self._wake = asyncio.Event()
        self._wake.set()
        self._awaited_event = _POLLIN
        self._loop.add_reader(self._fd, self._check_events)

    def send(self, parts: Frame, peer: str) -> None:
        """Sends a frame without waiting.

        Args:
            parts: The frame's parts.
            peer: The peer's name, for the error message.

        Raises:
            PeerUnreachableError: If the peer is not connected or its send
                queue is full.
        """
        try:
            self._send_parts(parts)
        except zmq.ZMQError as error:
            raise errors.PeerUnreachableError(peer) from error
        finally:
            # Sending may consume the edge-triggered signal of the file
            # descriptor that frames have arrived.
            if not self._wake.is_set():
                self._check_events()

    async def send_when_connected(self, parts: Frame) -> None:
        """Sends a frame once the socket is connected."""
        while True:
            try:
                self._send_parts(parts)
            except zmq.Again:
                await self._wait_writable()
            else:
                return

    async def receive(self) -> list[Frame]:
        """Waits for at least one frame and returns all that have arrived."""
        frames: list[Frame] = []
        while not frames:
            await self._wake.wait()
            self._read_available(frames)
        if self._wake.is_set():
            # lets other tasks run while more frames are waiting
            await asyncio.sleep(0)
        return frames

    def monitor(self, event_mask: int) -> zmq.asyncio.Socket:
        """Returns a socket that receives connection events.

        Args:
            event_mask: The ZeroMQ event types to receive.
        """
        monitor_socket = self.socket.get_monitor_socket(event_mask)
        # the asyncio context creates it, so it is an asyncio socket
        return typing.cast("zmq.asyncio.Socket", monitor_socket)

    def close(self, linger_ms: int = 0) -> None:
        """Closes the socket.

        Args:
            linger_ms: How long queued frames may still be sent.
        """
        self._loop.remove_reader(self._fd)
        self.socket.close(linger=linger_ms)

    def _send_parts(self, parts: Frame) -> None:
        *leading_parts, last_part = parts
        for part in leading_parts:
            self.socket.send(part, _NOBLOCK_MORE)
        self.socket.send(last_part, _NOBLOCK)

    def _read_available(self, frames: list[Frame]) -> None:
        while len(frames) < MAX_FRAMES_PER_READ:
            try:
                frames.append(self.socket.recv_multipart(_NOBLOCK))
            except zmq.Again:
                self._wake.clear()
                return
            # cheaper than a read that fails
            if not self._has_event(_POLLIN):
                self._wake.clear()
                return

    async def _wait_writable(self) -> None:
        self._wake.clear()
        self._awaited_event = _POLLOUT
        try:
            self._check_events()
            await self._wake.wait()
        finally:
            self._awaited_event = _POLLIN
            # the signal that frames have arrived may have been consumed
            self._wake.set()

    def _check_events(self) -> None:
        if self._has_event(self._awaited_event):
            self._wake.set()

    def _has_event(self, event: int) -> bool:
        # reading the events also resets the signal of the file descriptor
        return bool(int(self.socket.getsockopt(_EVENTS)) & event)


def new_context() -> zmq.asyncio.Context:
    """Returns a ZeroMQ context that allows connections to many peers."""
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    return context


def max_connections() -> int:
    """Returns how many connections the limit on open files allows."""
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if files == resource.RLIM_INFINITY:
        return MAX_SOCKETS // 3
    file_limit = int(MAX_FILES_SHARE * files / FILES_PER_CONNECTION)
    return min(MAX_SOCKETS // 3, file_limit)


def configure(
    socket: zmq.Socket[bytes], settings: model.WireSettings, ip: str
) -> None:
    """Sets the limits of a socket, and IPv6 where the address needs it.

    Args:
        socket: The socket.
        settings: The settings of the inner protocol.
        ip: The IP address that it connects to or listens on.
    """
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, settings.high_water_mark)
    socket.setsockopt(zmq.RCVHWM, settings.high_water_mark)
    # ZeroMQ disconnects a peer that sends a frame above this size. Smaller
    # frames above max_frame_bytes are read and counted as malformed.
    max_message_bytes = OVERSIZE_FACTOR * settings.max_frame_bytes
    socket.setsockopt(zmq.MAXMSGSIZE, max_message_bytes)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    if ":" in ip:
        socket.setsockopt(zmq.IPV6, 1)


def connect(link: api.Link, address: api.Address) -> FrameSocket:
    """Returns a socket that connects to a peer.

    Raises:
        WireError: If there is no public key for the peer.
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
    """Checks the size of a frame.

    Raises:
        MalformedFrameError: If it is too large.
    """
    if len(data) > settings.max_frame_bytes:
        raise errors.MalformedFrameError(
            f"frame of {len(data)} bytes is too large"
        )


__all__ = [
    "MAX_FRAMES_PER_READ",
    "OVERSIZE_FACTOR",
    "RECONNECT_MS",
    "Frame",
    "FrameSocket",
    "check_size",
    "configure",
    "connect",
    "max_connections",
    "new_context",
]
