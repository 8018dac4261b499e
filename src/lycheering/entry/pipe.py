"""Bytes on their way to one caller, bounded in size."""

from __future__ import annotations

import asyncio

MAX_PIPE_BYTES = 262_144


class StalledError(Exception):
    """The reader took nothing for too long."""


class Pipe:
    """Passes bytes from one writer to one reader."""

    def __init__(
        self, stall_ms: float, max_bytes: int = MAX_PIPE_BYTES
    ) -> None:
        self._stall_ms = stall_ms
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self._closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()

    async def write(self, data: bytes) -> None:
        """Adds bytes, after a wait if the reader is behind.

        Raises:
            StalledError: If the reader took nothing meanwhile.
        """
        if self._size >= self._max_bytes:
            self._writable.clear()
            try:
                async with asyncio.timeout(self._stall_ms / 1_000):
                    await self._writable.wait()
            except TimeoutError as error:
                raise StalledError(f"{self._stall_ms:.0f} ms") from error
        self._parts.append(data)
        self._size += len(data)
        self._readable.set()

    def close(self) -> None:
        """Ends the pipe; what is in it can still be read."""
        self._closed = True
        self._readable.set()

    def clear(self) -> None:
        """Drops what is in it."""
        self._parts.clear()
        self._size = 0

    async def read(self) -> bytes:
        """Returns all bytes there are; none only at the end."""
        if not self._parts and not self._closed:
            self._readable.clear()
            await self._readable.wait()
        data = (
            self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        )
        self.clear()
        self._writable.set()
        return data


__all__ = ["MAX_PIPE_BYTES", "Pipe", "StalledError"]
