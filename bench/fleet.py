"""A whole fleet of real processes and stand-ins on one machine."""

from __future__ import annotations

from collections.abc import Callable
import configparser
import dataclasses
import functools
import pathlib
import secrets

from bench import json_calls
from bench import operator_calls as operators
from bench import processes

DOMAINS = ("domain-a", "domain-b", "domain-c")
READY_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class EnginePlan:
    """How the engine stand-ins behave.

    Attributes:
        slots: Requests that one engine runs at once.
        capacity_blocks: Cached blocks that one engine holds.
        prefill_ms_per_piece: Time to prefill one missing piece.
        token_ms: Time of one decode step.
    """

    slots: int = 8
    capacity_blocks: int = 200
    prefill_ms_per_piece: float = 40.0
    token_ms: float = 10.0


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """Which processes a fleet has.

    Attributes:
        controls: Control instances.
        entries: Entry instances.
        engines: Engines, each with an agent.
        services: Plain services by name, with their number of targets.
        teams: Names of the teams.
        model: The model that the engines serve.
        engine: How the engines behave.
        fencing: Engines and services that check fencing numbers.
        once_services: Services whose calls may not be repeated.
        value_by_default: Defaults that differ from the product's.
        service_delay_ms: Time of one call of a plain service.
        agent_silence_ms: Silence after which connections are replaced.
        kv_store: Whether there is a store of kept KV cache.
        weight_store: Whether there is a weight store.
    """

    controls: int = 3
    entries: int = 2
    engines: int = 6
    services: dict[str, int] = dataclasses.field(default_factory=dict)
    teams: tuple[str, ...] = ("team-1", "team-2")
    model: str = "drafting"
    engine: EnginePlan = EnginePlan()
    fencing: frozenset[str] = frozenset()
    once_services: frozenset[str] = frozenset()
    value_by_default: dict[str, bool | int | float | str] = dataclasses.field(
        default_factory=dict
    )
    service_delay_ms: int = 5
    agent_silence_ms: int = 2_000
    kv_store: bool = False
    weight_store: bool = False


Route = Callable[[str, str, int], int]


def direct(source: str, destination: str, port: int) -> int:
    """Returns the port itself, with nothing in between."""
    return port


class Fleet(operators.OperatorCalls):
    """A running fleet.

    Attributes:
        plan: Which processes it has.
        group: Its processes.
        entry_urls: Where callers reach each entry.
        url_by_target: Where each target stand-in listens.
        key_by_team: Each team's bearer key.
        platform_url: The platform stand-in.
    """

    def __init__(
        self,
        plan: FleetPlan,
        folder: pathlib.Path,
        route: Route = direct,
    ) -> None:
        """Prepares a fleet that is not started.

        Args:
            plan: Which processes it has.
            folder: Where their files go.
            route: Returns the port by which one process reaches another.
        """
        super().__init__()
        self.plan = plan
        self._route = route
        self.group = processes.ProcessGroup(folder)
        self.entry_urls: list[str] = []
        self.url_by_target: dict[str, str] = {}
        self.key_by_team = {
            team: f"key-{team}-{secrets.token_hex(8)}" for team in plan.teams
        }
        self.platform_url = ""
        self._folder = folder
        self._ports = processes.PortAllocator()
        self._member_ports: dict[str, int] = {}
        self._stores: list[str] = []
        self._kv_url = ""

    def start(self) -> None:
        """Starts every process and waits until requests can be served."""
        self._start_outside()
        self._start_controls()
        self._configure()
        self._start_agents()
        self._start_entries()
        self.wait_serving()

    def close(self) -> None:
        """Ends every process, those first that need the others to leave."""
        for prefix in ("entry-", "agent-", "control-", ""):
            self.group.close(prefix)

    def _stand_in(self, name: str, module: str, *options: str) -> str:
        process = self.group.start(
            name, "-m", f"standins.{module}", "--port", "0", *options
        )
        return f"http://{processes.HOST}:{process.ready_port()}"

    def _start_outside(self) -> None:
        self.platform_url = self._stand_in("platform", "platform")
        weight_options: list[str] = []
        if self.plan.weight_store:
            url = self._stand_in("weight-store", "weight_store")
            weight_options = ["--weight-store", url]
        if self.plan.kv_store:
            self._kv_url = self._stand_in("kv-store", "kv_store")
            weight_options += ["--kv-store", self._kv_url]
        for number in range(self.plan.engines):
            self.start_engine(f"engine-{number}", *weight_options)
        for service, count in self.plan.services.items():
            for number in range(count):
                name = f"{service}-{number}"
                # a fixed port, so that it can be started again behind it
                options = ["--port", str(self._ports.take())]
                options += ["--delay-ms", str(self.plan.service_delay_ms)]
                if service in self.plan.fencing:
                    options.append("--check-fencing")
                url = self._stand_in(name, "service", *options)
                self.url_by_target[name] = url

    def start_engine(self, name: str, *options: str) -> None:
        """Starts an engine, on its old port if it had one."""
        engine = self.plan.engine
        old = self.url_by_target.get(name)
        port = old.rpartition(":")[2] if old else str(self._ports.take())
        command = ["-m", "standins.engine", "--port", port]
        command += ["--model", self.plan.model, "--slots", str(engine.slots)]
        command += ["--capacity-blocks", str(engine.capacity_blocks)]
        command += ["--prefill-ms-per-piece", str(engine.prefill_ms_per_piece)]
        command += ["--token-ms", str(engine.token_ms), *options]
        if "engine" in self.plan.fencing:
            command.append("--check-fencing")
        process = self.group.start(name, *command)
        process.ready_port()
        self.url_by_target[name] = f"http://{processes.HOST}:{port}"

    def write_settings(
        self,
        name: str,
        domain: str,
        role_section: str,
        option_by_name: dict[str, str],
        wire_port: int,
    ) -> pathlib.Path:
        """Writes one process's settings file and returns its path."""
        parser = configparser.ConfigParser(interpolation=None)
        parser["instance"] = {
            "name": name,
            "ip": processes.HOST,
            "failure_domain": domain,
        }
        parser["wire"] = {
            "port": str(wire_port),
            "advertised_port": str(self._route("*", name, wire_port)),
            "silence_ms": str(self.plan.agent_silence_ms),
        }
        parser["control"] = {"members": self._members_for(name)}
        parser[role_section] = option_by_name
        path = self._folder / f"{name}.ini"
        with path.open("w") as file:
            parser.write(file)
        return path

    def members(self) -> str:
        """Returns the control instances as settings name them."""
        return self._members_for("*")

    def _members_for(self, name: str) -> str:
        return ", ".join(
            f"{member}@{processes.HOST}:{self._route(name, member, port)}"
            for member, port in self._member_ports.items()
        )

    def _start_controls(self) -> None:
        names = [f"control-{number}" for number in range(self.plan.controls)]
        self._member_ports = {name: self._ports.take() for name in names}
        for name, port in self._member_ports.items():
            self.start_control(name, port)
        self._wait_ready("control", self.operator_urls)

    def start_control(
        self, name: str, wire_port: int, *, join: bool = False
    ) -> None:
        """Starts a control instance with a data folder of its own."""
        operator_port = self._ports.take()
        number = int(name.rpartition("-")[2])
        path = self.write_settings(
            name,
            DOMAINS[number % len(DOMAINS)],
            "log_store",
            {
                "data_folder": str(self._folder / f"{name}.data"),
                "operator_port": str(operator_port),
                "platform_url": self.platform_url,
                "join": str(join).lower(),
            },
            wire_port,
        )
        self.operator_urls.append(f"http://{processes.HOST}:{operator_port}")
        self.group.start(name, "-m", "lycheering", "control", str(path))

    def _start_agents(self) -> None:
        for number in range(self.plan.engines):
            self._start_agent(f"engine-{number}", number, "engine")
        for service, count in self.plan.services.items():
            for number in range(count):
                self._start_agent(f"{service}-{number}", number, service)

    def _start_agent(self, target: str, number: int, service: str) -> None:
        option_by_name = {
            "target": target,
            "url": self._routed_url(f"agent-{target}", target),
            "slots": str(self.plan.engine.slots),
        }
        if service == "engine":
            option_by_name |= {"kind": "engine", "model": self.plan.model}
            if self._kv_url:
                option_by_name["kv_store_url"] = self._kv_url
        else:
            option_by_name |= {"kind": "service", "service": service}
        name = f"agent-{target}"
        path = self.write_settings(
            name,
            DOMAINS[number % len(DOMAINS)],
            "agent",
            option_by_name,
            self._ports.take(),
        )
        self.group.start(name, "-m", "lycheering", "agent", str(path))

    def _routed_url(self, source: str, target: str) -> str:
        port = int(self.url_by_target[target].rpartition(":")[2])
        return f"http://{processes.HOST}:{self._route(source, target, port)}"

    def _start_entries(self) -> None:
        for number in range(self.plan.entries):
            port = self._ports.take()
            name = f"entry-{number}"
            path = self.write_settings(
                name,
                DOMAINS[number % len(DOMAINS)],
                "entry",
                {
                    "http_port": str(port),
                    "balancer_grace_ms": "200",
                    "state_folder": str(self._folder / f"{name}.state"),
                },
                self._ports.take(),
            )
            routed = self._route("caller", name, port)
            self.entry_urls.append(f"http://{processes.HOST}:{routed}")
            self.group.start(name, "-m", "lycheering", "entry", str(path))

    def _configure(self) -> None:
        for team, key in self.key_by_team.items():
            self.operator(
                f"/v1/teams/{team}",
                "PUT",
                self.change("the bench's team", keys=[key]),
            )
        for option, value in self.plan.value_by_default.items():
            self.set_default(option, value)
        for service in sorted(self.plan.once_services):
            self.add_exception(
                "service", service, "calls.repeatable", False, "bills"
            )
        for service in sorted(self.plan.fencing - {"engine"}):
            self.add_exception(
                "service", service, "target.checks_fencing", True, "checks"
            )

    def wait_serving(self) -> None:
        """Waits until all targets are registered and all entries ready."""
        expected = self.plan.engines + sum(self.plan.services.values())

        def registered() -> bool:
            reply = self.operator("/v1/targets")
            assert isinstance(reply, dict)
            live = [t for t in reply["targets"] if t["state"] == "live"]
            return len(live) == expected

        processes.wait_until(registered, "the agents", READY_TIMEOUT_S)
        self._wait_ready("entry", self.entry_urls)

    def _wait_ready(self, role: str, urls: list[str]) -> None:
        for number, url in enumerate(urls):
            process = self.group.process_by_name[f"{role}-{number}"]
            processes.wait_until(
                functools.partial(_is_ready, process, url),
                process.name,
                READY_TIMEOUT_S,
            )


def _is_ready(process: processes.Process, url: str) -> bool:
    if not process.running:
        # another process may answer at its address
        text = process.log_text()
        raise processes.GiveUpError(f"{process.name} ended: {text[-2_000:]}")
    return json_calls.answers(f"{url}/health/ready")


__all__ = [
    "DOMAINS",
    "EnginePlan",
    "Fleet",
    "FleetPlan",
]
