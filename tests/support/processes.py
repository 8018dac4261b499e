"""Real processes under test: start, stop, kill, freeze, ask over HTTP."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
GIVE_UP_S = 40.0
POLL_S = 0.05
STOP_S = 20.0


def free_port():
    """Returns a port that the system had free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an HTTP call came back with."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout_s=10.0):
    """Does one HTTP call to 127.0.0.1; raises OSError if it can't."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    with contextlib.closing(connection):
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            response.read(),
        )


def wait_for(condition, what, give_up_s=GIVE_UP_S):
    """Waits until a condition gives something true, and returns that.

    Errors of a process that does not answer yet count as not true.
    """
    end = time.monotonic() + give_up_s
    last = None
    while time.monotonic() < end:
        try:
            last = condition()
        except (OSError, http.client.HTTPException) as error:
            last = error
        else:
            if last:
                return last
        time.sleep(POLL_S)
    raise AssertionError(f"gave up waiting for {what}; last: {last!r}")


class Process:
    """One process of the product, with its log in a file."""

    def __init__(self, name, arguments, log_path, environment=None):
        self.name = name
        self.arguments = arguments
        self.log_path = pathlib.Path(log_path)
        self.environment = environment or {}
        self.running = None

    @property
    def is_running(self):
        return self.running is not None and self.running.poll() is None

    def start(self):
        assert not self.is_running, self.name
        environment = os.environ | {
            "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
            **self.environment,
        }
        with self.log_path.open("ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        assert self.is_running, self.name
        self.running.send_signal(number)

    def kill(self):
        """Ends it at once; it may be frozen."""
        if self.is_running:
            self.running.kill()
            self.running.wait(STOP_S)

    def terminate(self):
        """Asks it to end and returns its exit code."""
        if self.is_running:
            self.running.terminate()
        return self.running.wait(STOP_S)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def log_text(self):
        return self.log_path.read_text(errors="replace")


class ProcessGroup:
    """The processes of one scenario; leaves none behind."""

    def __init__(self):
        self.process_by_name = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.process_by_name.values():
            process.kill()

    def __getitem__(self, name):
        return self.process_by_name[name]

    def add(self, name, arguments, log_path, environment=None):
        process = Process(name, arguments, log_path, environment)
        self.process_by_name[name] = process
        return process
