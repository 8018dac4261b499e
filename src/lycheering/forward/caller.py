"""The caller's side of one request that is forwarded."""

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

    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_CLOSE = (b"connection", b"close")


class Caller:
    """Reads a request's body, sends its answer and learns when it leaves.

    Attributes:
        is_gone: Whether the caller closed its connection.
        has_begun: Whether a byte of the answer was sent.
    """

    def __init__(
        self, receive: Receive, send: Send, *, closes: bool = False
    ) -> None:
        """Wraps one exchange of the HTTP server.

        Args:
            receive: Returns the next message of the caller.
            send: Sends a message to it.
            closes: Whether the connection ends with this answer.
        """
        self.is_gone = False
        self.has_begun = False
        self._receive = receive
        self._send = send
        self._closes = closes
        self._finished = False
        self._watch: asyncio.Task[None] | None = None
        self._on_gone: Callable[[], None] | None = None

    async def body(self, most_bytes: int, timeout_ms: float) -> bytes:
        """Returns the whole body.

        Raises:
            RefusalError: If it is too large or too slow.
            CallerGoneError: If the caller left before its end.
        """
        parts = []
        size = 0
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while True:
                    message = await self._receive()
                    if message["type"] != "http.request":
                        self.is_gone = True
                        raise refusals.CallerGoneError
                    part = message.get("body", b"")
                    size += len(part)
                    if size > most_bytes:
                        raise refusals.RefusalError(
                            refusals.Reason.BODY_TOO_LARGE,
                            f"over {most_bytes} bytes",
                        )
                    parts.append(part)
                    if not message.get("more_body", False):
                        break
        except TimeoutError as error:
            raise refusals.RefusalError(
                refusals.Reason.BODY_TOO_SLOW, f"over {timeout_ms:.0f} ms"
            ) from error
        return b"".join(parts)

    def watch(self) -> None:
        """Begins to notice that the caller leaves; its body is read."""
        self._watch = asyncio.create_task(self._wait_gone(), name="caller")

    def watch_with(self, on_gone: Callable[[], None] | None) -> None:
        """Has a function called once when the caller leaves early."""
        self._on_gone = on_gone

    async def _wait_gone(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            continue
        if not self._finished:
            self.is_gone = True
            if self._on_gone is not None:
                self._on_gone()

    async def begin(self, status: int, headers: api.Headers) -> None:
        """Sends the start of the answer."""
        if self._closes:
            headers = [*headers, _CLOSE]
        self.has_begun = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def part(self, data: bytes) -> None:
        """Sends bytes of the answer's body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last bytes of the answer's body."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": data})

    def close(self) -> None:
        """Ends the watch."""
        self._finished = True
        if self._watch is not None:
            self._watch.cancel()


__all__ = ["Caller"]
