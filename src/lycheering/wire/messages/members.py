"""The messages between control and the processes of the fleet."""

from __future__ import annotations

import enum

import msgspec

from lycheering.fleet import records
from lycheering.wire.messages import common


class Register(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Puts a target and its agent into the fleet view.

    Attributes:
        target: The target, with the agent's address and incarnation.
    """

    target: records.Target


class Registered(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """Answers Register, from a quorum.

    Attributes:
        highest_fence: The highest fencing number granted so far.
    """

    highest_fence: int


class Deregister(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """Tells that a target is leaving.

    Attributes:
        target: The target's name.
        agent_incarnation: The agent that speaks for it.
    """

    target: str
    agent_incarnation: str


class TargetOrderKind(enum.StrEnum):
    """What control can order a target to do."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class TargetOrder(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """Orders a target, through its agent, to change what it serves.

    Attributes:
        fence: The fencing number.
        kind: What to do.
        model: The model.
        version: The weights version.
        adapter: The adapter.
        role: The role.
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
        done: Whether the target did it.
        highest_fence: The highest fencing number the agent has seen.
        detail: Text for people.
    """

    done: bool
    highest_fence: int
    detail: str = ""


class TargetReport(msgspec.Struct, frozen=True, array_like=True, tag=55):
    """An agent's slow report to control.

    Attributes:
        target: The target's name.
        agent_incarnation: The agent's incarnation.
        engine_incarnation: The engine's incarnation; empty while down.
        weights_version: The weights it serves.
        adapters: The adapters it holds.
        role: Its role.
        load: Its load.
        loading: The weights or adapter it is loading; empty for nothing.
        number: Counts the changes of what this incarnation of the agent
            reports, and to whom, so that the last report is known wherever
            it was sent.
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
        changes_only: Whether only what changed is wanted.
        epoch: Whose numbers the version is of; empty for none.
        version: The version that the asker has.
    """

    changes_only: bool = False
    epoch: str = ""
    version: int = 0


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """A process as a control instance sees it.

    Attributes:
        name: The process's instance.
        role: Its role.
        incarnation: Its incarnation.
        failure_domain: The failure domain it is in.
        view_revision: The view revision it has in force.
        last_heard_ms: Time since its last frame.
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
        epoch: Whose numbers the version is of.
        version: The version that the asker has with this.
        is_whole: Whether this is all, not only what changed.
        gone: The processes that it has no session with any more.
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
        value_by_name: Every counter.
        gauge_by_name: Every gauge.
    """

    value_by_name: dict[str, int]
    gauge_by_name: dict[str, float]


class LogCall(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """Carries a message of the replicated log to another member.

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
    """Asks a control instance to confirm with a quorum what is current."""


class ControlPeer(msgspec.Struct, frozen=True, array_like=True):
    """Where a control instance listens.

    Attributes:
        name: Its instance.
        ip: Its IP number.
        port: Its port.
    """

    name: str
    ip: str
    port: int


class Current(msgspec.Struct, frozen=True, array_like=True, tag=63):
    """Answers CurrentFetch, once the view sent along is current.

    Attributes:
        control: The members of the group of control instances.
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
