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
    """One section of a settings file; unknown options are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PeerAddress(Section):
    """The address of a control instance.

    Attributes:
        instance: The instance's name.
        ip: The IP address of the instance.
        port: The port of its internal protocol.
    """

    instance: Name
    ip: IpNumber
    port: Port

    @classmethod
    def parse(cls, text: str) -> PeerAddress:
        """Parses `instance@ip:port`.

        Raises:
            ValueError: If the text has another format.
        """
        instance, at, address = text.strip().partition("@")
        ip, colon, port = address.rpartition(":")
        if not at or not colon or not port.isdigit():
            raise ValueError(f"expected instance@ip:port, found {text!r}")
        return cls(instance=instance, ip=ip.strip("[]"), port=int(port))


def _parse_peer_addresses(value: object) -> object:
    if not isinstance(value, str):
        return value
    parts = value.replace("\n", ",").split(",")
    return tuple(PeerAddress.parse(part) for part in parts if part.strip())


def _split_addresses(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def _split_losses(value: object) -> object:
    """Splits a list of `kind:count` into pairs."""
    if not isinstance(value, str):
        return value
    pairs = []
    for part in value.split(","):
        kind, colon, count = part.strip().partition(":")
        if colon:
            pairs.append((kind.strip(), count.strip()))
        elif kind:
            raise ValueError(f"expected kind:count, found {kind!r}")
    return tuple(pairs)


def _check_address(value: str) -> str:
    """Checks that a value is empty or `ip:port`, and normalises it."""
    if not value:
        return value
    ip, colon, port = value.rpartition(":")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"expected ip:port, found {value!r}")
    return f"{_check_ip(ip.strip('[]'))}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Splits `ip:port` into the IP address and the port.

    Raises:
        ValueError: If there is no port.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def split_peer_address(address: str) -> tuple[str, int]:
    """Splits the address of a peer into the IP address and the port.

    Raises:
        ValueError: If it isn't `ip:port`, or if the port is 0, which can't
            be connected to.
    """
    ip, port = split_address(_check_address(address))
    if not ip or not port:
        raise ValueError(f"expected ip:port, found {address!r}")
    return ip, port


ListenAddress = Annotated[str, pydantic.AfterValidator(_check_address)]
ListenAddresses = Annotated[
    tuple[ListenAddress, ...], pydantic.BeforeValidator(_split_addresses)
]
PeerAddresses = Annotated[
    tuple[PeerAddress, ...],
    pydantic.BeforeValidator(_parse_peer_addresses),
]
# the kind of loss that takes one control instance; any other kind, as a
# failure domain, may take several
LOST_MEMBERS = "members"
LossCounts = Annotated[
    tuple[tuple[Name, Annotated[int, pydantic.Field(ge=0)]], ...],
    pydantic.BeforeValidator(_split_losses),
]


class InstanceSettings(Section):
    """The instance that this process runs on.

    Attributes:
        name: The instance's name, unique in the fleet.
        ip: The IP address that peers connect to.
        failure_domain: The failure domain that the instance is in.
        region: The region that the failure domain is in.
        drain_timeout_ms: How long a graceful shutdown waits for running
            requests.
    """

    name: Name
    ip: IpNumber = "127.0.0.1"
    failure_domain: Name
    region: Name = "local"
    drain_timeout_ms: PositiveMs = 120_000


class WireSettings(Section):
    """The internal protocol between processes.

    Attributes:
        port: The port that peers connect to; 0 selects any free port.
        advertised_port: The port announced to peers if it differs from
            `port`, as behind a port mapping; 0 announces `port`.
        heartbeat_ms: Time between heartbeats on an idle connection.
        silence_ms: Time without a frame after which a connection is replaced.
        control_heartbeat_ms: Time between heartbeats on an idle connection
            between a control instance and an entry or agent; 0 uses
            `heartbeat_ms`. The smaller value of both ends applies.
        call_timeout_ms: The timeout of a short call.
        idle_close_ms: Time after which an unused connection is closed.
        agent_idle_close_ms: The same for an entry's connections to agents;
            used instead of `idle_close_ms` if it is longer. An entry keeps
            many connections open while it uses few; the more there are,
            the less often it sends heartbeats on each.
        control_bytes_per_s: Bytes per second that an entry may send to
            agents besides requests: heartbeats, and in a fleet of more than
            64 targets also new connections and queries for what the agents
            have cached.
        max_frame_bytes: The largest frame accepted, in bytes.
        high_water_mark: Frames queued for one peer before sends fail.
        curve_secret_key_file: File with this process's key pair, if any.
        curve_peers_file: File with the accepted public keys, if any.
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
    """Logging.

    Attributes:
        level: The lowest level that is logged.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(Section):
    """Metrics.

    Attributes:
        statsd_ip: The IP address of the statsd server; if empty, no metrics
            are sent.
        statsd_port: The port of the statsd server.
        prefix: The prefix of every metric's name.
    """

    statsd_ip: str = ""
    statsd_port: Port = 8_125
    prefix: str = "lycheering"


class WebSettings(Section):
    """What all HTTP clients of the process together may take from it.

    Attributes:
        max_held_bytes: Bytes of memory that requests and unread responses may
            take; 0 allows a quarter of the memory of the machine, or of the
            control group if that may use less. Beyond it, the
            connections whose incomplete requests take the most for the
            longest time are ended, and new requests are refused with 503
            while those that are being served take all of it.
        max_connections: Connections of clients; 0 allows half of the
            descriptors that the process may open. Beyond it, idle connections
            and those with incomplete requests are closed.
    """

    max_held_bytes: Annotated[int, pydantic.Field(ge=0)] = 0
    max_connections: Annotated[int, pydantic.Field(ge=0)] = 0


class ControlSettings(Section):
    """The control instances; every role needs them.

    Attributes:
        members: The control instances as `instance@ip:port`, comma-separated.
        seeds: The operator endpoints of some control instances as `ip:port`,
            through which the others are discovered. Instances are then named
            by their IP address and all use the same port of `[wire]`.
    """

    members: PeerAddresses = ()
    seeds: ListenAddresses = ()


class LogStoreSettings(Section):
    """A control instance's replicated log and operator endpoint.

    Attributes:
        data_folder: The only folder whose content must survive a restart.
        operator_port: The port of the operator endpoint.
        join: Whether an instance without data joins a group that is already
            running.
        election_timeout_ms: Shortest time without a leader's heartbeat before
            an election.
        leader_lease_ms: How long a leader may act after a quorum last
            responded to it.
        snapshot_entries: Log entries applied between two snapshots at most.
        snapshot_bytes: Size of the log entries, in bytes, after which a
            snapshot is taken sooner; the disk needs room for twice as much,
            and for two snapshots.
        platform_url: The URL of the platform's list of instances, if any.
        platform_poll_ms: Time between two polls of that list.
        operator_key_file: File with the operators' bearer keys, if any.
    """

    data_folder: str
    operator_port: Port = 0
    join: bool = False
    election_timeout_ms: PositiveMs = 900
    leader_lease_ms: PositiveMs = 600
    snapshot_entries: Annotated[int, pydantic.Field(ge=10)] = 5_000
    snapshot_bytes: Annotated[int, pydantic.Field(ge=1_048_576)] = 16_777_216
    platform_url: str = ""
    platform_poll_ms: PositiveMs = 500
    operator_key_file: str = ""


class EntrySettings(Section):
    """The HTTP endpoint for callers.

    Attributes:
        http_port: The port that callers connect to.
        max_body_bytes: The largest request body accepted, in bytes.
        max_open_requests: Requests in flight before new ones are refused.
        caller_stall_ms: Time after which a caller that reads nothing of its
            response is disconnected.
        state_folder: The folder that keeps the last known fleet view; if
            empty, none is kept.
        balancer_grace_ms: How long new requests are served after the ready
            endpoint reports not ready.
        fleet_lease_ms: How long requests that need the current configuration
            are served without contact to a process that could report a newer
            one; after that they are refused.
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
    """The agent beside one target.

    Attributes:
        target: The target's name, unique in the fleet.
        kind: Whether the target is a model engine or a plain service.
        url: The target's URL as `http://ip:port`.
        model: The model that an engine serves.
        service: The name under which requests address a plain service.
        slots: Requests that the target runs concurrently.
        piece_chars: Characters in one cached piece of a prompt.
        load_poll_ms: Time between two polls of the target's load.
        stream_tail_ms: How long the end of a stream is kept so that it can be
            resumed.
        reply_timeout_ms: Time without a byte after which the response of a
            plain service is abandoned, even if the service responds to other
            requests.
        kv_store_url: The URL of the external KV store, if there is one.
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


RoomOrder = Literal["auto", "arrival", "ranked"]


class DirectSettings(Section):
    """A deployment whose entries send requests to targets without agents.

    Attributes:
        caller_address: The address on which an entry listens for callers.
        ready_address: The address of an entry's readiness endpoint for the
            load balancer.
        operator_address: The address on which a control instance listens for
            operators.
        metrics_port: The port of the metrics endpoint; 0 for none.
        list_address: The address of the server with the list of targets.
        list_poll_ms: Time between two polls of that list.
        current_ms: How long a configuration confirmed by a quorum counts as
            current.
        second_send_ratio: Retry budget of a service: second sends allowed per
            request to it.
        second_send_allowance: Second sends allowed in addition, for all
            entries together.
        second_send_window_s: The time window over which both are counted.
        quota_window_s: The time window over which a team's allowance is
            judged.
        quota_over: The part of its allowance in that window by which a team
            may exceed it.
        quota_slack: How much it may exceed it in addition, in the unit of the
            allowance, at all entries together.
        room_order: In which order requests get room at engines while it is
            short: `arrival`; `ranked`, by their teams' shares and their
            kinds; or `auto`, which is `ranked` if any team of the route table
            has an allowance.
        loads_at_once: The maximum number of engines that load weights at the
            same time; never more than half of the reachable ones.
        hold_ms: The minimum time that an engine gets no new requests before
            it loads weights.
        old_weights_ms: How long requests may still go to engines with older
            weights after newer ones were announced.
        order_lease_ms: How long commands that a previous control instance
            sent to engines may still take effect.
        stop_grace_s: Time between the request to stop and the kill.
        founds_group: Whether this is the first start of the deployment.
        tolerated_losses: What may be lost at the same time, as a list of
            `kind:count`: `members`, which are control instances, or kinds of
            groups of instances such as `failure_domains`. Control instances
            that join vote in as large a number as that takes.
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
    quota_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    quota_over: Annotated[float, pydantic.Field(ge=0)] = 0.0
    quota_slack: Annotated[float, pydantic.Field(ge=0)] = 0.0
    room_order: RoomOrder = "auto"
    loads_at_once: Annotated[int, pydantic.Field(ge=1)] = 400
    hold_ms: Annotated[int, pydantic.Field(ge=0)] = 350
    old_weights_ms: PositiveMs = 10_000
    order_lease_ms: PositiveMs = 3_000
    stop_grace_s: Annotated[float, pydantic.Field(gt=0)] = 8.0
    founds_group: bool = False
    tolerated_losses: LossCounts = ()


class Settings(Section):
    """All sections of one process's settings file.

    Attributes:
        instance: The instance that the process runs on.
        wire: The internal protocol.
        log: Logging.
        metrics: Metrics.
        web: What all HTTP clients together may take.
        control: The control instances.
        log_store: Set in the file of a control instance.
        entry: Set in the file of an entry.
        agent: Set in the file of an agent.
        direct: Set if entries send requests to targets without agents.
    """

    instance: InstanceSettings
    wire: WireSettings = WireSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    web: WebSettings = WebSettings()
    control: ControlSettings
    log_store: LogStoreSettings | None = None
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    direct: DirectSettings | None = None

    def control_peers(self) -> tuple[PeerAddress, ...]:
        """Returns the control instances given as members or as seeds."""
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
    "web": WebSettings,
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
    "RoomOrder",
    "Section",
    "Settings",
    "WebSettings",
    "WireSettings",
]
