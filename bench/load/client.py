"""An HTTP client on asyncio streams that reads streamed answers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import httptools
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Address:
    """Where an entry listens."""

    host: str
    port: int


class Response:
    """A response while and after it is read.

    Attributes:
        status: The status; 0 before the first line is read.
        header_by_name: The headers, with names in lower case.
        body: The body, unless a sink takes it.
        is_complete: Whether the whole response has been read.
    """

    def __init__(self, sink: Callable[[bytes], None]) -> None:
        self.status = 0
        self.header_by_name: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Takes bytes from the connection."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header from the parser."""
        text = value.decode("latin-1")
        self.header_by_name[name.decode("latin-1").lower()] = text

    def on_headers_complete(self) -> None:
        """Takes the status from the parser."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body from the parser."""
        if self.is_stream:
            self._sink(data)
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Notes the end of the response."""
        self.is_complete = True

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of events."""
        kind = self.header_by_name.get("content-type", "")
        return kind.startswith("text/event-stream")


@dataclasses.dataclass(frozen=True)
class Connection:
    """One open connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Client:
    """Keeps idle connections and reuses them.

    Attributes:
        idle_by_address: The idle connections.
    """

    def __init__(self) -> None:
        self.idle_by_address: dict[Address, list[Connection]] = {}

    async def exchange(
        self, address: Address, request: bytes, response: Response
    ) -> None:
        """Sends a request and reads the whole response.

        Args:
            address: Where to send it.
            request: The request as it goes over the wire.
            response: Takes what is read.

        Raises:
            ConnectionError: The connection ended before the response did.
        """
        idle = self.idle_by_address.setdefault(address, [])
        connection = _take_open(idle) or await self._connect(address)
        is_reusable = False
        try:
            connection.writer.write(request)
            await connection.writer.drain()
            while not response.is_complete:
                data = await connection.reader.read(READ_BYTES)
                if not data:
                    raise ConnectionResetError("closed before the end")
                response.feed(data)
            closing = response.header_by_name.get("connection") == "close"
            is_reusable = not closing
        except httptools.HttpParserError as error:
            raise ConnectionAbortedError(str(error)) from error
        finally:
            if is_reusable:
                idle.append(connection)
            else:
                connection.writer.transport.abort()

    async def _connect(self, address: Address) -> Connection:
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        return Connection(reader, writer)

    async def close(self) -> None:
        """Closes the idle connections."""
        for idle in self.idle_by_address.values():
            for connection in idle:
                connection.writer.close()
            idle.clear()


def _take_open(idle: list[Connection]) -> Connection | None:
    """Takes a connection that the server has not closed meanwhile."""
    while idle:
        connection = idle.pop()
        if not connection.reader.at_eof():
            return connection
        connection.writer.transport.abort()
    return None


def encode_request(
    method: str, path: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Returns a request as it goes over the wire."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class CallerError(msgspec.Struct):
    """The error that an entry answers with."""

    code: str = ""
    reason: str = ""
    not_run: bool = False
    retry_after_ms: float | None = None
    message: str = ""


class Delta(msgspec.Struct):
    """The text of one chunk of a chat."""

    content: str | None = None


class Choice(msgspec.Struct):
    """The choice of an answer, streamed or whole, of either shape."""

    delta: Delta | None = None
    message: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None

    def content(self) -> str:
        """Returns the text wherever it stands."""
        holder = self.delta or self.message
        if holder is not None:
            return holder.content or ""
        return self.text or ""


class Answer(msgspec.Struct):
    """One chunk, a whole answer or an error."""

    choices: list[Choice] = []
    error: CallerError | None = None


class AnswerStream:
    """Reads the events of a streamed answer.

    Attributes:
        texts: The text of each chunk.
        chunk_times_ms: When each chunk was read.
        is_done: Whether the closing event was read.
        has_finish_reason: Whether a chunk said that it is the last.
        error: The error that ended the stream, if any.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self.now_ms = now_ms
        self.texts: list[str] = []
        self.chunk_times_ms: list[float] = []
        self.is_done = False
        self.has_finish_reason = False
        self.error: CallerError | None = None
        self._rest = b""
        self._decoder = msgspec.json.Decoder(Answer)

    def feed(self, data: bytes) -> None:
        """Takes a part of the body."""
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            for line in event.split(b"\n"):
                if line.startswith(b"data:"):
                    self._take(line.removeprefix(b"data:").strip())

    def _take(self, data: bytes) -> None:
        if data == b"[DONE]":
            self.is_done = True
            return
        answer = self._decoder.decode(data)
        if answer.error is not None:
            self.error = answer.error
        for choice in answer.choices:
            self.texts.append(choice.content())
            self.chunk_times_ms.append(self.now_ms())
            if choice.finish_reason is not None:
                self.has_finish_reason = True


__all__ = [
    "Address",
    "Answer",
    "AnswerStream",
    "CallerError",
    "Client",
    "Response",
    "encode_request",
]
