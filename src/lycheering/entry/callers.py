"""The caller's side of one HTTP request."""

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
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class CallerGoneError(Exception):
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True)
class Caller:
    """Who waits for one answer.

    Attributes:
        request_id: The id that is echoed: the caller's own if it is valid.
        valid: Whether the caller's own id, if any, is valid.
        receive: Reads the caller's body and learns that it left.
    """

    request_id: str
    valid: bool
    receive: Receive

    async def gone(self) -> None:
        """Returns once the caller left, or its answer is complete."""
        while (await self.receive())["type"] != DISCONNECT:
            continue


class EntryApplication(blacksheep.Application):
    """Echoes a request id on every answer, whoever makes the answer."""

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one exchange."""
        serve = cast("Serve", super().__call__)
        if scope["type"] != "http":
            await serve(scope, receive, send)
            return
        caller = _caller(scope, receive)
        scope[_SCOPE_KEY] = caller
        echoed = (REQUEST_ID_HEADER, caller.request_id.encode())

        async def send_with_id(message: AsgiMessage) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [*message["headers"], echoed]
            await send(message)

        await serve(scope, receive, send_with_id)


def caller_of(request: blacksheep.Request) -> Caller:
    """Returns who sent a request."""
    scope = cast("dict[str, Any]", request.scope)
    return cast("Caller", scope[_SCOPE_KEY])


def new_request_id() -> str:
    """Returns an id that no other request has."""
    return secrets.token_hex(12)


def new_run_id(caller_request_id: str) -> str:
    """Returns an id that no other request has, which shows the caller's."""
    return f"{caller_request_id}.{secrets.token_hex(8)}"


def _caller(scope: MutableMapping[str, Any], receive: Receive) -> Caller:
    given = [
        value.decode("latin-1")
        for name, value in scope["headers"]
        if name == REQUEST_ID_HEADER
    ]
    if not given:
        return Caller(new_request_id(), True, receive)
    if len(given) == 1 and _REQUEST_ID.fullmatch(given[0]):
        return Caller(given[0], True, receive)
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
