"""What operators are answered, as JSON."""

from __future__ import annotations

import msgspec

from lycheering.control import operator_rows


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What every read carries.

    Attributes:
        current: Whether a quorum confirmed that nothing newer was accepted.
        config_revision: The config revision in force here.
        view_revision: The view revision in force here.
    """

    current: bool
    config_revision: int
    view_revision: int


class DefaultsAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/defaults.

    Attributes:
        defaults: All options.
    """

    defaults: list[operator_rows.DefaultRow]


class ExceptionsAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/exceptions.

    Attributes:
        exceptions: All exceptions.
    """

    exceptions: list[operator_rows.ExceptionRow]


class TeamsAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/teams.

    Attributes:
        teams: All teams.
    """

    teams: list[operator_rows.TeamRow]


class HistoryAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/history.

    Attributes:
        changes: Accepted changes, newest first.
    """

    changes: list[operator_rows.HistoryRow]


class MembersAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/members.

    Attributes:
        instance: The instance that answers.
        leader: The instance that leads; empty if none is known.
        change: The change of members under way; empty if none.
        members: All members.
    """

    instance: str
    leader: str
    change: str
    members: list[operator_rows.MemberRow]


class StatusAnswer(MembersAnswer, frozen=True, kw_only=True):
    """Answers GET /v1/status.

    Attributes:
        processes: Every live process.
        unreachable: Control instances that could not be asked.
        lacking: Live processes below the revision asked for.
        in_force: Whether all live processes have it in force.
    """

    processes: list[operator_rows.ProcessRow]
    unreachable: list[str]
    lacking: list[str]
    in_force: bool


class TargetsAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/targets.

    Attributes:
        targets: All targets.
    """

    targets: list[operator_rows.TargetRow]


class OrdersAnswer(Answer, frozen=True, kw_only=True):
    """Answers GET /v1/orders.

    Attributes:
        orders: The orders asked for.
    """

    orders: list[operator_rows.OrderRow]


class OrderAnswer(Answer, frozen=True, kw_only=True):
    """Answers calls on one order.

    Attributes:
        order: The order.
    """

    order: operator_rows.OrderRow


class CountersAnswer(msgspec.Struct, frozen=True):
    """Answers GET /v1/counters.

    Attributes:
        counters: Every counter of this instance.
        gauges: Every gauge of this instance.
    """

    counters: dict[str, int]
    gauges: dict[str, float]


class ChangeAnswer(msgspec.Struct, frozen=True):
    """Answers a change that was accepted.

    Attributes:
        change_id: The change.
        config_revision: The config revision that it made.
        view_revision: The view revision that it made.
        resent: Whether it was accepted at an earlier sending.
        exception_id: The exception that it added.
    """

    change_id: str
    config_revision: int
    view_revision: int
    resent: bool
    exception_id: str


class ReplaceAnswer(msgspec.Struct, frozen=True):
    """Answers a replacement that is over.

    Attributes:
        joined: The identity of the newcomer, which holds and votes on all.
        left: The identity of the member that left.
        synced_index: Up to where the newcomer had synced the log.
    """

    joined: str
    left: str
    synced_index: int


class CancelChangeAnswer(msgspec.Struct, frozen=True):
    """Answers a replacement that was given up.

    Attributes:
        joining: The identity of the newcomer, which has left again.
    """

    joining: str


class LiveAnswer(msgspec.Struct, frozen=True):
    """Answers GET /health/live.

    Attributes:
        live: Always true.
    """

    live: bool = True


class ReadyAnswer(msgspec.Struct, frozen=True):
    """Answers GET /health/ready.

    Attributes:
        ready: Whether the instance takes part in a group that has a leader.
        leader: The instance that leads; empty if none is known.
    """

    ready: bool
    leader: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """Why a call was not done.

    Attributes:
        code: The HTTP status.
        reason: The reason, for programs.
        message: The reason, for people.
        findings: Everything wrong with the call.
        retry_after_ms: When to come back; 0 where that is no use.
        winner: The change that came first.
    """

    code: int
    reason: str
    message: str
    findings: list[str]
    retry_after_ms: float
    winner: operator_rows.WinnerRow | None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Answers a call that was not done.

    Attributes:
        error: Why.
    """

    error: ErrorDetail


__all__ = [
    "CancelChangeAnswer",
    "Answer",
    "ChangeAnswer",
    "CountersAnswer",
    "DefaultsAnswer",
    "ErrorAnswer",
    "ErrorDetail",
    "ExceptionsAnswer",
    "HistoryAnswer",
    "LiveAnswer",
    "MembersAnswer",
    "OrderAnswer",
    "OrdersAnswer",
    "ReadyAnswer",
    "ReplaceAnswer",
    "StatusAnswer",
    "TargetsAnswer",
    "TeamsAnswer",
]
