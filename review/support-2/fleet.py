"""Starts the project's programs on loopback addresses, for the cases.

Each machine has a loopback address of its own. The settings are made from the
templates of the deploy file, with values of a small deployment.
"""

import contextlib
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
COMMAND = ("python3", "-S", "deploy/start.py")
_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def render(template, fields):
    """Returns a template of the deploy file with its fields filled in."""
    tokens = []
    position = 0
    for match in _TAG.finditer(template):
        tokens.append(("text", template[position : match.start()]))
        tokens.append((match[1] or "value", match[2]))
        position = match.end()
    tokens.append(("text", template[position:]))
    return _render(tokens, [{"": fields}, fields], {})


def _render(tokens, scopes, special):
    parts = []
    index = 0
    while index < len(tokens):
        kind, name = tokens[index]
        if kind == "text":
            parts.append(name)
        elif kind == "value":
            parts.append(_text(_find(name, scopes, special)))
        elif kind in "#^":
            end = _section_end(tokens, index)
            inner = tokens[index + 1 : end]
            parts.append(_section(kind, name, inner, scopes, special))
            index = end
        index += 1
    return "".join(parts)


def _section_end(tokens, start):
    name = tokens[start][1]
    depth = 0
    for index in range(start, len(tokens)):
        if tokens[index][1] == name and tokens[index][0] in ("#", "^"):
            depth += 1
        elif tokens[index] == ("/", name):
            depth -= 1
            if not depth:
                return index
    raise ValueError(name)


def _section(kind, name, inner, scopes, special):
    value = _find(name, scopes, special)
    is_present = value not in (None, False)
    if kind == "^":
        return _render(inner, scopes, special) if not is_present else ""
    if not is_present:
        return ""
    items = [(name, value)]
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    return "".join(
        _render(
            inner,
            [*scopes, item] if isinstance(item, dict) else scopes,
            {".": item, "@": key, ",": "," if number < len(items) else ""},
        )
        for number, (key, item) in enumerate(items, 1)
    )


def _find(name, scopes, special):
    if name in special:
        return special[name]
    for scope in reversed(scopes):
        value = scope
        for key in name.split("."):
            if isinstance(value, list):
                value = value[int(key)] if int(key) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(key)
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(map(_text, value))
    return str(value)


def own_network():
    """Returns the first bytes of loopback addresses of this process."""
    pid = os.getpid()
    return f"127.{60 + (pid >> 8) % 60}.{pid & 255}"


def free_port(ips):
    """Returns a port that is free at all these addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
            except OSError:
                continue
            return port


class Process:
    """One program of the project.

    Attributes:
        name: Its name.
        ip: The address of its machine.
        log_path: What it writes.
    """

    def __init__(self, name, role, ip, settings_path, log_path):
        self.name = name
        self.ip = ip
        self.log_path = log_path
        self._role = role
        self._settings_path = settings_path
        self._process = None

    def start(self):
        """Starts it with the command of the deploy file."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LYCHEERING_SETTINGS"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [*COMMAND, self._role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def log_text(self):
        """Returns what it has written."""
        return self.log_path.read_text(errors="replace")

    def send_signal(self, number):
        """Sends it a signal."""
        self._process.send_signal(number)

    def kill(self):
        """Kills it and waits for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def has_ended(self):
        """Returns whether it has ended."""
        return self._process is None or self._process.poll() is not None


class Fleet:
    """Control instances and entries of a small deployment.

    Attributes:
        control: The control instances.
        entries: The entries.
        folder: A temporary folder.
        operator_port: The port of operators at control instances.
        caller_port: The port of callers at entries.
        ready_port: The port of readiness checks at entries.
    """

    def __init__(self, list_address, *, controls=3, entries=1, bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        network = own_network()
        control_ips = [f"{network}.{n}" for n in range(1, controls + 1)]
        entry_ips = [f"{network}.{n}" for n in range(101, 101 + entries)]
        ips = control_ips + entry_ips
        self.operator_port = free_port(ips)
        self.caller_port = free_port(ips)
        self.ready_port = free_port(ips)
        self._internal_ports = [free_port(ips), free_port(ips)]
        self._bounds = bounds or {}
        self._list_address = list_address
        self._seeds = [f"{ip}:{self.operator_port}" for ip in control_ips[:3]]
        self.control = [
            self._make(f"control-{n}", "control", ip, n)
            for n, ip in enumerate(control_ips)
        ]
        self.entries = [
            self._make(f"entry-{n}", "entry", ip, n)
            for n, ip in enumerate(entry_ips)
        ]

    def _make(self, name, role, ip, number):
        fields = {
            "ip": ip,
            "failure_domain": ZONES[number % len(ZONES)],
            "region": "region",
            "internal_ports": self._internal_ports,
            "seeds": self._seeds,
            "bootstrap": True,
            "data_dir": str(self.folder / f"{name}-data"),
            "listen": {
                "front": f"{ip}:{self.caller_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.operator_port}",
            },
            "cloud": {"address": self._list_address},
            "fault_tolerance": {
                "members": 1,
                "failure_domains": 0,
                "regions": 0,
            },
            "bounds": {
                "version_ms": 10000,
                "revoke_ms": 5000,
                "budget_ratio": 0.2,
                "budget_slack": 56,
                "budget_window_s": 10,
                "grace_s": 8,
                "lease_ms": 3000,
                **self._bounds,
            },
        }
        template = (ROOT / f"deploy/{role}.ini").read_text()
        path = self.folder / f"{name}.ini"
        path.write_text(render(template, fields))
        return Process(name, role, ip, path, self.folder / f"{name}.log")

    def start(self):
        """Starts all processes; a SIGTERM to the case ends them too."""
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        for process in (*self.control, *self.entries):
            process.start()

    def close(self):
        """Ends all processes and removes the temporary folder."""
        for process in (*self.control, *self.entries):
            process.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._started_s = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now_s(self):
        """Returns the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Closes the file."""
        self._file.close()
