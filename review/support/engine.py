"""A stand-in for a model worker that caches the parts of prompts.

It follows the users' pages: it finds cached parts only under the same
`X-Cache-Salt`, reads the parts that it lacks, and remembers which tenant's
request made a part.
"""

from __future__ import annotations

import dataclasses
import http.server
import json
import threading
from typing import Any


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that the worker has run.

    Attributes:
        request_id: The id of the requester's attempt.
        tenant: The tenant that the system named.
        salt: The text under which parts are cached.
        maker_by_part: The tenant whose request made each part that was found.
        read_parts: The parts that it had to read.
    """

    request_id: str
    tenant: str
    salt: str
    maker_by_part: dict[str, str]
    read_parts: tuple[str, ...]


class Engine:
    """A worker with one model, whose weights never change.

    Attributes:
        runs: All requests that it has run.
        events: Number of events of each answer.
    """

    def __init__(self, ip: str, port: int, instance_id: str) -> None:
        self.runs: list[Run] = []
        self.events = 3
        self._id = instance_id
        self._address = f"{ip}:{port}"
        self._maker_by_chain: dict[tuple[str, ...], str] = {}
        self._lock = threading.Lock()
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                if self.path == "/v1/report":
                    owner.report(self)
                else:
                    reply(self, 200, b"", {"X-Instance-Id": owner.instance_id})

            def do_POST(self) -> None:  # noqa: N802
                self.rfile.read(int(self.headers.get("Content-Length", "0")))
                owner.answer(self)

            def log_message(self, *_: object) -> None:
                """Writes no log."""

        self._server = http.server.ThreadingHTTPServer((ip, port), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    @property
    def instance_id(self) -> str:
        """The id of the worker."""
        return self._id

    def entry(self) -> dict[str, Any]:
        """Returns its entry of the platform's list."""
        return {
            "id": self._id,
            "service": "models",
            "address": self._address,
            "failure_domain": "zone-1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "combined",
            "models": [{"name": "model-a", "version": 1, "adapters": []}],
            "born": 1_700_000_000_000,
        }

    def report(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Answers a call for its state."""
        body = {
            "stage": "combined",
            "models": [{"name": "model-a", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 268_186,
            "handles": 0,
        }
        reply(handler, 200, json.dumps(body).encode(), {})

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Runs a request and streams its events."""
        headers = handler.headers
        expected = headers.get("X-Expect-Instance", self._id)
        version = headers.get("X-Expect-Version", "1")
        request_id = headers.get("X-Attempt-Id", "")
        named = {"X-Attempt-Id": request_id}
        if expected != self._id or version != "1":
            reply(handler, 421, b"", {**named, "X-Not-Executed": "1"})
            return
        self._run(headers, request_id)
        handler.send_response(200)
        for name, value in {
            **named,
            "X-Response-Stamp": f"stamp-{self._id}-{request_id}",
            "X-Weight-Versions": "1",
            "X-Instance-Load": "1,0,64",
            "Keep-Alive": "timeout=5",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }.items():
            handler.send_header(name, value)
        handler.end_headers()
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")

    def _run(self, headers: Any, request_id: str) -> None:
        salt = headers.get("X-Cache-Salt", "")
        tenant = headers.get("X-Tenant", "")
        parts = [
            item.strip().partition(":")[0]
            for item in headers.get("X-Prefix-Hash", "").split(",")
            if item.strip()
        ]
        maker_by_part: dict[str, str] = {}
        read_parts: list[str] = []
        chain: tuple[str, ...] = (salt, headers.get("X-Model", ""))
        with self._lock:
            for part in parts:
                chain = (*chain, part)
                maker = self._maker_by_chain.get(chain)
                if maker is not None and not read_parts:
                    maker_by_part[part] = maker
                else:
                    read_parts.append(part)
                    self._maker_by_chain[chain] = tenant
            self.runs.append(
                Run(request_id, tenant, salt, maker_by_part, tuple(read_parts))
            )

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


def reply(
    handler: http.server.BaseHTTPRequestHandler,
    status: int,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Sends a whole answer."""
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)
