"""Starts the project's programs as processes, with stand-ins around them.

Only the standard library is used. The platform's words are those of
`deploy/wire.toml`, as a deployment speaks them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 8782
CONTROL_PORT = 8783
READY_PORT = 8789
LIST_PORT = 8784
WORKER_PORT = 8080
INTERNAL_PORTS = (7340, 7355)
ZONES = ("zone-a", "zone-b", "zone-c")
KEY = "key0of0the0tenant000"
TENANT = "tenant-a"
HOST = "front.example"
# of the site mavazi-lycheering
BOUNDS = {
    "drain_ms": 3000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "revoke_fail_closed": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "lease_ms": 3000,
    "version_ms": 10000,
}


class CannotRunError(Exception):
    """The case could not be played."""


def trouble():
    """Returns whether the disruption is part of this play."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happens, with the time since the start, to a file."""

    def __init__(self, path):
        self._path = path
        self._began = time.monotonic()
        path.write_text("", encoding="utf-8")

    def now(self):
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._began

    def write(self, text):
        """Writes a line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""

    def find(path, scopes):
        if path == ".":
            return scopes[-1][0]
        if path == "@":
            return scopes[-1][1]
        for value, _ in reversed(scopes):
            found = value
            for part in path.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit():
                    index = int(part)
                    found = found[index] if index < len(found) else None
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(map(text, value))
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def fill(source, scopes, is_last=True):
        def sections(match):
            kind, path, body = match.groups()
            value = find(path, scopes)
            if kind == "^":
                return "" if value else fill(body, scopes, is_last)
            if isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                return fill(body, scopes, is_last) if value else ""
            return "".join(
                fill(body, [*scopes, (item, key)], number == len(items) - 1)
                for number, (key, item) in enumerate(items)
            )

        source = section.sub(sections, source)
        source = source.replace("{{,}}", "" if is_last else ",")
        return re.sub(
            r"\{\{([^}#^/]+)\}\}", lambda m: text(find(m[1], scopes)), source
        )

    return fill(template, [(fields, "")])


class Program:
    """One process of the project, started as the deploy file says."""

    def __init__(self, fleet, role, ip, zone):
        self.role = role
        self.ip = ip
        self._fleet = fleet
        self._zone = zone
        self._data = fleet.folder / f"data-{ip}"
        self._log = fleet.folder / f"{role}-{ip}.log"
        self._process = None
        self._starts = 0

    @property
    def pid(self):
        """The id of the process."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def log_text(self):
        """Returns what it has logged."""
        return self._log.read_text(errors="replace")

    async def start(self):
        """Starts the process."""
        fleet = self._fleet
        fields = {
            "node_name": f"{self.role}-{self.ip}",
            "ip": self.ip,
            "failure_domain": self._zone,
            "region": "region-a",
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "control": f"{self.ip}:{CONTROL_PORT}",
            },
            "internal_ports": list(INTERNAL_PORTS),
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in fleet.control_ips],
            "bootstrap": not self._starts,
            "data_dir": str(self._data) if self.role == "control" else None,
            "fault_tolerance": {"members": 1, "failure_domains": 0},
            "bounds": BOUNDS,
            "cloud": {"address": fleet.list_address},
        }
        self._starts += 1
        template = (ROOT / "deploy" / f"{self.role}.ini").read_text()
        settings = fleet.folder / f"{self.role}-{self.ip}.ini"
        settings.write_text(render(template, fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LYCHEERING_SETTINGS": str(settings),
        }
        with open(self._log, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "deploy/start.py",
                self.role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end(self, number):
        """Sends a signal and waits for the end of the process."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
            await self._process.wait()

    def signal(self, number):
        """Sends a signal."""
        self._process.send_signal(number)


class Fleet:
    """Three control processes and some entries, on loopback addresses."""

    def __init__(self, record, entries=1):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self._temporary.name)
        self.network = _free_network()
        self.control_ips = [f"{self.network}.{n}" for n in (1, 2, 3)]
        self.list_address = f"{self.network}.200:{LIST_PORT}"
        self.controls = [
            Program(self, "control", ip, zone)
            for ip, zone in zip(self.control_ips, ZONES, strict=True)
        ]
        self.entries = [
            Program(self, "entry", f"{self.network}.{11 + n}", ZONES[n % 3])
            for n in range(entries)
        ]
        self.instances = []
        self._server = None

    async def start(self):
        """Starts the list of instances and all processes."""
        self._server = await serve(
            f"{self.network}.200", LIST_PORT, self._answer_list
        )
        for program in (*self.controls, *self.entries):
            await program.start()

    async def stop(self):
        """Ends everything."""
        for program in (*self.controls, *self.entries):
            await program.end(9)
        if self._server is not None:
            self._server.close()
        self._temporary.cleanup()

    async def _answer_list(self, request, reply):
        body = {"instances": list(self.instances), "next": None}
        await reply.send(200, [], json.dumps(body).encode())

    async def put_table(self, table):
        """Sends a manifest, to one node after the other, until it is kept."""
        await self._operate("PUT", "/v1/routes", table)
        self.record.write(f"manifest {table['version']} acknowledged")

    async def name_weights(self, model, version):
        """Names weights, until it is acknowledged."""
        body = {"model": model, "version": version}
        await self._operate("POST", "/v1/weights", body)
        self.record.write(f"weights {version} of {model} acknowledged")

    async def _operate(self, method, path, body):
        until = time.monotonic() + 25
        number = 0
        while time.monotonic() < until:
            ip = self.control_ips[number % 3]
            number += 1
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                answer = await call(
                    ip, CONTROL_PORT, method, path, [], body, timeout=2
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{method} {path} was not acknowledged")

    async def wait_ready(self, program, seconds=25):
        """Waits until an entry says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                answer = await call(
                    program.ip, READY_PORT, "GET", "/health/ready", []
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{program.ip} does not get ready")


def _free_network():
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in (1, 11, 100, 200):
                for port in (FRONT_PORT, CONTROL_PORT, INTERNAL_PORTS[0]):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free addresses")


class Answer:
    """A whole answer.

    Attributes:
        status: Its status.
        headers: Its headers, with names in lower case.
        body: Its body.
        is_whole: Whether it came to its end.
    """

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, *, until_end):
    """Returns the body of a message and whether it is whole."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        try:
            while size := int((await reader.readline()).strip() or b"x", 16):
                parts.append(await reader.readexactly(size))
                await reader.readline()
            await reader.readline()
        except (ValueError, OSError, asyncio.IncompleteReadError):
            return b"".join(parts), False
        return b"".join(parts), True
    if "content-length" in headers:
        size = int(headers["content-length"])
        try:
            return await reader.readexactly(size), True
        except (OSError, asyncio.IncompleteReadError) as error:
            return getattr(error, "partial", b""), False
    if not until_end:
        return b"", True
    try:
        return await reader.read(), True
    except OSError:
        return b"", False


async def call(
    ip, port, method, path, headers, body=None, *, timeout=5, host=None
):
    """Sends a request on a new connection and returns the whole answer."""
    data = b""
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host or ip}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Connection: close"]
    if body is not None:
        lines.append(f"Content-Length: {len(data)}")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            try:
                line, found = await read_head(reader)
            except asyncio.IncompleteReadError as error:
                raise ConnectionResetError("no answer") from error
            content, is_whole = await read_body(reader, found, until_end=True)
            return Answer(int(line.split()[1]), found, content, is_whole)
        finally:
            writer.close()


class Request:
    """A request that a stand-in received."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class Reply:
    """Answers one request of a stand-in."""

    def __init__(self, writer):
        self.writer = writer

    async def send(self, status, headers, body):
        """Sends a whole answer."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}"]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def stream(self, headers, pieces, pause):
        """Sends an answer in chunks, with a pause before each."""
        lines = ["HTTP/1.1 200 X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Transfer-Encoding: chunked"]
        head = "\r\n".join([*lines, "", ""]).encode()
        for piece in pieces:
            await asyncio.sleep(pause)
            self.writer.write(head + b"%x\r\n%s\r\n" % (len(piece), piece))
            head = b""
            await self.writer.drain()
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()


async def serve(ip, port, handle, connections=None):
    """Serves HTTP/1.1 with kept connections.

    Args:
        ip: The address.
        port: The port.
        handle: Answers a request, with a `Reply`.
        connections: A set that keeps the open connections.
    """

    async def run(reader, writer):
        if connections is not None:
            connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body, _ = await read_body(reader, headers, until_end=False)
                request = Request(method, path, headers, body)
                await handle(request, Reply(writer))
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # the play is over
            pass
        finally:
            writer.close()
            if connections is not None:
                connections.discard(writer)

    return await asyncio.start_server(run, ip, port)


def play(folder, case):
    """Plays a case and ends the process with its result.

    Args:
        folder: Where its record is written.
        case: Called with the record; returns whether the rule held.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        async with asyncio.timeout(115):
            return await case(record)

    try:
        holds = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if holds else "the rule was broken")
    print("the rule held" if holds else "the rule was broken")
    sys.exit(0 if holds else 1)
