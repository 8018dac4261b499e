"""Steps for the HTTP client."""

from __future__ import annotations

import asyncio
import socket
import struct

from behave import given
from behave import then
from behave import when

from lycheering.web import client
from lycheering.web import responses

LOCALHOST = "127.0.0.1"
TIMEOUT_MS = 10_000
SHORT_TIMEOUT_MS = 100
MAX_BYTES = 64
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
RESET_DELAY_S = 0.05
NO_LINGER = struct.pack("ii", 1, 0)
RESPONSE_BY_KIND = {
    "a truncated body": HEAD + b"Content-Length: 11\r\n\r\nhello",
    "a truncated chunked body": CHUNKED + b"5\r\nhello\r\n",
    "a malformed chunk length": CHUNKED + b"zz\r\nhello\r\n0\r\n\r\n",
    "no bytes at all": b"",
    "a truncated header": HEAD + b"Content-Le",
    "bytes that are not HTTP": b"220 mail.example ready\r\n\r\n",
    "too many headers": HEAD
    + b"".join(b"X-%d: 1\r\n" % n for n in range(responses.MAX_HEADERS + 1))
    + b"Content-Length: 0\r\n\r\n",
    "a body over the size limit": HEAD
    + b"Content-Length: 65\r\n\r\n"
    + b"x" * 65,
    "a pause in the body": HEAD + b"Content-Length: 11\r\n\r\nhello",
    "a body of known length": HEAD + b"Content-Length: 11\r\n\r\nhello world",
    "a chunked body": CHUNKED + b"6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n",
    "a body of unknown length": HEAD + b"Connection: close\r\n\r\nhello world",
    "a body of unknown length that is reset": HEAD
    + b"Connection: close\r\n\r\nhello world",
    "an interim response before it": b"HTTP/1.1 100 Continue\r\n\r\n"
    + HEAD
    + b"Content-Length: 11\r\n\r\nhello world",
}


class Server:
    """Sends a fixed response to the request of each connection."""

    def __init__(self, response, stays_open=False, resets=False):
        self.requests = 0
        self.origin = None
        self._response = response
        self._stays_open = stays_open
        self._resets = resets
        self._done = asyncio.Event()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, LOCALHOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.origin = client.Origin(LOCALHOST, port)
        return self

    async def __aexit__(self, *exc_info):
        self._done.set()
        self._server.close()
        await asyncio.gather(*self._tasks)
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        head = await reader.read(65_536)
        if head:
            self.requests += 1
            writer.write(self._response)
            if self._stays_open:
                await self._done.wait()
            if self._resets:
                # the response has to arrive before the reset
                await asyncio.sleep(RESET_DELAY_S)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
                writer.transport.abort()
        writer.close()


def run(context, work):
    """Runs work against the scenario's server; stores its result or error."""

    async def serve():
        kind = context.web_kind
        stays_open = kind.startswith("a pause")
        resets = kind.endswith("that is reset")
        async with Server(RESPONSE_BY_KIND[kind], stays_open, resets) as server:
            try:
                context.web_result = await work(server.origin)
            except (client.HttpError, ValueError) as error:
                context.web_result = error
            context.web_requests = server.requests

    asyncio.run(serve())


@given("a web server that responds with {kind}")
def step_server(context, kind):
    context.web_kind = kind


@when("the web client fetches from it")
def step_fetch(context):
    timeout_ms = TIMEOUT_MS
    if context.web_kind.startswith("a pause"):
        timeout_ms = SHORT_TIMEOUT_MS

    async def work(origin):
        return await client.fetch(
            origin,
            "POST",
            "/x",
            body=b"{}",
            timeout_ms=timeout_ms,
            max_bytes=MAX_BYTES,
        )

    run(context, work)


@then("the web exchange fails as broken")
def step_broken(context):
    result = context.web_result
    assert isinstance(result, client.ExchangeBrokenError), result


@then("the web server received {count:d} request")
def step_requests(context, count):
    assert context.web_requests == count


@then('the web response is "{text}"')
def step_response(context, text):
    assert isinstance(context.web_result, client.Response), context.web_result
    assert context.web_result.head.status == 200
    assert context.web_result.body == text.encode()


@when("the web client fetches from a port without a listener")
def step_no_listener(context):
    async def work():
        async with Server(b"") as server:
            origin = server.origin
        try:
            await client.fetch(
                origin, "GET", "/", timeout_ms=TIMEOUT_MS, max_bytes=MAX_BYTES
            )
        except client.HttpError as error:
            context.web_result = error

    asyncio.run(work())


@then("the web exchange fails before sending")
def step_sent_nothing(context):
    result = context.web_result
    assert isinstance(result, client.ConnectFailedError), result


@when("the web client sends a line break in {place}")
def step_line_break(context, place):
    broken = "x\r\nInjected: 1"
    headers = {"X": broken} if place == "a header value" else {}
    headers |= {broken: "1"} if place == "a header name" else {}
    path = f"/{broken}" if place == "the path" else "/"

    async def work(origin):
        return await client.fetch(
            origin,
            "GET",
            path,
            header_by_name=headers,
            timeout_ms=TIMEOUT_MS,
            max_bytes=MAX_BYTES,
        )

    run(context, work)


@then("the web client rejects the request as malformed")
def step_refused(context):
    assert isinstance(context.web_result, ValueError), context.web_result


@given("a web server that streams a part and waits for the reader")
def step_streams(context):
    context.web_events = []


@when("the web client reads the streamed parts")
def step_read_stream(context):
    async def work():
        read_first = asyncio.Event()

        async def serve(reader, writer):
            await reader.read(65_536)
            writer.write(CHUNKED + b"5\r\nfirst\r\n")
            await read_first.wait()
            context.web_events.append("last sent")
            writer.write(b"4\r\nlast\r\n0\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, LOCALHOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            exchange = await client.Exchange.connect(
                client.Origin(LOCALHOST, port)
            )
            exchange.send("GET", "/")
            await exchange.head(TIMEOUT_MS)
            async for part in exchange.body_parts(TIMEOUT_MS):
                context.web_events.append(part)
                read_first.set()
            exchange.close()

    asyncio.run(work())


@then("the web client got the first part before the last was sent")
def step_stream_order(context):
    assert context.web_events == [b"first", "last sent", b"last"]


@given("an HTTP server that reads nothing for {pause_ms:d} ms")
def step_slow_server(context, pause_ms):
    context.pause_s = pause_ms / 1_000


@when(
    "the web client gives up a request of {size_mb:d} MB to it after"
    " {timeout_ms:d} ms"
)
def step_give_up(context, size_mb, timeout_ms):
    body = b"x" * size_mb * 1_000_000
    context.request_bytes = len(body)
    context.received_bytes = 0

    async def read_late(reader, writer):
        reader._transport.pause_reading()
        await asyncio.sleep(context.pause_s)
        reader._transport.resume_reading()
        try:
            while data := await reader.read(65_536):
                context.received_bytes += len(data)
        except ConnectionError:
            context.was_reset = True
        writer.close()
        context.done.set()

    async def give_up():
        context.done = asyncio.Event()
        context.was_reset = False
        server = await asyncio.start_server(read_late, LOCALHOST)
        port = server.sockets[0].getsockname()[1]
        try:
            await client.fetch(
                client.Origin(LOCALHOST, port),
                "POST",
                "/",
                body=body,
                timeout_ms=timeout_ms,
                max_bytes=MAX_BYTES,
            )
        except client.SilenceError:
            context.gave_up = True
        async with asyncio.timeout(TIMEOUT_MS / 1_000):
            await context.done.wait()
        server.close()

    context.gave_up = False
    asyncio.run(give_up())


@then("the server gets less than the request, and a reset")
def step_reset(context):
    assert context.gave_up
    assert context.received_bytes < context.request_bytes
    assert context.was_reset, context.received_bytes
