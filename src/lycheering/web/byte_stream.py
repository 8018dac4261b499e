"""Reads a TCP connection with a timeout on each read."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import sys
import termios
import typing

from lycheering import signal_waiter

# Reading from the network pauses while more received bytes are unread.
MAX_UNREAD_BYTES = 131_072
ACKNOWLEDGE_POLL_S = 0.005
# option of a socket that is reset when it is closed
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ByteStream(asyncio.Protocol):
    """A connection with a bounded receive buffer.

    With asyncio's StreamReader each read would need a timeout with a timer of
    its own, which costs more than reading when a stream has many small chunks.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._has_ended = False
        self._is_paused = False
        self._error: Exception | None = None
        self._data_signal = signal_waiter.SignalWaiter()
        self._transport: asyncio.Transport | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of the connection."""
        assert self._transport is not None
        return self._transport

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        transport = self._transport
        if self._has_ended or self._chunks or transport is None:
            return False
        return not transport.is_closing()

    @property
    def is_write_buffer_empty(self) -> bool:
        """Whether all written bytes were passed to the operating system."""
        return self.transport.get_write_buffer_size() == 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; pauses reading if the buffer is full."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()
        self._data_signal.signal()

    def eof_received(self) -> bool:
        """Marks the end of the input; the connection stays open for writes."""
        self._has_ended = True
        self._data_signal.signal()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the end of the connection."""
        self._has_ended = True
        if self._error is None:
            self._error = exc
        self._data_signal.signal()

    async def read(self, timeout_ms: float) -> bytes:
        """Returns all buffered bytes, or waits for the next ones.

        Returns no bytes only at the end of the input.

        Raises:
            TimeoutError: If no bytes arrived in time.
            OSError: If the connection broke.
        """
        if not self._chunks and not self._has_ended:
            is_in_time = await self._data_signal.wait(timeout_ms)
            if not is_in_time and not self._chunks:
                raise TimeoutError
        if not self._chunks and self._error is not None:
            raise self._error
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._is_paused:
            self._is_paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Writes bytes to the connection."""
        self.transport.write(data)

    async def wait_acknowledged(self, timeout_ms: float) -> None:
        """Waits until the peer's machine has all bytes that were written.

        Used after the end of the input, as a reset is no longer reported then.

        Raises:
            TimeoutError: If it did not acknowledge them in time.
            OSError: If the connection broke before.
        """
        async with asyncio.timeout(timeout_ms / 1_000):
            while self._has_unacknowledged_bytes():
                await asyncio.sleep(ACKNOWLEDGE_POLL_S)

    def _has_unacknowledged_bytes(self) -> bool:
        if self._error is not None:
            raise self._error
        if self.transport.is_closing():
            raise ConnectionAbortedError("closed by this process")
        connection = self.transport.get_extra_info("socket")
        number = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, os.strerror(number))
        # bytes that were not sent, and sent ones without an acknowledgement
        queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
        is_queue_empty = int.from_bytes(queued, sys.byteorder) == 0
        return not (self.is_write_buffer_empty and is_queue_empty)

    def close(self) -> None:
        """Closes the connection after pending bytes are written."""
        self._mark_closed_here()
        self._data_signal.close()
        self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once; pending writes are discarded."""
        self._mark_closed_here()
        self._data_signal.close()
        self.transport.abort()

    def reset(self) -> None:
        """Closes the connection at once; nothing arrives from then on.

        Bytes that the kernel has not sent yet are discarded as well, which it
        would send for minutes while a link is cut.
        """
        connection = self.transport.get_extra_info("socket")
        if connection is not None and connection.fileno() >= 0:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()

    def _mark_closed_here(self) -> None:
        """Keeps a reader from taking this end for the end of the input."""
        if not self._has_ended:
            self._error = ConnectionAbortedError("closed by this process")


__all__ = ["MAX_UNREAD_BYTES", "RESET_ON_CLOSE", "ByteStream"]
