"""HTTP responses as the bytes of one connection bring them."""

from __future__ import annotations

import collections

import httptools

MAX_HEADERS = 100
# bytes that may come without a byte of a body: heads, marks of chunks, trailers
MAX_FRAMING_BYTES = 65_536
# responses held that nobody asked for yet
MAX_WAITING_RESPONSES = 4


class NoResponseError(Exception):
    """What came is no response."""


class Response:
    """One response, as far as it came.

    Attributes:
        status: The HTTP status, 0 before the head is whole.
        headers: Its headers, names in lower case.
        parts: Bytes of its body that nobody took yet.
        headers_done: Whether the head is whole.
        done: Whether it is whole.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.headers_done = False
        self.done = False

    def take(self) -> bytes:
        """Returns the bytes of the body that nobody took yet."""
        data = b"".join(self.parts)
        self.parts.clear()
        return data


class ResponseFeed:
    """Parses bytes into responses, one after another.

    A target may send more than was asked for. Each response is kept apart, so
    that no byte of one is taken for a part of another.

    Attributes:
        is_spoilt: Whether bytes came that belong to no request.
    """

    def __init__(self) -> None:
        self.is_spoilt = False
        self._responses: collections.deque[Response] = collections.deque()
        self._coming = Response()
        self._responses.append(self._coming)
        self._has_begun = False
        self._framing_bytes = 0
        self._has_progress = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def current(self) -> Response:
        """The response that is read now."""
        return self._responses[0]

    @property
    def has_more(self) -> bool:
        """Whether something came after the current response."""
        return self.is_spoilt or len(self._responses) > 1

    def skip(self) -> None:
        """Goes on to the response after the current one."""
        self._responses.popleft()
        if not self._responses:
            self._coming = Response()
            self._responses.append(self._coming)
            self._has_begun = False

    def feed(self, data: bytes) -> None:
        """Takes bytes in.

        Args:
            data: The next bytes of the connection.

        Raises:
            NoResponseError: If they are no response, or none yet though they
                are many.
        """
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise NoResponseError("another protocol") from error
        except httptools.HttpParserError as error:
            if not self.current.done:
                raise NoResponseError(f"not HTTP: {error}") from error
            self.is_spoilt = True
            return
        if self._has_progress:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise NoResponseError(f"{self._framing_bytes} bytes and no answer")

    def on_message_begin(self) -> None:
        """Keeps what comes from here on apart."""
        if not self._has_begun:
            self._has_begun = True
            return
        if len(self._responses) >= MAX_WAITING_RESPONSES:
            raise NoResponseError("responses that nobody asked for")
        self._coming = Response()
        self._responses.append(self._coming)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header in."""
        if len(self._coming.headers) >= MAX_HEADERS:
            raise NoResponseError("too many headers")
        self._coming.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Notes that there are no more headers."""
        self._coming.status = self._parser.get_status_code()
        self._coming.headers_done = True

    def on_body(self, body: bytes) -> None:
        """Takes bytes of a body in."""
        self._has_progress = True
        self._coming.parts.append(body)

    def on_message_complete(self) -> None:
        """Notes the end of a response."""
        self._coming.done = True
        # an interim response announces the one that counts
        self._has_progress = self._has_progress or self._coming.status >= 200


__all__ = [
    "MAX_FRAMING_BYTES",
    "MAX_HEADERS",
    "NoResponseError",
    "Response",
    "ResponseFeed",
]
