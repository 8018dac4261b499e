"""Identifies the callers of HTTP requests and detects disconnects."""

from __future__ import annotations

import dataclasses
import re
import secrets
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import blacksheep

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping

    AsgiMessage = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[AsgiMessage]]
    Send = Callable[[AsgiMessage], Awaitable[None]]
    Serve = Callable[[AsgiMessage, Receive, Send], Awaitable[None]]

DISCONNECT = "http.disconnect"
REQUEST_ID_HEADER = b"x-request-id"

_SCOPE_KEY = "lycheering.caller"
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class CallerGoneError(Exception):
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True)
class Caller:
    """The caller of one HTTP request.

    Attributes:
        request_id: The id echoed to the caller: its own one if that is
            valid, else a new one.
        has_valid_id: False if the caller sent an invalid id.
        receive: Receives ASGI messages with the body or the disconnect.
    """

    request_id: str
    has_valid_id: bool
    receive: Receive

    async def wait_disconnected(self) -> None:
        """Returns when the caller disconnects or its answer is complete."""
        while (await self.receive())["type"] != DISCONNECT:
            continue


class EntryApplication(blacksheep.Application):
    """Adds a request id header to every response, also to error responses."""

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one connection event or HTTP request."""
        serve = cast("Serve", super().__call__)
        if scope["type"] != "http":
            await serve(scope, receive, send)
            return
        caller = _read_caller(scope, receive)
        scope[_SCOPE_KEY] = caller
        id_header = (REQUEST_ID_HEADER, caller.request_id.encode())

        async def send_with_id(message: AsgiMessage) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [*message["headers"], id_header]
            await send(message)

        await serve(scope, receive, send_with_id)


def caller_of(request: blacksheep.Request) -> Caller:
    """Returns the caller of a request."""
    scope = cast("dict[str, Any]", request.scope)
    return cast("Caller", scope[_SCOPE_KEY])


def new_request_id() -> str:
    """Returns a new unique request id."""
    return secrets.token_hex(12)


def new_run_id(caller_request_id: str) -> str:
    """Returns a new unique id that starts with the caller's request id."""
    return f"{caller_request_id}.{secrets.token_hex(8)}"


def _read_caller(scope: MutableMapping[str, Any], receive: Receive) -> Caller:
    values = [
        value.decode("latin-1")
        for name, value in scope["headers"]
        if name == REQUEST_ID_HEADER
    ]
    if not values:
        return Caller(new_request_id(), True, receive)
    if len(values) == 1 and _REQUEST_ID_PATTERN.fullmatch(values[0]):
        return Caller(values[0], True, receive)
    return Caller(new_request_id(), False, receive)


__all__ = [
    "DISCONNECT",
    "Caller",
    "CallerGoneError",
    "EntryApplication",
    "caller_of",
    "new_request_id",
    "new_run_id",
]
