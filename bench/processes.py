"""Plain processes that a bench starts, and only those, ended by their id."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_S = 0.02
LOWEST_PORT = 10_000  # below the range that the system hands out by itself
HIGHEST_PORT = 32_000
PORT_BLOCK = 400


class GiveUpError(Exception):
    """A condition did not come about in time."""


class PortAllocator:
    """Hands out ports that no other bench run on this machine is given.

    Each allocator holds the first port of a block for as long as it lives,
    so that a process that is down for a moment finds its port free again.
    """

    def __init__(self) -> None:
        self._guard = socket.socket()
        self._next_port = self._take_block()
        self._end_port = self._next_port + PORT_BLOCK - 1

    def _take_block(self) -> int:
        blocks = list(range(LOWEST_PORT, HIGHEST_PORT, PORT_BLOCK))
        random.Random(os.getpid()).shuffle(blocks)
        for first in blocks:
            try:
                self._guard.bind((HOST, first))
            except OSError:
                continue
            return first + 1
        raise GiveUpError("every block of ports is taken")

    def take(self) -> int:
        """Returns a free port, never the same one twice."""
        while self._next_port < self._end_port:
            port = self._next_port
            self._next_port += 1
            with contextlib.closing(socket.socket()) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port
        raise GiveUpError("the block of ports is used up")


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = 30.0
) -> None:
    """Returns once a condition holds.

    Raises:
        GiveUpError: If it does not in time.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise GiveUpError(f"gave up waiting for {what}")
        time.sleep(POLL_S)


@dataclasses.dataclass
class Process:
    """One process of the bench.

    Attributes:
        name: Its name in the bench.
        command: How it is started, without the interpreter.
        log_path: Where its output goes.
        popen: The running process, if it was started.
        value_by_variable: Environment variables that it gets besides.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    popen: subprocess.Popen[bytes] | None = None
    value_by_variable: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def pid(self) -> int:
        """The id of the process started last."""
        assert self.popen is not None
        return self.popen.pid

    def start(self) -> None:
        """Starts the process."""
        path = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command],
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": path} | self.value_by_variable,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log_text(self) -> str:
        """Returns what the process printed."""
        return self.log_path.read_text(errors="replace")

    def ready_port(self) -> int:
        """Returns the port that a stand-in printed when it was ready."""
        wait_until(
            lambda: "ready port=" in self.log_text() or not self.running,
            f"{self.name} to be ready",
        )
        text = self.log_text()
        if "ready port=" not in text:
            raise GiveUpError(f"{self.name} ended: {text[-2_000:]}")
        return int(text.rpartition("ready port=")[2].split()[0])

    def kill(self) -> None:
        """Ends the process as a crash would."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def terminate(self) -> None:
        """Asks the process to stop."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.terminate()

    def wait(self, timeout_s: float = 30.0) -> int:
        """Returns the exit code once the process has ended."""
        assert self.popen is not None
        return self.popen.wait(timeout_s)

    def pause(self) -> None:
        """Freezes the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def resident_bytes(self) -> int:
        """Returns the memory that the process holds now."""
        text = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_seconds(self) -> float:
        """Returns the processor time that the process has used."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


class ProcessGroup:
    """The processes of one bench run.

    Attributes:
        process_by_name: Every process, by its name.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.process_by_name: dict[str, Process] = {}
        self._folder = folder

    def start(self, name: str, *command: str) -> Process:
        """Starts a process and keeps it to be ended later."""
        process = Process(name, list(command), self._folder / f"{name}.log")
        self.process_by_name[name] = process
        process.start()
        return process

    def close(self, prefix: str = "", grace_s: float = 10.0) -> None:
        """Ends every process whose name starts so, at first by asking."""
        running = [
            process
            for name, process in self.process_by_name.items()
            if name.startswith(prefix) and process.running
        ]
        for process in running:
            process.resume()
            process.terminate()
        end = time.monotonic() + grace_s
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, end - time.monotonic()))
            process.kill()


__all__ = [
    "HOST",
    "ROOT",
    "GiveUpError",
    "PortAllocator",
    "Process",
    "ProcessGroup",
    "wait_until",
]
