"""HTTP/1.1 connections to targets that are kept for later requests."""

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
# a kept connection is given up this long before the target closes it
CLOSE_MARGIN_MS = 600.0
# how long a connection is kept whose target does not say for how long
UNSTATED_IDLE_MS = 1_500.0
PROBES = keepalive.Probes(1, 1, 2, 2_500)

_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass
class ResponseHead:
    """The start of a response.

    Attributes:
        status: The HTTP status.
        headers: Its headers, names in lower case.
    """

    status: int
    headers: Headers

    def get(self, name: bytes) -> str:
        """Returns a header's value, empty where there is none."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""


class KeptConnection:
    """A connection that carries one exchange after another.

    Attributes:
        exchanges: The exchanges that it has carried, this one included.
    """

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self.exchanges = 0
        self._stream = stream
        self._responses = responses.ResponseFeed()
        self._response: responses.Response | None = None
        self._ended_cleanly = False

    @property
    def is_open(self) -> bool:
        """Whether nothing arrived or ended since the last exchange."""
        return self._stream.is_quiet

    def send(self, data: bytes) -> None:
        """Writes a request; from here on it may have been received."""
        self.exchanges += 1
        self._responses = responses.ResponseFeed()
        self._response = None
        self._ended_cleanly = False
        self._stream.write(data)

    async def head(self, timeout_ms: float) -> ResponseHead:
        """Returns the start of the response.

        Raises:
            ExchangeBrokenError: If it did not come whole.
        """
        found = await client.next_head(self._responses, self._feed, timeout_ms)
        self._response = found
        return ResponseHead(found.status, found.headers)

    async def part(self, timeout_ms: float) -> bytes:
        """Returns the next bytes of the body; none only at its end.

        Raises:
            ExchangeBrokenError: If the body ends before it is whole.
        """
        response = self._responses.current
        while True:
            if response.parts:
                return response.take()
            if response.done or self._ended_cleanly:
                return b""
            await self._feed(timeout_ms)

    async def skip(self, timeout_ms: float) -> None:
        """Passes over a response that is for another request.

        Raises:
            ExchangeBrokenError: If it has no end of its own.
        """
        if self._ends_with_connection():
            raise client.ExchangeBrokenError("another response without an end")
        while await self.part(timeout_ms):
            continue
        self._responses.skip()
        self._response = None

    def _ends_with_connection(self) -> bool:
        head = self._head()
        if head is None or head.get(b"content-length"):
            return False
        return "chunked" not in head.get(b"transfer-encoding").lower()

    def _head(self) -> ResponseHead | None:
        if self._response is None:
            return None
        return ResponseHead(self._response.status, self._response.headers)

    async def _feed(self, timeout_ms: float) -> None:
        data = await client.read_some(self._stream, timeout_ms)
        if data:
            client.take_bytes(self._responses, data)
            return
        if not self._ends_with_connection() or self._response is None:
            raise client.ExchangeBrokenError("connection closed before the end")
        self._ended_cleanly = True

    def idle_ms(self) -> float:
        """Returns how long it may be kept; 0 for not at all."""
        head = self._head()
        if head is None or not self._responses.current.done:
            return 0.0
        if self._responses.has_more or not self.is_open:
            return 0.0
        if "close" in head.get(b"connection").lower():
            return 0.0
        if not self._stream.is_written:
            # the target answered before it had read the whole request
            return 0.0
        stated = _TIMEOUT.search(head.get(b"keep-alive"))
        if stated is None:
            return UNSTATED_IDLE_MS
        return max(0.0, int(stated.group(1)) * 1_000.0 - CLOSE_MARGIN_MS)

    def close(self) -> None:
        """Closes the connection, which ends work at the target."""
        self._stream.close()

    def abort(self) -> None:
        """Drops the connection at once, which breaks its exchange."""
        self._stream.abort()


@dataclasses.dataclass
class _Idle:
    connection: KeptConnection
    until_ms: float


class KeptConnections:
    """The connections of this process to targets.

    Attributes:
        opened: How many connections were made.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # no key without a connection
        self._idle_by_key: dict[str, collections.deque[_Idle]] = {}
        self.opened = 0

    def take(self, key: str) -> KeptConnection | None:
        """Returns a kept connection to a target, if there is a sound one."""
        idle = self._idle_by_key.get(key)
        now_ms = self._clock.now_ms()
        sound: KeptConnection | None = None
        while idle and sound is None:
            kept = idle.pop()
            if kept.until_ms > now_ms and kept.connection.is_open:
                sound = kept.connection
            else:
                kept.connection.close()
        if not idle:
            self._idle_by_key.pop(key, None)
        return sound

    def idle_keys(self) -> Collection[str]:
        """Returns the targets to which a connection is kept."""
        return self._idle_by_key.keys()

    async def open(
        self, origin: client.Origin, timeout_ms: float
    ) -> KeptConnection:
        """Opens a connection.

        Raises:
            ConnectFailedError: If none could be opened in time.
        """
        stream = await client.connect(origin, timeout_ms, PROBES)
        self.opened += 1
        return KeptConnection(stream)

    def give_back(self, key: str, connection: KeptConnection) -> None:
        """Keeps a connection after an exchange, or closes it."""
        idle_ms = connection.idle_ms()
        if idle_ms <= 0:
            connection.close()
            return
        self._keep(key, connection, idle_ms)

    def keep_fresh(self, key: str, connection: KeptConnection) -> None:
        """Keeps a connection on which nothing was sent yet."""
        self._keep(key, connection, UNSTATED_IDLE_MS)

    def _keep(
        self, key: str, connection: KeptConnection, idle_ms: float
    ) -> None:
        idle = self._idle_by_key.setdefault(key, collections.deque())
        if len(idle) >= MAX_IDLE_PER_TARGET:
            idle.popleft().connection.close()
        idle.append(_Idle(connection, self._clock.now_ms() + idle_ms))

    def keep_only(self, keys: Iterable[str]) -> None:
        """Closes idle connections to targets that are gone."""
        known = set(keys)
        for key in [key for key in self._idle_by_key if key not in known]:
            for kept in self._idle_by_key.pop(key):
                kept.connection.close()

    def close_expired(self) -> None:
        """Closes idle connections that may not be used any more.

        One on which something comes though nothing was asked is one of them.
        """
        now_ms = self._clock.now_ms()
        for key, idle in list(self._idle_by_key.items()):
            for _ in range(len(idle)):
                kept = idle.popleft()
                if kept.until_ms > now_ms and kept.connection.is_open:
                    idle.append(kept)
                else:
                    kept.connection.close()
            if not idle:
                del self._idle_by_key[key]

    def close(self) -> None:
        """Closes all idle connections."""
        self.keep_only(())


__all__ = ["KeptConnection", "KeptConnections", "ResponseHead"]
