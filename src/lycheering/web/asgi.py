"""The ASGI application interface and a small application for text pages.

Importing a web framework takes a third of the time that an entry needs to
restart, and its callers are not served meanwhile. Applications with only a page
or two, or that handle ASGI messages themselves, therefore use no framework.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lycheering.web import head_limits

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

# of requests, whose bodies are not read
MAX_PAGE_BODY_BYTES = 65_536
TEXT_CONTENT_TYPE = b"text/plain; version=0.0.4"


class AsgiApplication(Protocol):
    """An ASGI application with start and stop hooks."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one request."""

    async def start(self) -> None:
        """Prepares the application before its first request."""

    async def stop(self) -> None:
        """Releases resources after the last request."""


class TextPages:
    """Serves text pages for GET requests on a few paths."""

    def __init__(self, page_by_path: Mapping[str, Page]) -> None:
        """Creates the application.

        Args:
            page_by_path: For each path, a function that returns the status and
                the text.
        """
        self._page_by_path = page_by_path

    async def start(self) -> None:
        """Does nothing; there is nothing to set up or release."""

    async def stop(self) -> None:
        """Does nothing; there is nothing to set up or release."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        status, text = 404, b""
        page = self._page_by_path.get(scope["path"])
        if page is not None:
            status, text = page() if scope["method"] == "GET" else (405, b"")
        headers = [
            (b"content-type", TEXT_CONTENT_TYPE),
            (b"content-length", b"%d" % len(text)),
        ]
        start = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": text})


def page_limits() -> head_limits.HeadLimits:
    """Returns the limits of a server of text pages."""
    return head_limits.HeadLimits(max_body_bytes=MAX_PAGE_BODY_BYTES)


__all__ = ["AsgiApplication", "TextPages", "page_limits"]
