"""Server connections that limit the size and duration of request headers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from uvicorn.protocols.http import httptools_impl

from lycheering.telemetry import logs

# For this long after accepting, a connection counts as one whose first request
# is arriving.
FIRST_REQUEST_GRACE_MS = 500.0

_ERROR_RESPONSE = (
    b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)

_LOG = logs.get("web")


@dataclasses.dataclass
class HeadLimits:
    """Limits of a server; may be changed while it runs.

    Attributes:
        max_header_bytes: Maximum size of the headers of a request.
        header_timeout_ms: Maximum time for receiving them.
        idle_timeout_ms: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 65_536
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 15_000.0


class HeadLimitProtocol(httptools_impl.HttpToolsProtocol):
    """A server connection with limits on the headers of its requests.

    Attributes:
        limits: The limits; a subclass for each server overrides them.
    """

    limits = HeadLimits()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._head_bytes = 0
        self._is_in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._connected_s = 0.0

    @property
    def is_request_arriving(self) -> bool:
        """Whether a request is being received, or probably about to be."""
        if self._is_in_head:
            return True
        if self.cycle is not None:
            return False
        return (
            self.loop.time() - self._connected_s
            < FIRST_REQUEST_GRACE_MS / 1_000
        )

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self._connected_s = self.loop.time()
        idle_s = self.limits.idle_timeout_ms / 1_000
        self.timeout_keep_alive_task = self.loop.call_later(
            idle_s, self.timeout_keep_alive_handler
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and limits those of incomplete headers."""
        self.timeout_keep_alive = self.limits.idle_timeout_ms / 1_000  # type: ignore[assignment]
        super().data_received(data)
        if not self._is_in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_header_bytes:
            self._reject(431, b"Request Header Fields Too Large")

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the header timeout."""
        self._end_head()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts the size limit and the timeout for the next headers."""
        super().on_message_begin()
        self._is_in_head = True
        self._head_bytes = 0
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_ms / 1_000, self._on_head_timeout
            )

    def on_headers_complete(self) -> None:
        """Cancels the header timeout and starts handling the request."""
        self._end_head()
        super().on_headers_complete()

    def _end_head(self) -> None:
        self._is_in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._is_in_head:
            self._reject(408, b"Request Timeout")

    def _reject(self, status: int, reason: bytes) -> None:
        self._end_head()
        if self.transport.is_closing():
            return
        _LOG.event("head_rejected", status=status, bytes=self._head_bytes)
        has_open_response = self.cycle is not None and (
            not self.cycle.response_complete
        )
        if not has_open_response:
            self.transport.write(_ERROR_RESPONSE % (status, reason))
        self.transport.close()


def protocol_with_limits(limits: HeadLimits) -> type[HeadLimitProtocol]:
    """Returns a protocol class for a server with these limits."""
    return type("BoundProtocol", (HeadLimitProtocol,), {"limits": limits})


__all__ = ["HeadLimitProtocol", "HeadLimits", "protocol_with_limits"]
