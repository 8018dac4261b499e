"""HTTP/1.1 client that never retries a request by itself."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
import urllib.parse

from lycheering.web import byte_stream
from lycheering.web import keepalive
from lycheering.web import responses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

DEFAULT_CONNECT_TIMEOUT_MS = 1_000


class HttpError(Exception):
    """Base class of errors of failed exchanges."""


class ConnectFailedError(HttpError):
    """No connection could be opened, so no byte of the request was sent."""


class ConnectRefusedError(ConnectFailedError):
    """The server's machine replied that nothing listens at its port."""


class ExchangeBrokenError(HttpError):
    """The exchange failed after the request may have been received."""


class InvalidResponseError(ExchangeBrokenError):
    """The server sent what is no valid response to the request."""


class SilenceError(ExchangeBrokenError):
    """The server sent nothing for longer than the timeout."""


@dataclasses.dataclass(frozen=True)
class Origin:
    """Address of an HTTP server.

    Attributes:
        ip: The IP address.
        port: The port.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, url: str) -> Origin:
        """Parses a URL of the form `http://ip:port`.

        Raises:
            ValueError: If the URL has another form.
        """
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname or not parts.port:
            raise ValueError(f"expected http://ip:port, found {url!r}")
        return cls(parts.hostname, parts.port)

    @property
    def host_header(self) -> str:
        """Value of the Host header, with IPv6 addresses in brackets."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


@dataclasses.dataclass
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The HTTP status.
        header_by_name: Header values by name in lower case.
    """

    status: int
    header_by_name: dict[str, str]

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header, or the default if it is missing."""
        return self.header_by_name.get(name.lower(), default)


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response.

    Attributes:
        head: The status and headers.
        body: The body.
    """

    head: ResponseHead
    body: bytes


async def connect(
    origin: Origin,
    timeout_ms: float,
    keepalive_settings: keepalive.KeepaliveSettings,
) -> byte_stream.ByteStream:
    """Opens a connection.

    Args:
        origin: Address of the server.
        timeout_ms: Maximum time for connecting.
        keepalive_settings: Keep-alive settings of the connection.

    Raises:
        ConnectFailedError: If no connection could be opened in time.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            loop = asyncio.get_running_loop()
            _, stream = await loop.create_connection(
                byte_stream.ByteStream, origin.ip, origin.port
            )
    except (OSError, TimeoutError) as error:
        error_class = ConnectFailedError
        if isinstance(error, ConnectionRefusedError):
            error_class = ConnectRefusedError
        raise error_class(
            f"{origin.host_header}: {type(error).__name__} {error}"
        ) from error
    socket = stream.transport.get_extra_info("socket")
    keepalive.configure(socket, keepalive_settings)
    return stream


async def read_chunk(
    stream: byte_stream.ByteStream, read_timeout_ms: float
) -> bytes:
    """Returns the next bytes of a connection; no bytes only at its end.

    Raises:
        SilenceError: If no bytes arrived in time.
        ExchangeBrokenError: If the connection broke.
    """
    try:
        return await stream.read(read_timeout_ms)
    except TimeoutError as error:
        raise SilenceError(
            f"no bytes received for {read_timeout_ms:.0f} ms"
        ) from error
    except OSError as error:
        raise ExchangeBrokenError(str(error)) from error


def feed_bytes(parser: responses.ResponseParser, data: bytes) -> None:
    """Parses received bytes into responses.

    Raises:
        InvalidResponseError: If they are not a valid response.
    """
    try:
        parser.feed(data)
    except responses.NoResponseError as error:
        raise InvalidResponseError(str(error)) from error


async def read_end(
    parser: responses.ResponseParser,
    stream: byte_stream.ByteStream,
    timeout_ms: float,
) -> None:
    """Handles the end of a connection before that of its current response.

    A response without a length is complete with it, unless the server closed
    the connection instead of reading the rest of the request: it may have
    broken off there, and resets the connection on the next bytes.

    Args:
        parser: The parser of the connection.
        stream: The connection.
        timeout_ms: The longest wait for the server to read the request.

    Raises:
        SilenceError: If the server did not read the request in time.
        ExchangeBrokenError: If the response is incomplete.
    """
    if parser.current.ends_with_connection:
        try:
            await stream.wait_acknowledged(timeout_ms)
        except TimeoutError as error:
            raise SilenceError(
                f"request not read within {timeout_ms:.0f} ms"
            ) from error
        except OSError as error:
            raise ExchangeBrokenError(
                f"connection closed before the request was read: {error}"
            ) from error
    if not parser.end_input():
        raise ExchangeBrokenError(
            "connection closed before the end of the response"
        )


async def read_final_response(
    parser: responses.ResponseParser,
    read: Callable[[float], Awaitable[None]],
    read_timeout_ms: float,
) -> responses.Response:
    """Returns the final response once all its headers are received.

    Interim (1xx) responses are skipped.

    Args:
        parser: The parser of the connection.
        read: Reads more bytes of the connection into the parser.
        read_timeout_ms: Timeout of each read.

    Raises:
        ExchangeBrokenError: If the headers did not arrive completely.
    """
    while True:
        while not parser.current.has_headers:
            await read(read_timeout_ms)
        if parser.current.status >= responses.MIN_FINAL_STATUS:
            return parser.current
        parser.drop_current()


class Exchange:
    """One request and its response on a dedicated connection.

    Attributes:
        is_sent: Whether any byte of the request may have been sent.
    """

    def __init__(self, stream: byte_stream.ByteStream, origin: Origin) -> None:
        self.is_sent = False
        self._has_body = True
        self._stream = stream
        self._origin = origin
        self._responses = responses.ResponseParser()

    @classmethod
    async def connect(
        cls, origin: Origin, timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS
    ) -> Exchange:
        """Opens a connection.

        Raises:
            ConnectFailedError: If no connection could be opened in time.
        """
        stream = await connect(origin, timeout_ms, keepalive.TARGET_KEEPALIVE)
        return cls(stream, origin)

    def send(
        self,
        method: str,
        path: str,
        header_by_name: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Writes the request; the server may receive it from now on.

        Args:
            method: The HTTP method.
            path: The path with its query.
            header_by_name: Headers besides Host and Content-Length.
            body: The body.

        Raises:
            ValueError: If the path or a header contains a line break.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines.append(f"Host: {self._origin.host_header}")
        lines.append(f"Content-Length: {len(body)}")
        for name, value in (header_by_name or {}).items():
            lines.append(f"{name}: {value}")
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("line break in the path or a header")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._has_body = method != "HEAD"
        self.is_sent = True
        self._stream.write(head + body)

    async def head(self, read_timeout_ms: float) -> ResponseHead:
        """Returns status and headers of the response.

        Args:
            read_timeout_ms: Timeout of each read.

        Raises:
            ExchangeBrokenError: If they did not arrive completely.
        """
        found = await read_final_response(
            self._responses, self._feed, read_timeout_ms
        )
        header_by_name = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in found.headers
        }
        return ResponseHead(found.status, header_by_name)

    async def body_parts(self, read_timeout_ms: float) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive.

        Args:
            read_timeout_ms: Timeout of each read.

        Raises:
            ExchangeBrokenError: If the body is incomplete.
        """
        response = self._responses.current
        while self._has_body:
            if response.parts:
                yield response.take_body()
            elif response.is_complete:
                return
            else:
                await self._feed(read_timeout_ms)

    async def body(self, read_timeout_ms: float, max_bytes: int) -> bytes:
        """Returns the whole body.

        Args:
            read_timeout_ms: Timeout of each read.
            max_bytes: Maximum size of the body.

        Raises:
            ExchangeBrokenError: If the body is incomplete or too large.
        """
        collected = bytearray()
        async for part in self.body_parts(read_timeout_ms):
            collected += part
            if len(collected) > max_bytes:
                raise ExchangeBrokenError(
                    f"body is larger than {max_bytes} bytes"
                )
        return bytes(collected)

    async def _feed(self, read_timeout_ms: float) -> None:
        data = await read_chunk(self._stream, read_timeout_ms)
        if data:
            feed_bytes(self._responses, data)
        else:
            await read_end(self._responses, self._stream, read_timeout_ms)

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    def reset(self) -> None:
        """Ends the connection so that no rest of the request arrives later."""
        self._stream.reset()


async def fetch(
    origin: Origin,
    method: str,
    path: str,
    *,
    header_by_name: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_ms: float,
    max_bytes: int,
) -> Response:
    """Sends a request and returns the whole response.

    The request does not reach the server any more once an exchange has failed.

    Args:
        origin: Address of the server.
        method: The HTTP method.
        path: The path with its query.
        header_by_name: Headers besides Host and Content-Length.
        body: The body.
        timeout_ms: Timeout for connecting, and again for the exchange.
        max_bytes: Maximum size of the response body.

    Returns:
        The whole response.

    Raises:
        ConnectFailedError: If no connection could be opened, so that the
            request was not sent.
        ExchangeBrokenError: If the exchange failed later, so that the server
            may have received the request.
    """
    connect_timeout_ms = min(timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS)
    exchange = await Exchange.connect(origin, connect_timeout_ms)
    is_complete = False
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            exchange.send(method, path, header_by_name, body)
            head = await exchange.head(timeout_ms)
            content = await exchange.body(timeout_ms, max_bytes)
            is_complete = True
    except TimeoutError as error:
        raise SilenceError(
            f"no complete response within {timeout_ms:.0f} ms"
        ) from error
    finally:
        if is_complete or not exchange.is_sent:
            exchange.close()
        else:
            exchange.reset()
    return Response(head, content)


__all__ = [
    "ConnectFailedError",
    "ConnectRefusedError",
    "Exchange",
    "ExchangeBrokenError",
    "ResponseHead",
    "HttpError",
    "InvalidResponseError",
    "Origin",
    "Response",
    "SilenceError",
    "connect",
    "fetch",
    "read_final_response",
    "read_chunk",
    "feed_bytes",
    "read_end",
]
