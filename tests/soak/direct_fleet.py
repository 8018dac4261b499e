"""Entries and control instances as processes before direct targets."""

from __future__ import annotations

import asyncio
import contextlib
import http.server
import itertools
import json
import os
import pathlib
import random
import shutil
import tempfile
import threading

from bench import processes
from standins import direct_target
from tests.support import fault_proxy
from tests.support import process_logs
from tests.support import processes as test_processes

WIRE_PORT = 7_340
OPERATOR_PORT = 7_341
METRICS_PORT = 7_350
CALLER_PORT = 8_080
READY_PORT = 8_081
DOMAINS = ("domain-a", "domain-b", "domain-c")
SERVICE = "engines"
TEAM = "team-a"
KEY = "key-team-a"
HOST_NAME = "soak.test"
KIND_BY_PATH = {
    "/safe/": "idempotent",
    "/once/": "once",
    "/stream/": "stream",
    "/resume/": "stream",
}
SEEDS = 3
SPOILED_SHARE = 0.5
STARTED_FLEETS = itertools.count()


class TargetThread:
    """Direct targets on an event loop of their own, behind fault proxies.

    Attributes:
        targets: The targets.
        proxy_by_name: The proxy in front of each target.
    """

    def __init__(self, stack, count, seed):
        self.targets = []
        self.proxy_by_name = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        stack.callback(self._stop)
        for number in range(count):
            # streams, but answers calls that may not be repeated at once
            target = direct_target.DirectTarget(
                f"target-{number}", "crashes under a prompt part"
            )
            target.names_requests = True
            target.gap_s = 0.02
            target.rng = random.Random(f"{seed}-{number}")
            self._call(target.start())
            self.targets.append(target)
            proxy = fault_proxy.FaultProxy(target.port, target.host)
            self.proxy_by_name[target.target_id] = stack.enter_context(proxy)

    def _call(self, work):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def _stop(self):
        for target in self.targets:
            self._call(target.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class TargetList:
    """Serves the list of targets as the platform does."""

    def __init__(self, stack, host, targets):
        rows = [
            {
                "id": name,
                "service": SERVICE,
                "address": f"{fault_proxy.HOST}:{proxy.port}",
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "slots": 8,
                "state": "ready",
                "models": [],
                "born": 1,
                "version": "v1",
                "cold_remaining_ms": 0,
            }
            for number, (name, proxy) in enumerate(
                targets.proxy_by_name.items()
            )
        ]
        body = json.dumps({"instances": rows, "next": None}).encode()

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                # a caller that was killed does not read it
                with contextlib.suppress(OSError):
                    self.send_response(200)
                    self.send_header("Content-Length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)

            def log_message(self, *_):
                pass

        server = http.server.ThreadingHTTPServer((host, 0), Handler)
        self.address = f"{host}:{server.server_port}"
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        stack.callback(server.server_close)
        stack.callback(thread.join)
        stack.callback(server.shutdown)


class DirectFleet:
    """A running fleet whose entries reach targets directly.

    Attributes:
        group: Its processes.
        targets: The targets that the entries reach.
        ip_by_name: The address of each process.
        gone: The control instances that do not come back.
    """

    def __init__(
        self,
        stack,
        folder,
        *,
        controls=3,
        entries=2,
        targets=4,
        tolerated_members=1,
        seed=1,
        limit_by_name=None,
        more_sections=None,
    ):
        """Prepares the processes.

        Args:
            stack: Ends what is started.
            folder: Keeps their settings, logs and data.
            controls: The number of control instances.
            entries: The number of entries.
            targets: The number of targets.
            tolerated_members: Control instances that may be lost at once.
            seed: The seed of the targets.
            limit_by_name: Limits of callers in the route table that differ.
            more_sections: Options of further sections of all settings files.
        """
        self.group = processes.ProcessGroup(folder)
        self.gone = set()
        self._tolerated_members = tolerated_members
        self._limit_by_name = limit_by_name or {}
        self._more_sections = more_sections or {}
        self.targets = TargetThread(stack, targets, seed)
        self._folder = folder
        self._network = f"127.{100 + next(STARTED_FLEETS) % 100}"
        self._network += f".{os.getpid() % 250}"
        names = [f"control-{n}" for n in range(controls)]
        names += [f"entry-{n}" for n in range(entries)]
        self.ip_by_name = {
            name: f"{self._network}.{number}"
            for number, name in enumerate(names, 1)
        }
        self._numbers = itertools.count(len(names) + 1)
        listed = TargetList(stack, f"{self._network}.250", self.targets)
        self._list_address = listed.address
        stack.enter_context(process_logs.watched(self.group))
        stack.callback(self.group.close)

    def names(self, prefix):
        """Returns the names of the processes that begin so."""
        return [
            name
            for name in list(self.ip_by_name)
            if name.startswith(prefix) and name not in self.gone
        ]

    def process(self, name):
        return self.group.process_by_name[name]

    def kill(self, name):
        self.process(name).kill()

    def start_again(self, name):
        self.process(name).start()

    def start_first(self, name):
        """Starts a process for the first time."""
        number = list(self.ip_by_name).index(name)
        domain = DOMAINS[number % len(DOMAINS)]
        self._prepare(name, domain, is_first_start=True).start()

    def add_control(self):
        """Starts a control instance with an empty disk at a new address."""
        number = next(self._numbers)
        name = f"control-{number}"
        self.ip_by_name[name] = f"{self._network}.{number}"
        domain = DOMAINS[number % len(DOMAINS)]
        self._prepare(name, domain, is_first_start=False).start()
        self._update_seeds()
        return name

    def _update_seeds(self):
        """Names control instances that are not gone in all settings."""
        for number, name in enumerate(list(self.ip_by_name)):
            if name not in self.gone:
                domain = DOMAINS[number % len(DOMAINS)]
                self._write_settings(name, domain, is_first_start=False)

    def remove_control(self, name):
        """Kills a control instance that does not come back."""
        self.gone.add(name)
        self.kill(name)
        self._update_seeds()

    def retire_control(self, name):
        """Stops a control instance by SIGTERM, for good."""
        self.gone.add(name)
        self.process(name).terminate()
        self.process(name).wait()
        self._update_seeds()

    def lose_disk(self, name):
        """Kills a control instance and empties its disk."""
        self.kill(name)
        shutil.rmtree(self._data_folder(name))

    def restart_control(self, name):
        """Starts a control instance again, not for the first time."""
        self._write_settings(name, DOMAINS[0], is_first_start=False)
        self.start_again(name)

    def leader(self):
        """Returns the control instance that was elected last."""
        wins = [
            (line, name)
            for name in self.names("control-")
            for line in self.process(name).log_text().splitlines()
            if "event=election_won " in line
        ]
        return max(wins)[1]

    def around(self, name):
        """Returns the proxies before a target."""
        return [self.targets.proxy_by_name[name]]

    def spoil(self, name):
        """Lets a target spoil its streams; returns what ends it."""
        for target in self.targets.targets:
            if target.target_id == name:
                target.spoiled_share = SPOILED_SHARE
                return lambda: setattr(target, "spoiled_share", 0.0)
        raise KeyError(name)

    def start(self):
        """Starts all processes and waits until the entries serve."""
        for name in self.ip_by_name:
            self.start_first(name)
        self.put_table(1)
        for name in self.names("entry-"):
            test_processes.wait_for(
                lambda name=name: self.is_ready(name), f"{name} to be ready"
            )

    def _prepare(self, name, domain, *, is_first_start):
        path = self._write_settings(name, domain, is_first_start=is_first_start)
        role = name.partition("-")[0]
        process = processes.Process(
            name,
            ["deploy/start.py", role],
            self._folder / f"{name}.log",
            value_by_variable={"LYCHEERING_SETTINGS": str(path)},
        )
        self.group.process_by_name[name] = process
        return process

    def is_ready(self, name):
        """Returns whether an entry reports that it is ready."""
        answer = test_processes.call(
            READY_PORT, "GET", "/health/ready", host=self.ip_by_name[name]
        )
        return answer.status == 200

    def operate(self, name, method, body=None):
        """Sends or reads the route table at a control instance."""
        return test_processes.call(
            OPERATOR_PORT + 1,
            method,
            "/v1/routes",
            body,
            timeout_s=2.0,
            host=self.ip_by_name[name],
        )

    def put_table(self, version, give_up_s=test_processes.GIVE_UP_S):
        """Sends a route table to one instance after the other until it is kept.

        Raises:
            AssertionError: If it is refused, or not kept in time.
        """
        names = itertools.cycle(self.names("control-"))
        sent = table(version)
        sent["limits"] |= self._limit_by_name

        def kept():
            answer = self.operate(next(names), "PUT", sent)
            assert answer.status < 400 or answer.status >= 500, answer
            return answer.status == 200

        test_processes.wait_for(kept, f"table {version} to be kept", give_up_s)

    def _data_folder(self, name):
        return self._folder / f"{name}.data"

    def _write_settings(self, name, domain, *, is_first_start=True):
        """Writes a process's settings file and returns its path."""
        ip = self.ip_by_name[name]
        seeds = ", ".join(
            f"{self.ip_by_name[control]}:{OPERATOR_PORT + 1}"
            for control in self.names("control-")[:SEEDS]
        )
        sections = {
            "instance": {
                "name": ip,
                "ip": ip,
                "failure_domain": domain,
                "drain_timeout_ms": 3_000,
            },
            "wire": {"port": WIRE_PORT},
            "control": {"seeds": seeds},
        }
        if name.startswith("entry-"):
            sections["entry"] = {}
            sections["direct"] = {
                "caller_address": f"{ip}:{CALLER_PORT}",
                "ready_address": f"{ip}:{READY_PORT}",
                "list_address": self._list_address,
            }
        else:
            sections["log_store"] = {
                "data_folder": self._data_folder(name),
                "join": str(not is_first_start).lower(),
                "election_timeout_ms": 500,
                "leader_lease_ms": 350,
                "operator_port": OPERATOR_PORT,
            }
            sections["direct"] = {
                "operator_address": f"{ip}:{OPERATOR_PORT + 1}",
                "metrics_port": METRICS_PORT,
                "tolerated_losses": f"members:{self._tolerated_members}",
                "list_address": self._list_address,
            }
        sections |= self._more_sections
        path = self._folder / f"{name}.ini"
        lines = []
        for section, options in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in options.items()]
        # a process that starts at this moment reads the whole file
        new_path = path.with_suffix(".new")
        new_path.write_text("\n".join(lines) + "\n")
        new_path.rename(path)
        return path


def table(version):
    """Returns a route table as operators of the platform send it."""
    return {
        "version": version,
        "routes": [
            {
                "name": path.strip("/"),
                "host": HOST_NAME,
                "path_prefix": path,
                "kind": kind,
                "timeout_ms": 3_000 + version,
                "objective_ms": 500,
                "priority": 1,
                "service": SERVICE,
                "max_sends": 2 if path in ("/safe/", "/resume/") else 1,
                "is_public": False,
                "is_resumable": path == "/resume/",
            }
            for path, kind in KIND_BY_PATH.items()
        ],
        "services": [{"name": SERVICE, "max_connections": 100}],
        "teams": [{"name": TEAM, "keys": [KEY], "priority": 1}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


@contextlib.contextmanager
def created(**sizes):
    """Yields a fleet that is not started, and ends all of it.

    Args:
        **sizes: The numbers of processes and the seed, see `DirectFleet`.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix="lycheering-test-")
        )
        yield DirectFleet(stack, pathlib.Path(folder), **sizes)


@contextlib.contextmanager
def running(**sizes):
    """Yields a started fleet and ends all of it."""
    with created(**sizes) as fleet:
        fleet.start()
        yield fleet


__all__ = [
    "CALLER_PORT",
    "HOST_NAME",
    "KEY",
    "METRICS_PORT",
    "OPERATOR_PORT",
    "READY_PORT",
    "WIRE_PORT",
    "DirectFleet",
    "created",
    "running",
]
