"""A small HTTP/1.1 server and client for the stand-ins of the cases."""

import asyncio
import dataclasses
import json


@dataclasses.dataclass
class Request:
    """A request as a server got it."""

    method: str
    path: str
    headers: dict
    body: bytes


@dataclasses.dataclass
class Answer:
    """An answer as a client got it; status 0 means that none came."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool
    error: str = ""


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    lines = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Returns a body that comes in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode(status, headers, body):
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Said"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_json(status, value):
    """Returns an answer that holds JSON."""
    body = json.dumps(value).encode()
    return encode(status, {"Content-Type": "application/json"}, body)


async def serve(handle, ip, port=0):
    """Serves requests; `handle` gets each one and a writer.

    Returns:
        The server and its port.
    """

    async def serve_connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await handle(Request(method, path, headers, body), writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        serve_connection, ip, port, limit=1 << 20, backlog=1_024
    )
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A connection of a client, for one request after another."""

    def __init__(self):
        self._reader = None
        self._writer = None

    async def open(self, ip, port):
        """Connects to a server."""
        self._reader, self._writer = await asyncio.open_connection(
            ip, port, limit=1 << 20
        )

    async def call(self, method, path, headers, body=b""):
        """Sends a request and returns the answer as far as it came."""
        answer = Answer(0, {}, b"", False)
        lines = [f"{method} {path} HTTP/1.1"]
        sent = dict(headers)
        if body or method not in ("GET", "DELETE"):
            sent["Content-Length"] = len(body)
        lines += [f"{name}: {value}" for name, value in sent.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        try:
            self._writer.write(head + body)
            line, answer.headers = await read_head(self._reader)
            answer.status = int(line.split(" ")[1])
            answer.body = await read_body(self._reader, answer.headers)
            answer.is_complete = True
        except (OSError, EOFError, ValueError) as error:
            answer.error = repr(error)
        return answer

    def close(self):
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


async def call(ip, port, method, path, headers=None, body=b"", timeout_s=5.0):
    """Sends a request on a new connection and returns the answer."""
    connection = Connection()
    answer = Answer(0, {}, b"", False)
    try:
        async with asyncio.timeout(timeout_s):
            await connection.open(ip, port)
            sent = {"Host": f"{ip}:{port}", **(headers or {})}
            answer = await connection.call(method, path, sent, body)
    except (OSError, TimeoutError) as error:
        answer.error = repr(error)
    finally:
        connection.close()
    return answer
