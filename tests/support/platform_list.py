"""Stands in for the platform's list of instances."""

from __future__ import annotations

import http.server
import json
import threading

from tests.support import processes


class PlatformList:
    """An HTTP server of a list of instances.

    Attributes:
        state_by_instance: The state of each listed instance by its name.
        nonsense: Whether to serve malformed entries.
        server: The HTTP server.
        thread: The thread that runs the server.
    """

    def __init__(self):
        self.state_by_instance = {}
        self.nonsense = False
        platform_list = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                body = platform_list.body()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(
            (processes.HOST, 0), Handler
        )
        self.thread = threading.Thread(target=self.server.serve_forever)
        self.thread.start()

    @property
    def url(self):
        return f"http://{processes.HOST}:{self.server.server_port}"

    def body(self):
        if self.nonsense:
            return b'{"instances": [{"instance": 7, "state": "odd"}]}'
        rows = [
            {
                "instance": name,
                "ip": processes.HOST,
                "state": state,
                "failure_domain": "fd1",
            }
            for name, state in self.state_by_instance.items()
        ]
        return json.dumps({"instances": rows}).encode()

    def close(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()
