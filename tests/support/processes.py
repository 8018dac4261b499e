"""Real processes under test, and HTTP calls to them."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import pathlib
import time

from bench import processes
from tests.support import process_logs

GIVE_UP_S = 40.0
POLL_S = 0.05
STOP_S = 20.0
HOST = processes.HOST
PORTS = processes.PortAllocator()


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an HTTP call came back with."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)


def call(
    port, method, path, body=None, headers=None, timeout_s=10.0, host=HOST
):
    """Does one HTTP call; raises OSError or HTTPException if it can't."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
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


class ProcessGroup:
    """The processes of one scenario; leaves none behind."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.process_by_name = {}
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        self._stack.enter_context(process_logs.watched(self))
        return self

    def __exit__(self, *_):
        self._stack.close()
        for process in self.process_by_name.values():
            process.kill()

    def __getitem__(self, name):
        return self.process_by_name[name]

    def prepare(self, name, *command):
        """Returns a process that is not started yet."""
        log_path = self.folder / f"{name}.log"
        process = processes.Process(name, list(command), log_path)
        self.process_by_name[name] = process
        return process
