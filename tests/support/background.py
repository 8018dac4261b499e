"""Runs a stand-in's application in a thread of the test process."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import threading
import time

from standins import serving

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
REQUEST_TIMEOUT_S = 10
POLL_S = 0.01


@contextlib.contextmanager
def running(build):
    """Serves an application until the context ends.

    Args:
        build: Returns the object whose `app` is served; it is called in the
            thread that serves.

    Yields:
        The object and its port.
    """
    ready = threading.Event()
    made = {}

    def serve():
        made["standin"] = build()
        app = made["standin"].app
        made["server"] = serving.StandInServer(app, 0, lambda _: ready.set())
        made["port"] = made["server"].port
        asyncio.run(made["server"].run_until_stopped())

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    assert ready.wait(START_TIMEOUT_S), "the stand-in did not start"
    try:
        yield made["standin"], made["port"]
    finally:
        made["server"].stop()
        thread.join(STOP_TIMEOUT_S)


def call(port, method, path, body=None, headers=None):
    """Makes one HTTP call and returns status, headers and body."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=REQUEST_TIMEOUT_S
    )
    with contextlib.closing(connection):
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        connection.request(method, path, raw, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()


def call_json(port, method, path, body=None, headers=None):
    """Makes one HTTP call and returns the JSON of its answer."""
    return json.loads(call(port, method, path, body, headers)[2])


def wait_until(condition, timeout_s=20):
    """Waits until a condition holds; fails after a generous time."""
    give_up = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up, "the condition never held"
        time.sleep(POLL_S)


__all__ = ["call", "call_json", "running", "wait_until"]
