"""Applications that a web server runs, and a small one for a few pages.

An entry's restart is an outage for its callers, and loading a web framework
takes a third of the time until it serves again. What has a page or two, or
takes the server's messages as they are, does without one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import MutableMapping

    Scope = MutableMapping[str, Any]
    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]
    Page = Callable[[], tuple[int, bytes]]

TEXT = b"text/plain; version=0.0.4"


class AsgiApplication(Protocol):
    """What a web server runs."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one exchange."""

    async def start(self) -> None:
        """Called before the first exchange."""

    async def stop(self) -> None:
        """Called after the last one."""


class Pages:
    """Answers GET requests for a few paths with text."""

    def __init__(self, page_by_path: Mapping[str, Page]) -> None:
        """Prepares the pages.

        Args:
            page_by_path: Returns the status and the text of each path.
        """
        self._page_by_path = page_by_path

    async def start(self) -> None:
        """Needs nothing."""

    async def stop(self) -> None:
        """Needs nothing."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one exchange."""
        if scope["type"] != "http":
            return
        status, text = 404, b""
        page = self._page_by_path.get(scope["path"])
        if page is not None:
            status, text = page() if scope["method"] == "GET" else (405, b"")
        headers = [
            (b"content-type", TEXT),
            (b"content-length", b"%d" % len(text)),
        ]
        start = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": text})


__all__ = ["AsgiApplication", "Pages"]
