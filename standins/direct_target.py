"""A stand-in of a target of the users' platform, with faults on demand.

It speaks the published protocol: it echoes the request's id, says by
`X-Not-Executed` that it did not run a request, names the run that it is, and
streams events with increasing ids.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import socket
import struct

from standins import early_answers
from standins import odd_heads
from standins import spoiled_streams

READ_BYTES = 65_536
EVENT = b"id: %d\ndata: piece %d\n\n"
LEAVING = "Server-Leaving: 1\r\n"
SPARE_S = 1.2
LATE_S = 0.05
# longer than it takes until a silent target is probed
PAUSE_S = 1.2
HEAD_LENGTH = 5  # of the body that an answer to HEAD leaves out
DEADLY_PART = "deadly"
DOWN_S = 0.5
NOISE_GAP_S = 0.002
TRICKLE_GAP_S = 0.05
LARGE_BYTES = 600_000
# answers with neither a length nor chunks: media type, bytes that come before
# the connection ends, and how it ends
LENGTHLESS = {
    "streams until its connection ends": (
        "text/event-stream",
        b"".join(EVENT % (number, number) for number in range(1, 5)),
        "close",
    ),
    "ends its connection inside an event": (
        "text/event-stream",
        b"".join(EVENT % (number, number) for number in (1, 2)) + b"id: 3",
        "close",
    ),
    "resets its connection after an event": (
        "text/event-stream",
        b"".join(EVENT % (number, number) for number in (1, 2)),
        "reset",
    ),
    "falls silent after an event and refuses connections": (
        "text/event-stream",
        b"".join(EVENT % (number, number) for number in (1, 2)),
        "silence",
    ),
    "resets its connection inside a body": ("text/plain", b"who", "reset"),
    "falls silent inside a body and refuses connections": (
        "text/plain",
        b"who",
        "silence",
    ),
}
# heads that stop midway, and the number of bytes missing at their end
CUT_HEADS = {
    "stops inside its status line": -20,
    "stops inside a header": 9,
    "stops before the end of its headers": 2,
    "stops inside the end of its headers": 1,
}
# what comes again and again, behind the start of an answer
START_AND_NOISE = {
    "sends a head without end": (b"HTTP/1.1 200 Said\r\nX-A: ", b"a" * 4_096),
    "sends interim answers without end": (
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
    ),
    "sends a chunk size without end": (b"CHUNKED5;a=", b"a" * 4_096),
    "sends trailers without end": (b"CHUNKED0\r\nX-A: ", b"a" * 4_096),
    "sends a body without end": (b"LENGTHLESS", b"a" * 4_096),
    "sends an event without end": (
        b"EVENTS",
        b"8000\r\n" + b"a" * 32_768 + b"\r\n",
    ),
}


def own_host() -> str:
    """Returns a loopback address that this process alone uses.

    A free port of 127.0.0.1 may have been another process's a moment ago,
    whose peers still call it.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 250}.{pid >> 8 & 255}.{pid & 255}"


@dataclasses.dataclass
class Received:
    """A request as the target got it.

    Attributes:
        line: Its first line.
        value_by_header: Its headers, names in lower case.
        body: Its body.
        connection: The number of the connection that it came on.
        was_cut: Whether the connection ended before the answer did.
    """

    line: str
    value_by_header: dict[str, str]
    body: bytes
    connection: int
    was_cut: bool = False


class DirectTarget:
    """Answers requests as its behaviour says.

    Attributes:
        target_id: The run that it is.
        behaviour: What it does with requests, one of `BEHAVIOURS`.
        received: Every request that it got.
        host: The address that it listens at.
        port: Its port, once started.
        pieces: Events of a stream.
        gap_s: Time between two events.
        event_bytes: What each event carries besides its number.
        noise_bytes: Bytes sent that are no answer.
        crash_count: Number of its crashes.
        run_ids: Ids of the requests that it ran although it repeated a refusal.
        names_requests: Whether its answers contain the request's id.
        queue_s: Time until it begins to answer a prompt that crashes it.
        rate_limit: The requests a second that it takes, as its answers name
            them; empty for no limit.
        load: Its running and waiting requests and its slots, as its answers
            name them.
        software_version: Version of its software, as the list names it.
        spoiled_stream: The stream that it spoils.
        spoiled_share: The share of its streams that it spoils at random.
        text_by_number: The text of some events of its streams.
        rng: Determines these.
        received_s: When each request arrived, on the clock of the loop.
    """

    BEHAVIOURS = (
        "answers",
        "streams",
        "streams data lines that end like ids",
        "spoils its stream",
        "sheds",
        "sheds without word that the request did not run",
        "fails",
        "is another run",
        "cuts before the answer",
        "crashes under a prompt part",
        *LENGTHLESS,
        *CUT_HEADS,
        *odd_heads.ANSWERS,
        *early_answers.ANSWERS,
        "repeats its refusal of the request before",
        "repeats a refusal that names no request",
        "cuts after the head",
        "cuts inside an event",
        "cuts the body",
        "answers another request",
        "is silent",
        "sends more than the answer",
        "ends with its connection",
        "sends its answer twice at once",
        "sends its last answer once more late",
        "says that it leaves",
        "sheds and says that it leaves",
        "sheds and asks to be spared",
        "sends a head without end",
        "sends interim answers without end",
        "sends a chunk size without end",
        "sends trailers without end",
        "sends a body without end",
        "sends an event without end",
        "sends a large answer",
        "trickles bytes of an event",
        "switches protocols",
        "tells its load in other digits",
        "is silent for a while",
    )

    def __init__(self, target_id: str, behaviour: str = "answers") -> None:
        self.target_id = target_id
        self.behaviour = behaviour
        self.received: list[Received] = []
        self.host = own_host()
        self.port = 0
        self.pieces = 4
        self.gap_s = 0.0
        self.event_bytes = 0
        self.noise_bytes = 0
        self.crash_count = 0
        self.run_ids: list[str] = []
        self.names_requests = False
        self.queue_s = 0.0
        self.rate_limit = ""
        self.load = "1,0,8"
        self.software_version = ""
        self.spoiled_stream = spoiled_streams.SpoiledStream()
        self.spoiled_share = 0.0
        self.text_by_number: dict[int, str] = {}
        self.rng = random.Random(1)
        self.received_s: list[float] = []
        self._last_by_connection: dict[int, bytes] = {}
        self._connections = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        listener = socket.create_server((self.host, 0))
        if self.behaviour in early_answers.ANSWERS:
            # the rest of a body does not fit into what the system buffers
            listener.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                early_answers.RECEIVE_BUFFER_BYTES,
            )
        self._server = await asyncio.start_server(self._accept, sock=listener)
        self.port = listener.getsockname()[1]

    async def stop(self) -> None:
        """Ends listening and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await self._read(reader, number)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the caller left, which its request records
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _read(
        self, reader: asyncio.StreamReader, number: int
    ) -> Received | None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        lines = head.decode("latin-1").split("\r\n")
        value_by_header = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                value_by_header[name.lower()] = value.strip()
        length = int(value_by_header.get("content-length", "0"))
        read_bytes = length
        if self.behaviour in early_answers.ANSWERS:
            read_bytes = min(length, early_answers.READ_BYTES)
        body = await reader.readexactly(read_bytes)
        request = Received(lines[0], value_by_header, body, number)
        self.received.append(request)
        self.received_s.append(asyncio.get_running_loop().time())
        return request

    async def _answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers and returns whether the connection goes on."""
        alone = self._head_alone(request)
        if alone:
            writer.write(alone)
            await writer.drain()
            return True
        match self.behaviour:
            case "cuts before the answer":
                return False
            case "is silent":
                await self._wait_gone(request, reader)
                return False
            case "is silent for a while":
                await asyncio.sleep(PAUSE_S)
                writer.write(self._head(request, 200, b"whole"))
            case "cuts after the head":
                kind = "Content-Type: text/event-stream\r\n"
                writer.write(self._head(request, 200, extra=kind, length=-2))
                return False
            case "cuts the body":
                head = self._head(request, 200, length=100)
                writer.write(head + b"less")
                return False
            case "answers another request":
                other = dataclasses.replace(request, value_by_header={})
                writer.write(self._head(other, 200, b"other", "another"))
            case "sends more than the answer":
                writer.write(self._head(request, 200, b"whole") + b"extra")
            case "switches protocols":
                extra = "Connection: upgrade\r\nUpgrade: other\r\n"
                writer.write(self._head(request, 101, extra=extra, length=-1))
            case "tells its load in other digits":
                head = self._head(request, 200, b"whole")
                writer.write(head.replace(b"1,0,8", b"\xb2,0,8"))
            case "sends its answer twice at once":
                writer.write(2 * self._head(request, 200, b"whole"))
            case "sends its last answer once more late":
                await self._late_copy(request, writer)
            case "trickles bytes of an event":
                await self._trickle(request, reader, writer)
                return False
            case "spoils its stream":
                return await self._spoil(request, writer, self.spoiled_stream)
            case noisy if noisy in START_AND_NOISE:
                await self._make_noise(request, writer)
                return False
            case lengthless if lengthless in LENGTHLESS:
                await self._answer_lengthless(request, reader, writer)
                return False
            case early if early in early_answers.ANSWERS:
                await self._answer_early(request, reader, writer)
                return False
            case odd if odd in odd_heads.ANSWERS:
                return await self._answer_oddly(request, reader, writer)
            case cut if cut in CUT_HEADS:
                kind = "Content-Type: text/event-stream\r\n"
                head = self._head(request, 200, extra=kind, length=-1)
                writer.write(head[: -CUT_HEADS[cut]])
                return False
            case (
                "repeats its refusal of the request before"
                | "repeats a refusal that names no request"
            ):
                await self._repeat_refusal(request, writer)
            case "ends with its connection":
                head = self._head(request, 200, length=-1)
                writer.write(head + b"whole")
                await writer.drain()
                return False
            case "crashes under a prompt part" if self._is_deadly(request):
                if await self._gone_within(request, reader, self.queue_s):
                    return False
                kind = "Content-Type: text/event-stream\r\n"
                writer.write(self._head(request, 200, extra=kind, length=-2))
                await writer.drain()
                self._crash()
                return False
            case "crashes under a prompt part" if " /once/" in request.line:
                writer.write(self._head(request, 200, self._body(request)))
            case (
                "streams"
                | "streams data lines that end like ids"
                | "cuts inside an event"
                | "crashes under a prompt part"
            ):
                return await self._stream(request, reader, writer)
            case _:
                writer.write(self._head(request, 200, self._body(request)))
        await writer.drain()
        return True

    def _head_alone(self, request: Received) -> bytes:
        """Returns an answer that is little more than its head, if one is."""
        if request.line.startswith("HEAD "):
            return self._head(request, 200, length=HEAD_LENGTH)
        match self.behaviour:
            case "sheds":
                return self._head(request, 503, not_run=True)
            case "sheds without word that the request did not run":
                return self._head(request, 503)
            case "fails":
                return self._head(request, 500)
            case "is another run":
                return self._head(request, 421)
            case "says that it leaves":
                return self._head(request, 200, b"whole", extra=LEAVING)
            case "sheds and says that it leaves":
                return self._head(request, 503, extra=LEAVING, not_run=True)
            case "sheds and asks to be spared":
                spare = f"Retry-After: {SPARE_S}\r\n"
                return self._head(request, 503, extra=spare, not_run=True)
            case "sends a large answer":
                return self._head(request, 200, b"x" * LARGE_BYTES)
        return b""

    def _body(self, request: Received) -> bytes:
        if not self.names_requests:
            return b"whole"
        return b"whole " + request.value_by_header["x-attempt-id"].encode()

    def _is_deadly(self, request: Received) -> bool:
        return DEADLY_PART in request.value_by_header.get("x-prefix-hash", "")

    def _crash(self) -> None:
        """Ends listening and every connection for a while."""
        assert self._server is not None
        self.crash_count += 1
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        task = asyncio.create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port
        )

    async def _late_copy(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        last = self._last_by_connection.get(request.connection)
        if last is not None:
            # found by the caller where it expects the answer to this request
            writer.write(last)
            await writer.drain()
            await asyncio.sleep(LATE_S)
        own = self._head(request, 200, b"whole")
        self._last_by_connection[request.connection] = own
        writer.write(own)

    async def _repeat_refusal(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Refuses the first request of a connection, and runs all others."""
        refusal = self._last_by_connection.get(request.connection)
        if refusal is None:
            refusal = self._head(request, 503, not_run=True)
            writer.write(refusal)
            if self.behaviour == "repeats a refusal that names no request":
                unnamed = dataclasses.replace(request, value_by_header={})
                refusal = self._head(unnamed, 503, not_run=True)
            self._last_by_connection[request.connection] = refusal
            return
        writer.write(refusal)
        await writer.drain()
        await asyncio.sleep(LATE_S)
        self.run_ids.append(request.value_by_header["x-attempt-id"])
        writer.write(self._head(request, 200, b"whole"))

    async def _make_noise(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        start, noise = START_AND_NOISE[self.behaviour]
        for mark, length, extra in (
            (b"CHUNKED", -2, ""),
            (b"LENGTHLESS", -1, ""),
            (b"EVENTS", -2, "Content-Type: text/event-stream\r\n"),
        ):
            head = self._head(request, 200, extra=extra, length=length)
            start = start.replace(mark, head)
        writer.write(start)
        while not writer.is_closing():
            self.noise_bytes += len(noise)
            writer.write(noise)
            await writer.drain()
            await asyncio.sleep(NOISE_GAP_S)

    async def _answer_lengthless(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        media_type, data, end = LENGTHLESS[self.behaviour]
        for number in range(1, _first_event(request)):
            data = data.removeprefix(EVENT % (number, number))
        kind = f"Content-Type: {media_type}\r\n"
        writer.write(self._head(request, 200, extra=kind, length=-1) + data)
        await writer.drain()
        if end == "reset":
            await _reset(writer)
        elif end == "silence":
            assert self._server is not None
            self._server.close()
            await self._wait_gone(request, reader)

    async def _answer_early(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        answer = early_answers.ANSWERS[self.behaviour]
        head = self._head(request, 200, extra=answer.headers, length=-1)
        writer.write(head + answer.framed_body)
        await writer.drain()
        match answer.end:
            case early_answers.End.RESETS:
                await _reset(writer)
            case early_answers.End.RESETS_AT_ONCE:
                _reset_at_once(writer)
            case early_answers.End.ENDS:
                writer.write_eof()
                await _reset(writer)
            case early_answers.End.READS_ON:
                if answer.framing is spoiled_streams.Framing.CLOSE:
                    writer.write_eof()
                while data := await reader.read(READ_BYTES):
                    request.body += data

    async def _answer_oddly(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        stamp = f"stamp-{self.target_id}"
        request_id = request.value_by_header.get("x-attempt-id", "")
        for part in odd_heads.parts(self.behaviour, request_id, stamp):
            writer.write(part)
            await writer.drain()
            if await self._gone_within(request, reader, LATE_S):
                break
        return False

    async def _spoil(
        self,
        request: Received,
        writer: asyncio.StreamWriter,
        stream: spoiled_streams.SpoiledStream,
    ) -> bool:
        first = _first_event(request)
        extra = stream.headers(first)
        head = self._head(request, 200, extra=extra, length=-1)
        if self.gap_s:
            writer.write(head)
            for part in stream.parts(first):
                writer.write(stream.framed(part))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
        else:
            writer.write(head + stream.framed(stream.body(first)))
        writer.write(stream.terminator)
        await writer.drain()
        if stream.end is spoiled_streams.End.CUT:
            await _reset(writer)
            return False
        return stream.framing is not spoiled_streams.Framing.CLOSE

    async def _trickle(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        kind = "Content-Type: text/event-stream\r\n"
        writer.write(self._head(request, 200, extra=kind, length=-2))
        writer.write(_chunk(EVENT % (1, 1)))
        while not await self._gone_within(request, reader, TRICKLE_GAP_S):
            writer.write(_chunk(b"d"))
            await writer.drain()

    def stream_body(self) -> bytes:
        """Returns all events of a sound stream."""
        return b"".join(map(self._event, range(1, self.pieces + 1)))

    def _event(self, number: int) -> bytes:
        if number not in self.text_by_number:
            return EVENT % (number, number)
        lines = self.text_by_number[number].split("\n")
        data = "".join(f"data: {line}\n" for line in lines)
        return f"id: {number}\n{data}\n".encode()

    async def _stream(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        first = _first_event(request)
        comment = b"." * self.event_bytes
        if self.names_requests:
            comment = request.value_by_header["x-attempt-id"].encode()
        padding = b": %s\n" % comment if comment else b""
        # bodies of idempotent calls have no numbered events
        is_stream = " /safe/" not in request.line
        if is_stream and self.rng.random() < self.spoiled_share:
            stream = spoiled_streams.draw(self.rng, first, self.pieces, padding)
            return await self._spoil(request, writer, stream)
        kind = "Content-Type: text/event-stream\r\n"
        writer.write(self._head(request, 200, extra=kind, length=-2))
        for number in range(first, self.pieces + 1):
            event = padding + self._event(number)
            if self.behaviour.endswith("like ids") and number == 2:
                event = b"id: 2\ndata: ticket id: 3\ndata: closed\n\n"
            if self.behaviour == "cuts inside an event" and number == 3:
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                return False
            writer.write(_chunk(event))
            await writer.drain()
            if await self._gone_within(request, reader, self.gap_s):
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _gone_within(
        self, request: Received, reader: asyncio.StreamReader, wait_s: float
    ) -> bool:
        if not wait_s:
            return False
        try:
            async with asyncio.timeout(wait_s):
                await self._wait_gone(request, reader)
        except TimeoutError:
            return False
        return True

    async def _wait_gone(
        self, request: Received, reader: asyncio.StreamReader
    ) -> None:
        while await reader.read(READ_BYTES):
            continue
        request.was_cut = True

    def _head(
        self,
        request: Received,
        status: int,
        body: bytes = b"",
        request_id: str = "",
        *,
        extra: str = "",
        length: int | None = None,
        not_run: bool = False,
    ) -> bytes:
        echoed = request_id or request.value_by_header.get("x-attempt-id", "")
        lines = [
            f"HTTP/1.1 {status} Said",
            *([f"X-Attempt-Id: {echoed}"] if echoed else []),
            f"X-Response-Stamp: stamp-{self.target_id}",
            f"X-Instance-Load: {self.load}",
            "Keep-Alive: timeout=5",
        ]
        if self.rate_limit:
            lines.append(f"Server-Limit: {self.rate_limit}")
        if not_run:
            lines.append("X-Not-Executed: 1")
        size = len(body) if length is None else length
        if size >= 0:
            lines.append(f"Content-Length: {size}")
        elif size == -2:
            lines.append("Transfer-Encoding: chunked")
        text = "\r\n".join(lines) + "\r\n" + extra + "\r\n"
        return text.encode() + body


def _first_event(request: Received) -> int:
    """Returns the number of the event with which a stream goes on."""
    return int(request.value_by_header.get("last-event-id", "0")) + 1


async def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection once the bytes before have arrived."""
    await asyncio.sleep(LATE_S)
    _reset_at_once(writer)


def _reset_at_once(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


__all__ = ["DirectTarget", "Received"]
