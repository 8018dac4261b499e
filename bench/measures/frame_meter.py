"""Counts what connections of the inner protocol carry, by kind of frame."""

from __future__ import annotations

import asyncio
import collections
import contextlib

from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages

# IPv4 and TCP with time stamps
HEADER_BYTES = 52
# every second packet is acknowledged by one of its own
PACKETS_PER_READ = 1.5
# three to open and four to close
HANDSHAKE_PACKETS = 7
GREETING_BYTES = 64
READ_BYTES = 65_536
LONG_FLAG = 2
COMMAND_FLAG = 4

SETUP = "setup"
REQUEST = "request"
_KIND_BY_MESSAGE: dict[type, str] = {
    messages.Hello: SETUP,
    messages.Welcome: SETUP,
    messages.Bye: SETUP,
    messages.Heartbeat: "heartbeat",
    messages.HeartbeatReply: "heartbeat",
    messages.CacheInquiry: "ask",
    messages.CacheReport: "ask",
    messages.ViewFetch: "view",
    messages.ViewUpdate: "view",
    messages.ViewPart: "view",
    messages.ViewNotice: "view",
}


class Tally:
    """The bytes and frames of many connections.

    Attributes:
        bytes_by_kind: The bytes with headers.
        frames_by_kind: The frames; of `setup` the connections made.
    """

    def __init__(self) -> None:
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.frames_by_kind: collections.Counter[str] = collections.Counter()

    def connected(self) -> None:
        """Counts a connection."""
        self.frames_by_kind[SETUP] += 1
        self.bytes_by_kind[SETUP] += HANDSHAKE_PACKETS * HEADER_BYTES

    def read(self, size_by_kind: list[tuple[str, int]]) -> None:
        """Counts the frames of one read, which share its headers."""
        if not size_by_kind:
            return
        share = PACKETS_PER_READ * HEADER_BYTES / len(size_by_kind)
        for kind, size in size_by_kind:
            self.bytes_by_kind[kind] += round(size + share)
            self.frames_by_kind[kind] += kind != SETUP

    def copy(self) -> Tally:
        """Returns what was counted so far."""
        found = Tally()
        found.bytes_by_kind.update(self.bytes_by_kind)
        found.frames_by_kind.update(self.frames_by_kind)
        return found


class Frames:
    """Cuts one direction of a connection into frames."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._greeted = False

    def feed(self, data: bytes) -> list[tuple[str, int]]:
        """Returns kind and size of the frames that are whole now."""
        self._data += data
        found: list[tuple[str, int]] = []
        if not self._greeted:
            if len(self._data) < GREETING_BYTES:
                return found
            del self._data[:GREETING_BYTES]
            self._greeted = True
            found.append((SETUP, GREETING_BYTES))
        while (frame := self._next()) is not None:
            found.append(frame)
        return found

    def _next(self) -> tuple[str, int] | None:
        data = self._data
        if len(data) < 2:
            return None
        head = 9 if data[0] & LONG_FLAG else 2
        if len(data) < head:
            return None
        size = head + int.from_bytes(data[1:head], "big")
        if len(data) < size:
            return None
        kind = SETUP
        if not data[0] & COMMAND_FLAG:
            kind = _kind(bytes(data[head:size]))
        del data[:size]
        return kind, size


def _kind(body: bytes) -> str:
    try:
        message = codec.decode(body).message
    except errors.MalformedFrameError:
        return REQUEST
    return _KIND_BY_MESSAGE.get(type(message), REQUEST)


class Meter:
    """Passes connections to one port on and counts what goes through.

    Attributes:
        port: The port to connect to.
    """

    def __init__(self, to_port: int, host: str, tally: Tally) -> None:
        self.port = 0
        self._to_port = to_port
        self._host = host
        self._tally = tally
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._listener = await asyncio.start_server(self._serve, self._host, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tally.connected()
        onward = await asyncio.open_connection(self._host, self._to_port)
        await asyncio.gather(
            self._pass(reader, onward[1]), self._pass(onward[0], writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frames = Frames()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                self._tally.read(frames.feed(data))
                writer.write(data)
        writer.close()


__all__ = ["REQUEST", "SETUP", "Meter", "Tally"]
