"""The bytes of one TCP connection, read with a bound on each wait."""

from __future__ import annotations

import asyncio
import typing

from lycheering import waits

MAX_WAITING_BYTES = 131_072


class ByteStream(asyncio.Protocol):
    """Bytes as they come, at most so many held for the reader.

    asyncio's own reader needs a timeout with a timer for each wait, which
    costs a stream of small chunks more than the reading does.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._ended = False
        self._paused = False
        self._error: Exception | None = None
        self._waiting = waits.Waiting()
        self._transport: asyncio.Transport | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The connection."""
        assert self._transport is not None
        return self._transport

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and holds no unread bytes."""
        transport = self._transport
        if self._ended or self._parts or transport is None:
            return False
        return not transport.is_closing()

    @property
    def is_written(self) -> bool:
        """Whether all bytes were handed to the network."""
        return self.transport.get_write_buffer_size() == 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection over."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Keeps bytes for the reader."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_WAITING_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._waiting.wake()

    def eof_received(self) -> bool:
        """Learns that no more comes; the connection stays to be written to."""
        self._ended = True
        self._waiting.wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Learns that the connection is gone."""
        self._ended = True
        self._error = exc
        self._waiting.wake()

    async def read(self, timeout_ms: float) -> bytes:
        """Returns the bytes there are; none only at the end.

        Raises:
            TimeoutError: If none came in time.
            OSError: If the connection broke.
        """
        if not self._parts and not self._ended:
            in_time = await self._waiting.wait(timeout_ms)
            if not in_time and not self._parts:
                raise TimeoutError
        if not self._parts and self._error is not None:
            raise self._error
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Hands bytes to the connection."""
        self.transport.write(data)

    def close(self) -> None:
        """Closes the connection."""
        self._waiting.close()
        self.transport.close()

    def abort(self) -> None:
        """Drops the connection at once, with what is still to be written."""
        self._waiting.close()
        self.transport.abort()


__all__ = ["MAX_WAITING_BYTES", "ByteStream"]
