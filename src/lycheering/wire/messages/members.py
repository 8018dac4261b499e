"""The messages between control instances and the processes of the fleet."""

from __future__ import annotations

import enum

import msgspec

from lycheering.fleet import records
from lycheering.wire.messages import common


class Register(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Registers a target and its agent in the fleet view.

    Attributes:
        target: The target, with the agent's address and incarnation.
    """

    target: records.Target


class Registered(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """Answers Register once a quorum has committed it.

    Attributes:
        highest_fence: The highest fencing number granted so far.
    """

    highest_fence: int


class Deregister(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """Marks a target as leaving in the fleet view.

    Attributes:
        target: The target's name.
        agent_incarnation: Incarnation of the agent that registered it.
    """

    target: str
    agent_incarnation: str


class TargetOrderKind(enum.StrEnum):
    """The kinds of orders that control gives to targets."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class TargetOrder(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """Orders a target, through its agent, to change what it serves.

    Attributes:
        fence: The fencing number of the order.
        kind: The kind of the order.
        model: Name of the model to load.
        version: The weights version to load.
        adapter: Name of the adapter to load.
        role: The role to change to.
    """

    fence: int
    kind: TargetOrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class TargetOrderReply(msgspec.Struct, frozen=True, array_like=True, tag=54):
    """Answers TargetOrder.

    Attributes:
        done: Whether the target carried out the order.
        highest_fence: The highest fencing number that the agent has seen.
        detail: Human-readable explanation.
    """

    done: bool
    highest_fence: int
    detail: str = ""


class TargetReport(msgspec.Struct, frozen=True, array_like=True, tag=55):
    """The periodic report of an agent to control.

    Attributes:
        target: The target's name.
        agent_incarnation: The agent's incarnation.
        engine_incarnation: The engine's incarnation; empty while it is down.
        weights_version: The weights version that the target serves.
        adapters: The adapters that are loaded.
        role: The target's role.
        load: The target's load.
        loading: The weights version or adapter that is being loaded; empty
            for none.
        number: Incremented by this incarnation of the agent when the content
            or the receiver of its reports changes, so that the latest report
            can be told even if reports went to several control instances.
    """

    target: str
    agent_incarnation: str
    engine_incarnation: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    load: common.LoadReport
    loading: str = ""
    number: int = 0


class StatusFetch(msgspec.Struct, frozen=True, array_like=True, tag=56):
    """Asks a control instance which processes it has sessions with.

    Attributes:
        changes_only: Whether to reply with the changes after `version` only.
        epoch: Identifies the sequence that the version belongs to; empty for
            no version.
        version: The last status version that the sender received.
    """

    changes_only: bool = False
    epoch: str = ""
    version: int = 0


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a process, as a control instance knows it.

    Attributes:
        name: Name of the process's instance.
        role: Its role.
        incarnation: Its incarnation.
        failure_domain: Its failure domain.
        view_revision: Revision of the fleet view that it uses.
        last_heard_ms: Time since its last frame arrived.
    """

    name: str
    role: common.Role
    incarnation: str
    failure_domain: str
    view_revision: int
    last_heard_ms: float


class StatusReply(msgspec.Struct, frozen=True, array_like=True, tag=57):
    """Answers StatusFetch.

    Attributes:
        peers: The processes that the control instance has sessions with.
        reports: The last report of each target among them.
        epoch: Identifies the sequence that the version belongs to.
        version: The status version after this reply.
        is_whole: Whether this is the complete status, not only changes.
        gone: Names of the processes whose sessions have ended.
    """

    peers: tuple[PeerStatus, ...]
    reports: tuple[TargetReport, ...] = ()
    epoch: str = ""
    version: int = 0
    is_whole: bool = True
    gone: tuple[str, ...] = ()


class CountersFetch(msgspec.Struct, frozen=True, array_like=True, tag=58):
    """Asks a process for its counters."""


class CountersReply(msgspec.Struct, frozen=True, array_like=True, tag=59):
    """Answers CountersFetch.

    Attributes:
        value_by_name: The values of all counters.
        gauge_by_name: The values of all gauges.
    """

    value_by_name: dict[str, int]
    gauge_by_name: dict[str, float]


class LogCall(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """Carries a message of the replicated log to another group member.

    Attributes:
        payload: The encoded message.
    """

    payload: bytes


class LogReply(msgspec.Struct, frozen=True, array_like=True, tag=61):
    """Answers LogCall.

    Attributes:
        payload: The encoded message.
    """

    payload: bytes


class CurrentFetch(msgspec.Struct, frozen=True, array_like=True, tag=62):
    """Asks a control instance for a fleet view confirmed by a quorum."""


class ControlPeer(msgspec.Struct, frozen=True, array_like=True):
    """The address of a control instance.

    Attributes:
        name: Name of the instance.
        ip: Its IP address.
        port: Its port.
    """

    name: str
    ip: str
    port: int


class Current(msgspec.Struct, frozen=True, array_like=True, tag=63):
    """Answers CurrentFetch, once the fleet view sent with it is confirmed.

    Attributes:
        control: The members of the control group.
    """

    control: tuple[ControlPeer, ...]


__all__ = [
    "ControlPeer",
    "CountersFetch",
    "CountersReply",
    "Current",
    "CurrentFetch",
    "Deregister",
    "LogCall",
    "LogReply",
    "PeerStatus",
    "Register",
    "Registered",
    "StatusFetch",
    "StatusReply",
    "TargetOrder",
    "TargetOrderKind",
    "TargetOrderReply",
    "TargetReport",
]
