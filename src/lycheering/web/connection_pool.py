"""Pool of persistent HTTP/1.1 connections to targets."""

from __future__ import annotations

import collections
import dataclasses
import re
from typing import TYPE_CHECKING

from lycheering.web import byte_stream
from lycheering.web import client
from lycheering.web import keepalive
from lycheering.web import responses

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from lycheering import clock

MAX_IDLE_PER_TARGET = 32
# An idle connection is closed this long before the target would close it.
CLOSE_MARGIN_MS = 600.0
# Idle timeout if the target sends no timeout in a Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_MS = 1_500.0
KEEPALIVE = keepalive.KeepaliveSettings(1, 1, 2, 2_500)

_KEEP_ALIVE_TIMEOUT = re.compile(
    r"timeout\s*=\s*([0-9]{1,9})(?![0-9])", re.IGNORECASE
)
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The HTTP status.
        headers: The headers, with names in lower case.
        ends_with_connection: Whether only the end of the connection ends the
            body, so that it can't be known to be complete.
    """

    status: int
    headers: Headers
    ends_with_connection: bool = False

    def get(self, name: bytes) -> str:
        """Returns the value of a header; empty if it is missing."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1")
        return ""


class PersistentConnection:
    """A persistent connection, used for one exchange after another.

    Attributes:
        request_count: Number of requests sent on it so far.
    """

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self.request_count = 0
        self._stream = stream
        self._responses = responses.ResponseParser()
        self._response: responses.Response | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return self._stream.is_idle

    def send(self, data: bytes) -> None:
        """Writes a request; the target may receive it from now on."""
        self.request_count += 1
        self._responses = responses.ResponseParser()
        self._response = None
        self._stream.write(data)

    async def read_head(self, timeout_ms: float) -> ResponseHead:
        """Returns status and headers of the response.

        Args:
            timeout_ms: Timeout of each read.

        Raises:
            ExchangeBrokenError: If they did not arrive completely.
        """
        found = await client.read_final_response(
            self._responses, self._feed, timeout_ms
        )
        self._response = found
        return ResponseHead(
            found.status, found.headers, found.ends_with_connection
        )

    async def read_part(self, timeout_ms: float) -> bytes:
        """Returns the next bytes of the body; no bytes only at its end.

        Args:
            timeout_ms: Timeout of each read.

        Raises:
            ExchangeBrokenError: If the body is incomplete.
        """
        response = self._responses.current
        while True:
            if response.parts:
                return response.take_body()
            if response.is_complete:
                return b""
            await self._feed(timeout_ms)

    async def skip_response(self, timeout_ms: float) -> None:
        """Discards a response that belongs to another request.

        Args:
            timeout_ms: Timeout of each read.

        Raises:
            ExchangeBrokenError: If only the end of the connection ends it.
        """
        if self._responses.current.ends_with_connection:
            raise client.ExchangeBrokenError(
                "response to another request has no defined length"
            )
        while await self.read_part(timeout_ms):
            continue
        self._responses.drop_current()
        self._response = None

    def _head(self) -> ResponseHead | None:
        if self._response is None:
            return None
        return ResponseHead(self._response.status, self._response.headers)

    async def _feed(self, timeout_ms: float) -> None:
        data = await client.read_chunk(self._stream, timeout_ms)
        if data:
            client.feed_bytes(self._responses, data)
        else:
            await client.read_end(self._responses, self._stream, timeout_ms)

    def idle_timeout_ms(self) -> float:
        """Returns how long it may stay idle; 0 if it must be closed."""
        head = self._head()
        if head is None or not self._responses.current.is_complete:
            return 0.0
        if self._responses.has_more or not self.is_open:
            return 0.0
        if "close" in head.get(b"connection").lower():
            return 0.0
        if not self._stream.is_write_buffer_empty:
            # The target responded before it had read the whole request.
            return 0.0
        timeout = _KEEP_ALIVE_TIMEOUT.search(head.get(b"keep-alive"))
        if timeout is None:
            return DEFAULT_IDLE_TIMEOUT_MS
        return max(0.0, int(timeout.group(1)) * 1_000.0 - CLOSE_MARGIN_MS)

    def close(self) -> None:
        """Closes the connection; the target stops work on an open request."""
        self._stream.close()

    def abort(self) -> None:
        """Closes the connection at once; an open exchange fails."""
        self._stream.abort()


@dataclasses.dataclass
class _IdleConnection:
    connection: PersistentConnection
    expires_ms: float


class HttpConnectionPool:
    """The connection pool of this process, by target.

    Attributes:
        opened_count: Number of connections opened so far.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # A target without idle connections has no key.
        self._idle_by_key: dict[str, collections.deque[_IdleConnection]] = {}
        self.opened_count = 0

    def acquire(self, key: str) -> PersistentConnection | None:
        """Removes and returns a usable idle connection to a target, if any.

        Unusable connections that it finds on the way are closed.
        """
        idle = self._idle_by_key.get(key)
        now_ms = self._clock.now_ms()
        usable: PersistentConnection | None = None
        while idle and usable is None:
            entry = idle.pop()
            if entry.expires_ms > now_ms and entry.connection.is_open:
                usable = entry.connection
            else:
                entry.connection.close()
        if not idle:
            self._idle_by_key.pop(key, None)
        return usable

    def idle_keys(self) -> Collection[str]:
        """Returns the keys of the targets with idle connections."""
        return self._idle_by_key.keys()

    async def open(
        self, origin: client.Origin, timeout_ms: float
    ) -> PersistentConnection:
        """Opens a connection.

        Raises:
            ConnectFailedError: If no connection could be opened in time.
        """
        stream = await client.connect(origin, timeout_ms, KEEPALIVE)
        self.opened_count += 1
        return PersistentConnection(stream)

    def release(self, key: str, connection: PersistentConnection) -> None:
        """Returns a connection to the pool after an exchange, or closes it."""
        idle_timeout_ms = connection.idle_timeout_ms()
        if idle_timeout_ms <= 0:
            connection.close()
            return
        self._add_idle(key, connection, idle_timeout_ms)

    def add_unused(self, key: str, connection: PersistentConnection) -> None:
        """Adds a connection to the pool on which nothing was sent yet."""
        self._add_idle(key, connection, DEFAULT_IDLE_TIMEOUT_MS)

    def _add_idle(
        self, key: str, connection: PersistentConnection, idle_timeout_ms: float
    ) -> None:
        idle = self._idle_by_key.setdefault(key, collections.deque())
        if len(idle) >= MAX_IDLE_PER_TARGET:
            idle.popleft().connection.close()
        idle.append(
            _IdleConnection(connection, self._clock.now_ms() + idle_timeout_ms)
        )

    def close_except(self, keys: Iterable[str]) -> None:
        """Closes idle connections to all other targets.

        Args:
            keys: Keys of the targets that still exist.
        """
        kept_keys = set(keys)
        for key in [key for key in self._idle_by_key if key not in kept_keys]:
            for entry in self._idle_by_key.pop(key):
                entry.connection.close()

    def close_expired(self) -> None:
        """Closes idle connections that may not be used any more.

        These are expired ones, closed ones, and ones that received bytes
        without a request.
        """
        now_ms = self._clock.now_ms()
        for key, idle in list(self._idle_by_key.items()):
            for _ in range(len(idle)):
                entry = idle.popleft()
                if entry.expires_ms > now_ms and entry.connection.is_open:
                    idle.append(entry)
                else:
                    entry.connection.close()
            if not idle:
                del self._idle_by_key[key]

    def close(self) -> None:
        """Closes all idle connections."""
        self.close_except(())


__all__ = ["HttpConnectionPool", "PersistentConnection", "ResponseHead"]
