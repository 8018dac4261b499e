"""Parses the bytes received on a connection into HTTP responses."""

from __future__ import annotations

import collections

import httptools

MIN_STATUS = 100
# Responses with a lower status are interim; a final response follows them.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
MAX_HEADERS = 100
# Limit of consecutive bytes without body data: headers, chunk sizes, trailers.
MAX_FRAMING_BYTES = 65_536
# Limit of buffered responses, including those without a request.
MAX_BUFFERED_RESPONSES = 4


class NoResponseError(Exception):
    """The received bytes are not a valid HTTP response."""


class Response:
    """One response, as far as it was received.

    Attributes:
        status: The HTTP status; 0 until all headers are received.
        headers: The headers, with names in lower case.
        parts: Received parts of the body that have not been read.
        has_headers: Whether all headers are received.
        is_complete: Whether the whole response is received.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.has_headers = False
        self.is_complete = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        if not self.has_headers or self.is_complete:
            return False
        names = {name for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def take_body(self) -> bytes:
        """Removes and returns the unread bytes of the body."""
        data = b"".join(self.parts)
        self.parts.clear()
        return data


class ResponseParser:
    """Parses the bytes of a connection into consecutive responses.

    A faulty target may send more responses than it got requests. Each response
    is buffered separately, so that no byte of one ends up in another.

    Attributes:
        has_invalid_bytes: Whether invalid bytes followed a complete response.
    """

    def __init__(self) -> None:
        self.has_invalid_bytes = False
        self._responses: collections.deque[Response] = collections.deque()
        self._incoming = Response()
        self._responses.append(self._incoming)
        self._has_message_begun = False
        self._framing_bytes = 0
        self._has_body_data = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def current(self) -> Response:
        """The response that is being read."""
        return self._responses[0]

    @property
    def has_more(self) -> bool:
        """Whether anything was received after the current response."""
        return self.has_invalid_bytes or len(self._responses) > 1

    def drop_current(self) -> None:
        """Moves on to the response after the current one."""
        self._responses.popleft()
        if not self._responses:
            self._incoming = Response()
            self._responses.append(self._incoming)
            self._has_message_begun = False

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Args:
            data: The next bytes of the connection.

        Raises:
            NoResponseError: If they are not a valid response, or exceed a
                limit.
        """
        self._has_body_data = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise NoResponseError(
                "server switched to another protocol"
            ) from error
        except httptools.HttpParserError as error:
            if not self.current.is_complete:
                # the error of a callback has the callback's as its context
                raise NoResponseError(
                    f"invalid HTTP response: {error.__context__ or error}"
                ) from error
            self.has_invalid_bytes = True
            return
        if self._has_body_data:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise NoResponseError(
                f"{self._framing_bytes} bytes received without body data"
            )

    def end_input(self) -> bool:
        """Handles the end of the connection by its peer.

        Returns:
            Whether the current response is complete with it.
        """
        if self.current.ends_with_connection:
            self.current.is_complete = True
        return self.current.is_complete

    def on_message_begin(self) -> None:
        """Starts a new response, except for the first one."""
        if not self._has_message_begun:
            self._has_message_begun = True
            return
        if len(self._responses) >= MAX_BUFFERED_RESPONSES:
            raise NoResponseError("more responses than requests")
        self._incoming = Response()
        self._responses.append(self._incoming)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the response that is being received.

        Fields behind the body (trailers) are no headers.
        """
        if self._incoming.has_headers:
            return
        if len(self._incoming.headers) >= MAX_HEADERS:
            raise NoResponseError("too many headers")
        self._incoming.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Sets the status once all headers are received."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise NoResponseError(f"status {status}")
        if status < MIN_FINAL_STATUS and _names_body(self._incoming.headers):
            raise NoResponseError(f"status {status} with a body")
        for name, value in self._incoming.headers:
            # the parser reads chunks if nothing but spaces follow the name
            coding = value.rstrip(b" ").lower()
            if name == b"transfer-encoding" and coding != b"chunked":
                raise NoResponseError(f"transfer coding {ascii(coding[:40])}")
        self._incoming.status = status
        self._incoming.has_headers = True

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._has_body_data = True
        self._incoming.parts.append(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        self._incoming.is_complete = True
        # An interim (1xx) response does not reset the limit; a final one does.
        self._has_body_data = (
            self._has_body_data or self._incoming.status >= MIN_FINAL_STATUS
        )


def _names_body(headers: list[tuple[bytes, bytes]]) -> bool:
    """Returns whether headers say that a body which is not empty follows."""
    value_by_name = dict(headers)
    return b"transfer-encoding" in value_by_name or bool(
        value_by_name.get(b"content-length", b"").strip(b" \t0")
    )


__all__ = [
    "MAX_FRAMING_BYTES",
    "MAX_HEADERS",
    "MIN_FINAL_STATUS",
    "NoResponseError",
    "Response",
    "ResponseParser",
]
