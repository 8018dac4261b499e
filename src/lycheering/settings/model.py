"""The validated settings of each role."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

MAX_PORT = 65_535
Port = Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
PositiveMs = Annotated[int, pydantic.Field(gt=0, le=86_400_000)]
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpNumber = Annotated[str, pydantic.AfterValidator(_check_ip)]


class Section(pydantic.BaseModel):
    """One section of the file; options it does not know are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PeerAddress(Section):
    """Where a control instance listens.

    Attributes:
        instance: The instance's name.
        ip: Its IP number.
        port: Its port of the inner protocol.
    """

    instance: Name
    ip: IpNumber
    port: Port

    @classmethod
    def parse(cls, text: str) -> PeerAddress:
        """Reads `instance@ip:port`.

        Raises:
            ValueError: If the text has another shape.
        """
        instance, at, address = text.strip().partition("@")
        ip, colon, port = address.rpartition(":")
        if not at or not colon or not port.isdigit():
            raise ValueError(f"expected instance@ip:port, found {text!r}")
        return cls(instance=instance, ip=ip.strip("[]"), port=int(port))


def _parse_peers(value: object) -> object:
    if not isinstance(value, str):
        return value
    parts = value.replace("\n", ",").split(",")
    return tuple(PeerAddress.parse(p) for p in parts if p.strip())


def _parse_addresses(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def _check_address(value: str) -> str:
    """Checks `ip:port`, or nothing at all."""
    if not value:
        return value
    ip, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"expected ip:port, found {value!r}")
    return f"{_check_ip(ip.strip('[]'))}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of `ip:port`.

    Raises:
        ValueError: If there is no port.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def split_peer_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of a peer that can be called.

    Raises:
        ValueError: If it is no `ip:port`, or the port is 0.
    """
    ip, port = split_address(_check_address(address))
    if not ip or not port:
        raise ValueError(f"expected ip:port, found {address!r}")
    return ip, port


ListenAddress = Annotated[str, pydantic.AfterValidator(_check_address)]
ListenAddresses = Annotated[
    tuple[ListenAddress, ...], pydantic.BeforeValidator(_parse_addresses)
]
PeerAddresses = Annotated[
    tuple[PeerAddress, ...],
    pydantic.BeforeValidator(_parse_peers),
]


class InstanceSettings(Section):
    """Where this process runs.

    Attributes:
        name: The instance's name, unique in the fleet.
        ip: The IP number that peers reach this process by.
        failure_domain: The failure domain the instance is in.
        region: The region the failure domain is in.
        drain_timeout_ms: How long a planned stop waits for running work.
    """

    name: Name
    ip: IpNumber = "127.0.0.1"
    failure_domain: Name
    region: Name = "local"
    drain_timeout_ms: PositiveMs = 120_000


class WireSettings(Section):
    """The inner protocol.

    Attributes:
        port: The port that peers connect to; 0 takes any free one.
        advertised_port: The port told to peers where it is another, as
            behind a port mapping; 0 tells them `port`.
        heartbeat_ms: Time between heartbeats on a connection that is idle.
        silence_ms: Silence after which a connection is replaced.
        control_heartbeat_ms: Time between heartbeats on an idle connection
            between control and an entry or agent; 0 takes `heartbeat_ms`.
            The smaller of both ends' values is used.
        call_timeout_ms: Time that a short call may take.
        idle_close_ms: Time after which an unused connection is closed.
        agent_idle_close_ms: The same for an entry's connections to agents,
            where it is longer. Many are kept while few are used, with
            heartbeats that become rarer the more there are.
        control_bytes_per_s: Bytes a second that an entry spends on agents
            besides requests: on heartbeats, and in a fleet of more than 64
            targets on new connections and on asking what agents hold.
        max_frame_bytes: The largest frame accepted.
        high_water_mark: Frames queued for one peer before sends fail.
        curve_secret_key_file: File with this process's key pair, if any.
        curve_peers_file: File with the public keys accepted, if any.
    """

    port: Port = 0
    advertised_port: Port = 0
    heartbeat_ms: PositiveMs = 500
    silence_ms: PositiveMs = 2_000
    control_heartbeat_ms: Annotated[int, pydantic.Field(ge=0, le=4_000)] = 0
    call_timeout_ms: PositiveMs = 2_000
    idle_close_ms: PositiveMs = 30_000
    agent_idle_close_ms: PositiveMs = 1_800_000
    control_bytes_per_s: Annotated[int, pydantic.Field(ge=1_000)] = 4_800
    max_frame_bytes: Annotated[int, pydantic.Field(ge=65_536)] = 8_388_608
    high_water_mark: Annotated[int, pydantic.Field(ge=10)] = 1_000
    curve_secret_key_file: str = ""
    curve_peers_file: str = ""


class LogSettings(Section):
    """Logs.

    Attributes:
        level: The lowest level written.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(Section):
    """Metrics.

    Attributes:
        statsd_ip: Where counters go; none are sent when empty.
        statsd_port: The port of the statsd server.
        prefix: Put before every metric's name.
    """

    statsd_ip: str = ""
    statsd_port: Port = 8_125
    prefix: str = "lycheering"


class ControlSettings(Section):
    """The control instances, as every role knows them.

    Attributes:
        members: The control instances as `instance@ip:port`, comma-separated.
        seeds: The operator endpoints of some control instances as `ip:port`,
            where the others are found through them. Instances are then named
            by their IP number and all use the same port of `[wire]`.
    """

    members: PeerAddresses = ()
    seeds: ListenAddresses = ()


class LogStoreSettings(Section):
    """A control instance's replicated log and operator endpoint.

    Attributes:
        data_folder: The one folder that holds all that must survive.
        operator_port: The port of the operator endpoint.
        join: Whether an empty disk joins a group that runs already.
        election_timeout_ms: Shortest silence before an election.
        leader_lease_ms: Time a leader may act on after a quorum answered.
        snapshot_entries: Entries applied between two snapshots.
        platform_url: The platform's list of instances, if there is one.
        platform_poll_ms: Time between two readings of that list.
        operator_key_file: File with the operators' bearer keys, if any.
    """

    data_folder: str
    operator_port: Port = 0
    join: bool = False
    election_timeout_ms: PositiveMs = 900
    leader_lease_ms: PositiveMs = 600
    snapshot_entries: Annotated[int, pydantic.Field(ge=10)] = 5_000
    platform_url: str = ""
    platform_poll_ms: PositiveMs = 500
    operator_key_file: str = ""


class EntrySettings(Section):
    """The endpoint for callers.

    Attributes:
        http_port: The port for callers.
        max_body_bytes: The largest request body accepted.
        max_open_requests: Requests in flight before new ones are refused.
        caller_stall_ms: Time after which a caller that reads nothing is cut.
        state_folder: Where the last known fleet view is kept; may be empty.
        balancer_grace_ms: Time served on after the ready endpoint says no.
        fleet_lease_ms: Time served on with no contact that can tell newer
            settings, before requests that need current ones are refused.
        operator_key_file: File with the operators' bearer keys, if any.
    """

    http_port: Port = 0
    max_body_bytes: Annotated[int, pydantic.Field(ge=1_024)] = 4_194_304
    max_open_requests: Annotated[int, pydantic.Field(ge=1)] = 2_000
    caller_stall_ms: PositiveMs = 10_000
    state_folder: str = ""
    balancer_grace_ms: Annotated[int, pydantic.Field(ge=0)] = 1_000
    fleet_lease_ms: PositiveMs = 60_000
    operator_key_file: str = ""


class AgentSettings(Section):
    """The process in the slot beside one target.

    Attributes:
        target: The target's name, unique in the fleet.
        kind: Whether the target is a model engine or a plain service.
        url: The target's address as `http://ip:port`.
        model: The model that an engine serves.
        service: The name that a plain service is routed under.
        slots: Requests that the target runs at once.
        piece_chars: Characters in one cached piece of a prompt.
        load_poll_ms: Time between two readings of the target's load.
        stream_tail_ms: Time that a stream's end is kept to be resumed.
        reply_timeout_ms: Time without a byte after which a plain service's
            answer is given up, though the service answers others.
        kv_store_url: The kept-KV store, if there is one.
    """

    target: Name
    kind: Literal["engine", "service"] = "engine"
    url: str
    model: str = ""
    service: str = ""
    slots: Annotated[int, pydantic.Field(ge=1)] = 8
    piece_chars: Annotated[int, pydantic.Field(ge=16)] = 4_000
    load_poll_ms: PositiveMs = 200
    stream_tail_ms: PositiveMs = 15_000
    reply_timeout_ms: PositiveMs = 10_000
    kv_store_url: str = ""


class DirectSettings(Section):
    """A deployment whose entries hand requests straight to targets.

    Attributes:
        caller_address: Where an entry listens for callers.
        ready_address: Where an entry tells the balancer that it is ready.
        operator_address: Where a control instance listens for operators.
        metrics_port: The port of the metrics; 0 for none.
        list_address: Where the list of targets is read.
        list_poll_ms: Time between two readings of that list.
        current_ms: How long settings confirmed with a quorum are taken to be
            current.
        second_send_ratio: Second sends to a service for each request to it.
        second_send_allowance: Second sends beyond those, of all entries.
        second_send_window_s: The time over which both are counted.
        loads_at_once: Engines that load weights at one time, at most; and
            never more than half of those that can be reached.
        hold_ms: How long an engine gets no new work before it loads, at
            least.
        old_weights_ms: How long requests may go to engines on older weights
            after newer ones were named.
        order_lease_ms: How long orders of an earlier holder may count.
        stop_grace_s: Time between the request to stop and the kill.
        founds_group: Whether this is the first start of the deployment.
    """

    caller_address: ListenAddress = ""
    ready_address: ListenAddress = ""
    operator_address: ListenAddress = ""
    metrics_port: Port = 0
    list_address: ListenAddress = ""
    list_poll_ms: PositiveMs = 700
    current_ms: PositiveMs = 5_000
    second_send_ratio: Annotated[float, pydantic.Field(ge=0)] = 0.2
    second_send_allowance: Annotated[float, pydantic.Field(ge=0)] = 20.0
    second_send_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    loads_at_once: Annotated[int, pydantic.Field(ge=1)] = 400
    hold_ms: Annotated[int, pydantic.Field(ge=0)] = 350
    old_weights_ms: PositiveMs = 10_000
    order_lease_ms: PositiveMs = 3_000
    stop_grace_s: Annotated[float, pydantic.Field(gt=0)] = 8.0
    founds_group: bool = False


class Settings(Section):
    """All sections of one process's file.

    Attributes:
        instance: Where the process runs.
        wire: The inner protocol.
        log: Logs.
        metrics: Metrics.
        control: The control instances.
        log_store: Set in a control instance's file.
        entry: Set in an entry instance's file.
        agent: Set in an agent's file.
        direct: Set where entries reach targets without agents.
    """

    instance: InstanceSettings
    wire: WireSettings = WireSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    control: ControlSettings
    log_store: LogStoreSettings | None = None
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    direct: DirectSettings | None = None

    def control_peers(self) -> tuple[PeerAddress, ...]:
        """Returns the control instances that the file names."""
        if self.control.members:
            return self.control.members
        ips = [seed.rpartition(":")[0] for seed in self.control.seeds]
        return tuple(
            PeerAddress(instance=ip, ip=ip, port=self.wire.port) for ip in ips
        )


SECTION_TYPE_BY_NAME: dict[str, type[Section]] = {
    "instance": InstanceSettings,
    "wire": WireSettings,
    "log": LogSettings,
    "metrics": MetricsSettings,
    "control": ControlSettings,
    "log_store": LogStoreSettings,
    "entry": EntrySettings,
    "agent": AgentSettings,
    "direct": DirectSettings,
}
REQUIRED_SECTIONS = ("instance", "control")


__all__ = [
    "REQUIRED_SECTIONS",
    "SECTION_TYPE_BY_NAME",
    "AgentSettings",
    "ControlSettings",
    "DirectSettings",
    "EntrySettings",
    "InstanceSettings",
    "IpNumber",
    "ListenAddress",
    "ListenAddresses",
    "LogSettings",
    "LogStoreSettings",
    "MetricsSettings",
    "Name",
    "PeerAddress",
    "PeerAddresses",
    "Port",
    "PositiveMs",
    "Section",
    "Settings",
    "WireSettings",
]
