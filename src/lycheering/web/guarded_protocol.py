"""Bounds how large and how slow the head of a request may be."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from uvicorn.protocols.http import httptools_impl

from lycheering.telemetry import logs

# in which the first request of a connection is taken to be on its way
FIRST_REQUEST_MS = 500.0

_ANSWER = b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"

_LOG = logs.get("web")


@dataclasses.dataclass
class HeadLimits:
    """What a server accepts; may be changed while it runs.

    Attributes:
        max_header_bytes: The largest request head.
        header_timeout_ms: How long a request head may take.
        idle_timeout_ms: How long a connection may be idle.
    """

    max_header_bytes: int = 65_536
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 15_000.0


class GuardedProtocol(httptools_impl.HttpToolsProtocol):
    """A connection that may not send its request's head without bounds.

    Attributes:
        limits: The bounds, set by a class made for each server.
    """

    limits = HeadLimits()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._head_bytes = 0
        self._in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._made_s = 0.0

    @property
    def awaits_request(self) -> bool:
        """Whether a request is on its way, as far as can be known."""
        if self._in_head:
            return True
        if self.cycle is not None:
            return False
        return self.loop.time() - self._made_s < FIRST_REQUEST_MS / 1_000

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begins to wait for the first request."""
        super().connection_made(transport)
        self._made_s = self.loop.time()
        idle_s = self.limits.idle_timeout_ms / 1_000
        self.timeout_keep_alive_task = self.loop.call_later(
            idle_s, self.timeout_keep_alive_handler
        )

    def data_received(self, data: bytes) -> None:
        """Takes bytes in and bounds those of a head that is not whole."""
        self.timeout_keep_alive = self.limits.idle_timeout_ms / 1_000  # type: ignore[assignment]
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_header_bytes:
            self._reject(431, b"Request Header Fields Too Large")

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait for a head."""
        self._end_head()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begins to bound the head of the next request."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_ms / 1_000, self._head_too_slow
            )

    def on_headers_complete(self) -> None:
        """Hands a request with a whole head on."""
        self._end_head()
        super().on_headers_complete()

    def _end_head(self) -> None:
        self._in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_too_slow(self) -> None:
        self._head_timer = None
        if self._in_head:
            self._reject(408, b"Request Timeout")

    def _reject(self, status: int, reason: bytes) -> None:
        self._end_head()
        if self.transport.is_closing():
            return
        _LOG.event("head_rejected", status=status, bytes=self._head_bytes)
        answers_before = self.cycle is not None and (
            not self.cycle.response_complete
        )
        if not answers_before:
            self.transport.write(_ANSWER % (status, reason))
        self.transport.close()


def protocol_with(limits: HeadLimits) -> type[GuardedProtocol]:
    """Returns the protocol for a server with these bounds."""
    return type("BoundProtocol", (GuardedProtocol,), {"limits": limits})


__all__ = ["GuardedProtocol", "HeadLimits", "protocol_with"]
