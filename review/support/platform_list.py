"""A stand-in for the platform's list of instances."""

from __future__ import annotations

import http.server
import json
import threading
from typing import Any


class PlatformList:
    """Serves the list; it never lags behind.

    Attributes:
        instances: The entries of the list.
    """

    def __init__(self, ip: str, port: int) -> None:
        self.instances: list[dict[str, Any]] = []
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                page = {"instances": owner.instances, "next": None}
                body = json.dumps(page).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Writes no log."""

        self._server = http.server.ThreadingHTTPServer((ip, port), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
