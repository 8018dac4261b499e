"""Starts the project's programs on loopback addresses for one case.

Only the standard library is used. Each machine of the deployment is a loopback
address, so that all of them have the same ports, as on the users' platform.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
CATCH_UP_S = 4.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
CONTROL_PORT = 8783
CALLER_PORT = 8782
READY_PORT = 8789
LIST_PORT = 8784
WORKER_PORT = 8080
CALL_TIMEOUT_S = 1.0
BOUNDS = {
    "version_ms": 10_000,
    "lease_ms": 3_000,
    "grace_s": 8,
    "revoke_ms": 5_000,
    "budget_ratio": 0.2,
    "budget_slack": 56.0,
    "budget_window_s": 10,
}
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Adds a line with the time since the start of the case."""
        with self._lock:
            age_s = time.monotonic() - self._began_s
            self._file.write(f"{age_s:8.3f} {text}\n")
            self._file.flush()


class Machine:
    """A machine of the deployment with one process.

    Attributes:
        name: Its name in the record.
        ip: Its address.
        role: The role of its process, `control` or `entry`.
        is_first_start: Whether the whole deployment starts for the first time.
        data: The folder that is its disk.
    """

    def __init__(
        self, name: str, ip: str, role: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.role = role
        self.is_first_start = True
        self.data = folder / f"{name}.data"
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None

    def end(self, signal_number: int) -> None:
        """Sends its process a signal and waits until it has ended."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal_number)
            self.popen.wait()


class Fleet:
    """The processes of one case, and the calls of its operator.

    Attributes:
        record: The record of the case.
        network: The first three numbers of all addresses.
        machines: All machines by their names.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        number = os.getpid()
        self.network = f"127.{20 + number % 200}.{number // 200 % 250}"
        self.machines: dict[str, Machine] = {}
        self._seeds: list[str] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    def add(self, name: str, number: int, role: str) -> Machine:
        """Adds a machine; its process is started later."""
        ip = f"{self.network}.{number}"
        machine = Machine(name, ip, role, self._folder)
        self.machines[name] = machine
        return machine

    def set_seeds(self, machines: list[Machine]) -> None:
        """Sets the control machines that settings name as seeds."""
        self._seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in machines]

    def start(self, machine: Machine) -> None:
        """Starts a machine's process with the command of the deploy file."""
        role = self._roles[machine.role]
        template = (ROOT / role["template"]).read_text()
        machine.settings.write_text(self._render(template, machine))
        command = role["run"].split()
        command[0] = sys.executable
        with machine.log.open("ab") as log:
            machine.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": str(self._folder),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "LYCHEERING_SETTINGS": str(machine.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"start {machine.name} at {machine.ip}")

    def kill(self, machine: Machine) -> None:
        """Kills a machine's process."""
        machine.end(signal.SIGKILL)
        self.record.add(f"kill {machine.name}")

    def wipe(self, machine: Machine) -> None:
        """Empties the disk of a machine whose process has ended."""
        shutil.rmtree(machine.data, ignore_errors=True)
        self.record.add(f"disk of {machine.name} is lost")

    def close(self) -> None:
        """Ends all processes and removes their files."""
        for machine in self.machines.values():
            machine.end(signal.SIGKILL)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _render(self, template: str, machine: Machine) -> str:
        """Fills in the template of a settings file as the platform does."""
        values: dict[str, Any] = {
            "ip": machine.ip,
            "failure_domain": f"zone-{machine.ip.rpartition('.')[2]}",
            "region": "region-a",
            "internal_ports": [7340, 7355],
            "seeds": self._seeds,
            "data_dir": str(machine.data),
            "bootstrap": machine.is_first_start,
            "listen": {
                "control": f"{machine.ip}:{CONTROL_PORT}",
                "front": f"{machine.ip}:{CALLER_PORT}",
                "ready": f"{machine.ip}:{READY_PORT}",
            },
            "cloud": {"address": f"{self.network}.250:{LIST_PORT}"},
            "bounds": BOUNDS,
        }
        for mark, is_kept in (("#", bool), ("^", lambda value: not value)):
            template = re.sub(
                r"\{\{" + re.escape(mark) + r"(\w+)\}\}(.*?)\{\{/\1\}\}",
                lambda found, is_kept=is_kept: (
                    found[2] if is_kept(values.get(found[1])) else ""
                ),
                template,
                flags=re.DOTALL,
            )
        return re.sub(
            r"\{\{([\w.]+)\}\}",
            lambda found: _text(_look_up(values, found[1])),
            template,
        )

    def events(self, event: str) -> list[tuple[str, str]]:
        """Returns the machine and line of each logged event of a kind."""
        found = []
        for machine in self.machines.values():
            if machine.log.exists():
                lines = machine.log.read_text(errors="replace").splitlines()
                found += [
                    (machine.name, line)
                    for line in lines
                    if f"event={event} " in f"{line} "
                ]
        return sorted(found, key=lambda item: item[1])

    def operate(
        self, machine: Machine, method: str, path: str, body: object = None
    ) -> tuple[int, bytes]:
        """Sends a call of the operator; the status is 0 without an answer."""
        status, answer = call(machine.ip, CONTROL_PORT, method, path, body)
        self.record.add(
            f"operator: {method} {path} at {machine.name}: {status or 'none'}"
        )
        return status, answer

    def put_manifest(
        self, controls: list[Machine], manifest: dict[str, Any], wait_s: float
    ) -> bool:
        """Sends a manifest to one machine after the other until it is kept."""
        until_s = time.monotonic() + wait_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            for machine in controls:
                status, _ = self.operate(machine, "PUT", "/v1/routes", manifest)
                if status == 200:
                    version = manifest["version"]
                    self.record.add(f"version {version} acknowledged")
                    return True
                if 400 <= status < 500:
                    raise NotRunError(f"the manifest was refused: {status}")
            time.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return False

    def read_version(self, machine: Machine) -> int | None:
        """Reads the manifest at a machine and returns its version."""
        status, answer = self.operate(machine, "GET", "/v1/routes")
        if status != 200:
            return None
        version = json.loads(answer)["version"]
        self.record.add(f"{machine.name} answers with version {version}")
        return int(version)


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Sends a request on a new connection; the status is 0 without answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    data = b"" if body is None else json.dumps(body).encode()
    try:
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def manifest(version: int, teams: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a manifest with one route for models, as the operator sends it.

    The names of the fields are those of deploy/wire.toml.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": "generate",
                "host": "models.example",
                "path_prefix": "/generate/",
                "kind": "stream",
                "timeout_ms": 3_000 + version,
                "objective_ms": 600,
                "priority": 0,
                "service": "models",
                "max_sends": 2,
                "is_public": False,
                "sticky": True,
                "is_resumable": True,
                "gap_aim_ms": 600,
            }
        ],
        "services": [
            {
                "name": "models",
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 268_186,
                    "kv_token_bytes": 18_432,
                    "link_mbps": 370_000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 5,
                    "max_concurrent": 12,
                    "pin_ms": 4_000.0,
                    "hold_ms": 2_000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "model-a"}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "teams": teams,
    }


def _look_up(values: dict[str, Any], path: str) -> Any:
    found: Any = values
    for name in path.split("."):
        if isinstance(found, list):
            found = found[int(name)]
        else:
            found = found.get(name, "")
    return found


def _text(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)
