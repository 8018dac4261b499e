"""A stand-in for a worker of a plain service, which notes what it runs."""

from __future__ import annotations

import dataclasses
import http.server
import threading
from typing import Any


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that the worker has run.

    Attributes:
        request_id: The id of the requester's attempt.
        method: Its method.
        path: Its path with the query.
        body: Its body.
    """

    request_id: str
    method: str
    path: str
    body: bytes


class Portal:
    """A sound worker of a plain service.

    Attributes:
        runs: All requests that it has run.
        instance_id: The id of the worker.
    """

    def __init__(self, ip: str, port: int, instance_id: str) -> None:
        self.runs: list[Run] = []
        self.instance_id = instance_id
        self._address = f"{ip}:{port}"
        self._lock = threading.Lock()
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                owner.answer(self)

            def do_POST(self) -> None:  # noqa: N802
                owner.answer(self)

            def log_message(self, *_: object) -> None:
                """Writes no log."""

        self._server = http.server.ThreadingHTTPServer((ip, port), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    def entry(self, service: str) -> dict[str, Any]:
        """Returns its entry of the platform's list."""
        return {
            "id": self.instance_id,
            "service": service,
            "address": self._address,
            "failure_domain": "zone-1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
        }

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Runs a request and answers it."""
        headers = handler.headers
        body = handler.rfile.read(int(headers.get("Content-Length", "0")))
        request_id = headers.get("X-Attempt-Id", "")
        named = {"X-Attempt-Id": request_id, "Keep-Alive": "timeout=5"}
        expected = headers.get("X-Expect-Instance", self.instance_id)
        if expected != self.instance_id:
            self._reply(handler, 421, b"", {**named, "X-Not-Executed": "1"})
            return
        if not request_id:
            self._reply(handler, 400, b"", {"X-Not-Executed": "1"})
            return
        with self._lock:
            self.runs.append(
                Run(request_id, handler.command, handler.path, body)
            )
        stamp = f"stamp-{self.instance_id}-{request_id}"
        self._reply(
            handler,
            200,
            b"recorded %d bytes" % len(body),
            {**named, "X-Response-Stamp": stamp, "X-Instance-Load": "1,0,6"},
        )

    def _reply(
        self,
        handler: http.server.BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
