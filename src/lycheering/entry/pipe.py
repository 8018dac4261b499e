"""A bounded buffer for the bytes sent to one caller."""

from __future__ import annotations

import asyncio

MAX_PIPE_BYTES = 262_144


class StalledError(Exception):
    """The reader read nothing for too long."""


class Pipe:
    """Buffers bytes between one writer and one reader."""

    def __init__(
        self, stall_timeout_ms: float, max_bytes: int = MAX_PIPE_BYTES
    ) -> None:
        self._stall_timeout_ms = stall_timeout_ms
        self._max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._is_closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()

    async def write(self, data: bytes) -> None:
        """Adds bytes, first waiting for the reader if the buffer is full.

        Raises:
            StalledError: If the reader reads nothing during the wait.
        """
        if self._buffered_bytes >= self._max_bytes:
            self._writable.clear()
            try:
                async with asyncio.timeout(self._stall_timeout_ms / 1_000):
                    await self._writable.wait()
            except TimeoutError as error:
                raise StalledError(
                    f"{self._stall_timeout_ms:.0f} ms without a read"
                ) from error
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._readable.set()

    def close(self) -> None:
        """Ends the stream; buffered bytes can still be read."""
        self._is_closed = True
        self._readable.set()

    def clear(self) -> None:
        """Discards the buffered bytes."""
        self._chunks.clear()
        self._buffered_bytes = 0

    async def read(self) -> bytes:
        """Returns all buffered bytes, after a wait if there are none.

        The result is empty only at the end of the stream.
        """
        if not self._chunks and not self._is_closed:
            self._readable.clear()
            await self._readable.wait()
        data = (
            self._chunks[0]
            if len(self._chunks) == 1
            else b"".join(self._chunks)
        )
        self.clear()
        self._writable.set()
        return data


__all__ = ["MAX_PIPE_BYTES", "Pipe", "StalledError"]
