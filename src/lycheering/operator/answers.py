"""Response bodies of the HTTP API for operators, shared by both ends."""

from __future__ import annotations

import msgspec

from lycheering.operator import items


class Winner(msgspec.Struct, frozen=True):
    """The accepted change that a rejected change conflicted with.

    Attributes:
        revision: The config revision that the change created.
        operator: The operator who made the change.
        change_id: The id of the change.
    """

    revision: int = 0
    operator: str = ""
    change_id: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """The reason why a call failed.

    Attributes:
        code: The HTTP status; entries send the kind of error instead.
        reason: The reason as a fixed identifier.
        message: A description for people.
        findings: Every problem found in the call.
        retry_after_ms: Time to wait before a retry; 0 if a retry is of no use.
        winner: The accepted change, if the call failed by a conflict with it.
    """

    code: int | str = 0
    reason: str = ""
    message: str = ""
    findings: tuple[str, ...] = ()
    retry_after_ms: float = 0.0
    winner: Winner | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The response body of every failed call.

    Attributes:
        error: The reason for the failure.
    """

    error: ErrorBody


class ReadAnswer(msgspec.Struct, frozen=True):
    """The common fields of the responses to reads.

    Attributes:
        current: Whether a quorum confirmed that there is no newer revision.
        config_revision: The config revision that was read.
        view_revision: The revision of the fleet view that was read.
    """

    current: bool = False
    config_revision: int = 0
    view_revision: int = 0


class WriteAnswer(msgspec.Struct, frozen=True):
    """The response to an accepted configuration change.

    Attributes:
        change_id: The id of the change.
        config_revision: The config revision that the change created.
        view_revision: The view revision that the change created.
        resent: Whether the change had already been accepted earlier.
        exception_id: The id of the added exception, if one was added.
    """

    change_id: str
    config_revision: int
    view_revision: int = 0
    resent: bool = False
    exception_id: str = ""


class DefaultsAnswer(ReadAnswer, frozen=True):
    """All defaults.

    Attributes:
        defaults: The defaults.
    """

    defaults: tuple[items.DefaultItem, ...] = ()


class ExceptionsAnswer(ReadAnswer, frozen=True):
    """All exceptions.

    Attributes:
        exceptions: The exceptions.
    """

    exceptions: tuple[items.ExceptionItem, ...] = ()


class TeamsAnswer(ReadAnswer, frozen=True):
    """All teams.

    Attributes:
        teams: The teams.
    """

    teams: tuple[items.TeamItem, ...] = ()


class HistoryAnswer(ReadAnswer, frozen=True):
    """The latest configuration changes.

    Attributes:
        changes: The changes, newest first.
    """

    changes: tuple[items.ChangeItem, ...] = ()


class TargetsAnswer(ReadAnswer, frozen=True):
    """All targets.

    Attributes:
        targets: The targets.
    """

    targets: tuple[items.TargetItem, ...] = ()


class OrdersAnswer(ReadAnswer, frozen=True):
    """A list of orders.

    Attributes:
        orders: The orders.
    """

    orders: tuple[items.OrderItem, ...] = ()


class OrderAnswer(ReadAnswer, frozen=True):
    """A single order.

    Attributes:
        order: The order.
    """

    order: items.OrderItem | None = None


class ExplainAnswer(msgspec.Struct, frozen=True):
    """How the targets of a request were chosen.

    Attributes:
        attempts: The choice made for each attempt, in order.
    """

    attempts: tuple[items.AttemptItem, ...] = ()


class MembersAnswer(ReadAnswer, frozen=True):
    """The members of the replicated log.

    Attributes:
        members: The members.
        leader: The current leader; empty if none is known.
        change: The membership change in progress; empty if none.
        instance: The instance that sent the response.
    """

    members: tuple[items.MemberItem, ...] = ()
    leader: str = ""
    change: str = ""
    instance: str = ""


class CountersAnswer(msgspec.Struct, frozen=True):
    """The counters of one process.

    Attributes:
        counters: The value of every counter since the process started.
        gauges: The latest value of every gauge.
    """

    counters: dict[str, int] = {}
    gauges: dict[str, float] = {}


class ReplaceAnswer(msgspec.Struct, frozen=True):
    """The outcome of the replacement of a control instance.

    Attributes:
        joined: The instance that joined.
        left: The instance that left.
        synced_index: The log index up to which the new instance is synced.
    """

    joined: str
    left: str
    synced_index: int


class CancelChangeAnswer(msgspec.Struct, frozen=True):
    """The outcome of a cancelled replacement.

    Attributes:
        joining: The id of the new member, which has been removed again.
    """

    joining: str


class StatusAnswer(MembersAnswer, frozen=True):
    """Which configuration is in force at each process.

    Attributes:
        processes: The live processes.
        in_force: Whether the requested revision is in force at all of them.
        lacking: The processes that do not have the requested revision.
        unreachable: The control instances that could not be reached.
    """

    processes: tuple[items.ProcessItem, ...] = ()
    in_force: bool = True
    lacking: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


class LiveAnswer(msgspec.Struct, frozen=True):
    """The response of the liveness check.

    Attributes:
        live: Always true.
    """

    live: bool = True


class ReadyAnswer(msgspec.Struct, frozen=True):
    """The response of a control instance's readiness check.

    Attributes:
        ready: Whether the instance belongs to a group that has a leader.
        leader: The current leader; empty if none is known.
    """

    ready: bool
    leader: str


__all__ = [
    "CancelChangeAnswer",
    "CountersAnswer",
    "DefaultsAnswer",
    "ErrorAnswer",
    "ErrorBody",
    "ExceptionsAnswer",
    "ExplainAnswer",
    "HistoryAnswer",
    "LiveAnswer",
    "MembersAnswer",
    "OrderAnswer",
    "OrdersAnswer",
    "ReadAnswer",
    "ReadyAnswer",
    "ReplaceAnswer",
    "StatusAnswer",
    "TargetsAnswer",
    "TeamsAnswer",
    "Winner",
    "WriteAnswer",
]
