"""HTTP/1.1 exchanges that never repeat a request by themselves."""

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
# lower ones announce the response that counts
FINAL_STATUS = 200


class HttpError(Exception):
    """The base of failed exchanges."""


class ConnectFailedError(HttpError):
    """There is no connection, so no byte of the request was sent."""


class ExchangeBrokenError(HttpError):
    """The exchange failed after the request may have been received."""


class SilenceError(ExchangeBrokenError):
    """The other side sent nothing for too long."""


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where an HTTP server listens.

    Attributes:
        ip: Its IP number.
        port: Its port.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, url: str) -> Origin:
        """Reads `http://ip:port`.

        Raises:
            ValueError: If the text has another shape.
        """
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname or not parts.port:
            raise ValueError(f"expected http://ip:port, found {url!r}")
        return cls(parts.hostname, parts.port)

    @property
    def host_header(self) -> str:
        """The value of the Host header."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


@dataclasses.dataclass
class Head:
    """The start of a response.

    Attributes:
        status: The HTTP status.
        header_by_name: The headers, by lower-case name.
    """

    status: int
    header_by_name: dict[str, str]

    def header(self, name: str, default: str = "") -> str:
        """Returns a header's value."""
        return self.header_by_name.get(name.lower(), default)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole response.

    Attributes:
        head: Its start.
        body: Its body.
    """

    head: Head
    body: bytes


async def connect(
    origin: Origin, timeout_ms: float, probes: keepalive.Probes
) -> byte_stream.ByteStream:
    """Opens a connection.

    Args:
        origin: The server.
        timeout_ms: How long it may take.
        probes: When a peer that is gone is noticed.

    Raises:
        ConnectFailedError: If none could be opened in time.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            loop = asyncio.get_running_loop()
            _, stream = await loop.create_connection(
                byte_stream.ByteStream, origin.ip, origin.port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(
            f"{origin.host_header}: {type(error).__name__} {error}"
        ) from error
    socket = stream.transport.get_extra_info("socket")
    keepalive.notice_dead_peers(socket, probes)
    return stream


async def read_some(stream: byte_stream.ByteStream, silence_ms: float) -> bytes:
    """Returns the next bytes of a connection; none only at its end.

    Raises:
        SilenceError: If nothing came in time.
        ExchangeBrokenError: If the connection broke.
    """
    try:
        return await stream.read(silence_ms)
    except TimeoutError as error:
        raise SilenceError(f"nothing for {silence_ms:.0f} ms") from error
    except OSError as error:
        raise ExchangeBrokenError(str(error)) from error


def take_bytes(feed: responses.ResponseFeed, data: bytes) -> None:
    """Hands bytes of a connection to the responses that they make.

    Raises:
        ExchangeBrokenError: If they make none.
    """
    try:
        feed.feed(data)
    except responses.NoResponseError as error:
        raise ExchangeBrokenError(str(error)) from error


async def next_head(
    feed: responses.ResponseFeed,
    read: Callable[[float], Awaitable[None]],
    silence_ms: float,
) -> responses.Response:
    """Returns the response that counts once its head is whole.

    Args:
        feed: The responses of the connection.
        read: Reads more bytes of it.
        silence_ms: How long each reading may take.

    Raises:
        ExchangeBrokenError: If it did not come whole.
    """
    while True:
        while not feed.current.headers_done:
            await read(silence_ms)
        if feed.current.status >= FINAL_STATUS:
            return feed.current
        feed.skip()


class Exchange:
    """One request and its response on a connection of their own.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    def __init__(self, stream: byte_stream.ByteStream, origin: Origin) -> None:
        self.sent = False
        self._stream = stream
        self._origin = origin
        self._responses = responses.ResponseFeed()

    @classmethod
    async def connect(
        cls, origin: Origin, timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS
    ) -> Exchange:
        """Opens a connection.

        Raises:
            ConnectFailedError: If none could be opened in time.
        """
        stream = await connect(origin, timeout_ms, keepalive.TARGET_PROBES)
        return cls(stream, origin)

    def send(
        self,
        method: str,
        path: str,
        header_by_name: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Writes the request; from here on it may have been received.

        Args:
            method: The HTTP method.
            path: The path with its query.
            header_by_name: Headers besides Host and Content-Length.
            body: The body.

        Raises:
            ValueError: If a header would break the request apart.
        """
        lines = [f"{method} {path} HTTP/1.1"]
        lines.append(f"Host: {self._origin.host_header}")
        lines.append(f"Content-Length: {len(body)}")
        for name, value in (header_by_name or {}).items():
            lines.append(f"{name}: {value}")
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("line break in a header")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.sent = True
        self._stream.write(head + body)

    async def head(self, silence_ms: float) -> Head:
        """Returns the start of the response.

        Raises:
            ExchangeBrokenError: If it did not come whole.
        """
        found = await next_head(self._responses, self._feed, silence_ms)
        header_by_name = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in found.headers
        }
        return Head(found.status, header_by_name)

    async def parts(self, silence_ms: float) -> AsyncIterator[bytes]:
        """Yields the body's parts as they come, until it is whole.

        Raises:
            ExchangeBrokenError: If the body ends before it is whole.
        """
        response = self._responses.current
        while True:
            if response.parts:
                yield response.take()
            elif response.done:
                return
            else:
                await self._feed(silence_ms)

    async def body(self, silence_ms: float, max_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            ExchangeBrokenError: If it is not whole or too large.
        """
        collected = bytearray()
        async for part in self.parts(silence_ms):
            collected += part
            if len(collected) > max_bytes:
                raise ExchangeBrokenError(f"body over {max_bytes} bytes")
        return bytes(collected)

    async def _feed(self, silence_ms: float) -> None:
        data = await read_some(self._stream, silence_ms)
        if not data:
            raise ExchangeBrokenError("connection closed before the end")
        take_bytes(self._responses, data)

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()


async def fetch(
    origin: Origin,
    method: str,
    path: str,
    *,
    header_by_name: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_ms: float,
    max_bytes: int = 16_777_216,
) -> Reply:
    """Does one short exchange.

    Args:
        origin: The server.
        method: The HTTP method.
        path: The path with its query.
        header_by_name: Headers.
        body: The body.
        timeout_ms: Time for the whole exchange.
        max_bytes: The largest body accepted.

    Returns:
        The whole response.

    Raises:
        ConnectFailedError: If the request was not sent.
        ExchangeBrokenError: If it may have been received.
    """
    connect_timeout_ms = min(timeout_ms, DEFAULT_CONNECT_TIMEOUT_MS)
    exchange = await Exchange.connect(origin, connect_timeout_ms)
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            exchange.send(method, path, header_by_name, body)
            head = await exchange.head(timeout_ms)
            content = await exchange.body(timeout_ms, max_bytes)
    except TimeoutError as error:
        raise SilenceError(f"no answer in {timeout_ms:.0f} ms") from error
    finally:
        exchange.close()
    return Reply(head, content)


__all__ = [
    "ConnectFailedError",
    "Exchange",
    "ExchangeBrokenError",
    "Head",
    "HttpError",
    "Origin",
    "Reply",
    "SilenceError",
    "connect",
    "fetch",
    "next_head",
    "read_some",
    "take_bytes",
]
