"""A target that answers with scripted bytes, faulty ones included."""

from __future__ import annotations

import asyncio
import contextlib

ROUTINE = {
    "/load": b'{"incarnation":"i1","model":"model","weights_version":"1",'
    b'"slots":4}',
    "/health": b"{}",
    "/cache/blocks": b'{"incarnation":"i1","seq":0,"weights_version":"1",'
    b'"blocks":[]}',
}


def event(seq, *, last=False):
    reason = '"length"' if last else "null"
    return (
        f'id: {seq}\ndata: {{"choices":[{{"text":" t{seq}",'
        f'"finish_reason":{reason}}}]}}\n\n'
    ).encode()


DONE = b"data: [DONE]\n\n"


def reply(body, *, status=200, content_type="application/json", length=None):
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 {status} x\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {size}\r\nX-Engine-Incarnation: i1\r\n"
        "X-Weights-Version: 1\r\n\r\n"
    ).encode() + body


def stream(*events):
    """Returns a stream that is cut off before its declared length."""
    body = b"".join(events)
    return reply(body, content_type="text/event-stream", length=1_000_000)


class ScriptedTarget:
    """Serves the routine paths, and scripted bytes on all others.

    Attributes:
        script: The answers to the next requests: bytes that are sent before
            the connection is closed, or None for silence.
        lines: The request lines that were received.
        silent: Whether all requests, routine ones included, get no answer.
    """

    def __init__(self, script):
        self.script = list(script)
        self.lines = []
        self.silent = False
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1):
                await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split()[0])
            await reader.readexactly(length)
            answer = self._answer(head.split("\r\n")[0])
            if answer is None:
                await reader.read()
            else:
                writer.write(answer)
                await writer.drain()
        writer.close()

    def _answer(self, line):
        path = line.split()[1].split("?")[0]
        if path == "/cache/events" or self.silent:
            return None
        if path in ROUTINE:
            return reply(ROUTINE[path])
        self.lines.append(line)
        if not self.script:
            return reply(b"{}", status=404)
        return self.script.pop(0)
