"""What the operators' HTTP interface answers, as both ends know it."""

from __future__ import annotations

import msgspec

from lycheering.operator import items


class Winner(msgspec.Struct, frozen=True):
    """The change that was accepted instead of another.

    Attributes:
        revision: The config revision that it made.
        operator: Who made it.
        change_id: Its id.
    """

    revision: int = 0
    operator: str = ""
    change_id: str = ""


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a call failed.

    Attributes:
        code: The HTTP status, or at an entry the kind of error.
        reason: A fixed word for the reason.
        message: Text for people.
        findings: Everything wrong with the call.
        retry_after_ms: When to try again; 0 where that is no use.
        winner: The change that was accepted instead, if that is why.
    """

    code: int | str = 0
    reason: str = ""
    message: str = ""
    findings: tuple[str, ...] = ()
    retry_after_ms: float = 0.0
    winner: Winner | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The body of every failed call.

    Attributes:
        error: Why it failed.
    """

    error: ErrorBody


class ReadAnswer(msgspec.Struct, frozen=True):
    """What every answer to a read begins with.

    Attributes:
        current: Whether a quorum confirmed that nothing is newer.
        config_revision: The config revision read.
        view_revision: The view revision read.
    """

    current: bool = False
    config_revision: int = 0
    view_revision: int = 0


class WriteAnswer(msgspec.Struct, frozen=True):
    """The answer to an accepted configuration change.

    Attributes:
        change_id: The change's id.
        config_revision: The config revision that it made.
        view_revision: The view revision that it made.
        resent: Whether it had been accepted before.
        exception_id: The id of the exception it added, if it did.
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
    """The last changes.

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
    """Some orders.

    Attributes:
        orders: The orders.
    """

    orders: tuple[items.OrderItem, ...] = ()


class OrderAnswer(ReadAnswer, frozen=True):
    """One order.

    Attributes:
        order: The order.
    """

    order: items.OrderItem | None = None


class ExplainAnswer(msgspec.Struct, frozen=True):
    """Where a request went, and why.

    Attributes:
        attempts: The choices made, in order.
    """

    attempts: tuple[items.AttemptItem, ...] = ()


class MembersAnswer(ReadAnswer, frozen=True):
    """The members of the replicated log.

    Attributes:
        members: The members.
        leader: The leading one; empty if none is known.
        change: The change of members under way; empty if none.
        instance: The instance that answers.
    """

    members: tuple[items.MemberItem, ...] = ()
    leader: str = ""
    change: str = ""
    instance: str = ""


class CountersAnswer(msgspec.Struct, frozen=True):
    """The counters of one process.

    Attributes:
        counters: Every counter since the process started.
        gauges: Every gauge's last value.
    """

    counters: dict[str, int] = {}
    gauges: dict[str, float] = {}


class ReplaceAnswer(msgspec.Struct, frozen=True):
    """The end of a replacement.

    Attributes:
        joined: The instance that joined.
        left: The instance that left.
        synced_index: The log index that the newcomer holds.
    """

    joined: str
    left: str
    synced_index: int


class CancelChangeAnswer(msgspec.Struct, frozen=True):
    """The end of a replacement that was given up.

    Attributes:
        joining: The identity of the newcomer, which has left again.
    """

    joining: str


class StatusAnswer(MembersAnswer, frozen=True):
    """Who has which configuration in force.

    Attributes:
        processes: The live processes.
        in_force: Whether all of them have the revision asked for.
        lacking: Those that do not.
        unreachable: Control instances that could not be asked.
    """

    processes: tuple[items.ProcessItem, ...] = ()
    in_force: bool = True
    lacking: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


class LiveAnswer(msgspec.Struct, frozen=True):
    """Whether the process runs.

    Attributes:
        live: Always true.
    """

    live: bool = True


class ReadyAnswer(msgspec.Struct, frozen=True):
    """Whether a control instance takes part in a group that has a leader.

    Attributes:
        ready: Whether it does.
        leader: The instance that leads; empty if none is known.
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
