"""The caller's side of a forwarded request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from lycheering.forward import refusals

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping

    from lycheering.forward import api
    from lycheering.web import close_delimited

    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_CLOSE = (b"connection", b"close")


class Caller:
    """Reads a request's body, sends its answer and detects a disconnect.

    Attributes:
        is_disconnected: Whether the caller closed its connection early.
        has_begun: Whether the start of the answer was sent.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        *,
        closes_connection: bool = False,
        close_delimited_body: close_delimited.CloseDelimitedBody | None = None,
    ) -> None:
        """Wraps one exchange of the HTTP server.

        Args:
            receive: Returns the next ASGI message of the caller.
            send: Sends an ASGI message to the caller.
            closes_connection: Whether the connection closes after the answer.
            close_delimited_body: Ends the answer with the connection; None if
                the server can't do that.
        """
        self.is_disconnected = False
        self.has_begun = False
        self._receive = receive
        self._send = send
        self._closes_connection = closes_connection
        self._close_delimited_body = close_delimited_body
        self._ends_with_connection = False
        self._is_finished = False
        self._watch_task: asyncio.Task[None] | None = None
        self._on_disconnect: Callable[[], None] | None = None

    async def read_body(self, max_bytes: int, timeout_ms: float) -> bytes:
        """Returns the whole body.

        Args:
            max_bytes: Largest size of the body.
            timeout_ms: How long the whole body may take.

        Raises:
            RefusalError: If it is too large or too slow.
            CallerGoneError: If the caller disconnected before its end.
        """
        parts = []
        size = 0
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while True:
                    message = await self._receive()
                    if message["type"] != "http.request":
                        self.is_disconnected = True
                        raise refusals.CallerGoneError
                    part = message.get("body", b"")
                    size += len(part)
                    if size > max_bytes:
                        raise refusals.RefusalError(
                            refusals.Reason.BODY_TOO_LARGE,
                            f"body exceeds {max_bytes} bytes",
                        )
                    parts.append(part)
                    if not message.get("more_body", False):
                        break
        except TimeoutError as error:
            raise refusals.RefusalError(
                refusals.Reason.BODY_TOO_SLOW,
                f"body took more than {timeout_ms:.0f} ms",
            ) from error
        return b"".join(parts)

    def watch_disconnect(self) -> None:
        """Starts to watch for a disconnect; the body must have been read."""
        self._watch_task = asyncio.create_task(
            self._wait_for_disconnect(), name="caller"
        )

    def set_disconnect_callback(
        self, on_disconnect: Callable[[], None] | None
    ) -> None:
        """Sets the function that is called if the caller disconnects early."""
        self._on_disconnect = on_disconnect

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            continue
        if not self._is_finished:
            self.is_disconnected = True
            if self._on_disconnect is not None:
                self._on_disconnect()

    @property
    def may_claim_complete(self) -> bool:
        """Whether the end of the answer tells that it is complete."""
        return not self._ends_with_connection

    async def begin(
        self,
        status: int,
        headers: api.Headers,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Sends the status and headers of the answer.

        Args:
            status: The HTTP status.
            headers: The headers.
            ends_with_connection: Whether only the end of the connection ends
                the answer, as it did at the target.
        """
        if ends_with_connection and self._close_delimited_body is not None:
            self._ends_with_connection = True
            self._close_delimited_body.begin()
        if self._closes_connection:
            headers = [*headers, _CLOSE]
        self.has_begun = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_part(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the answer's body."""
        if self._ends_with_connection:
            assert self._close_delimited_body is not None
            await self.send_part(data)
            data = b""
            await self.send_part(data)
            self._close_delimited_body.finish()
        self._is_finished = True
        await self._send({"type": "http.response.body", "body": data})

    def close(self) -> None:
        """Stops watching for a disconnect."""
        self._is_finished = True
        if self._watch_task is not None:
            self._watch_task.cancel()


__all__ = ["Caller"]
