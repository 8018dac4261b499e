"""The rows of what operators are answered."""

from __future__ import annotations

import msgspec

from lycheering.control import commands
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.wire import messages


class DefaultRow(msgspec.Struct, frozen=True):
    """One option.

    Attributes:
        option: Its name.
        value: Its default in force.
        built_in: Its value where operators set none.
        is_set: Whether an operator set it.
        help: What it does.
    """

    option: str
    value: options.OptionValue
    built_in: options.OptionValue
    is_set: bool
    help: str


class ScopeRow(msgspec.Struct, frozen=True):
    """What an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: str
    name: str


class ExceptionRow(msgspec.Struct, frozen=True):
    """One exception.

    Attributes:
        exception_id: Its id.
        scope: What it applies to.
        option: The option's name.
        value: Its value within the scope.
        reason: The operator's written reason.
        operator: Who added it.
        revision: The config revision that it came with.
    """

    exception_id: str
    scope: ScopeRow
    option: str
    value: options.OptionValue
    reason: str
    operator: str
    revision: int

    @classmethod
    def of(cls, record: records.ExceptionRecord) -> ExceptionRow:
        """Returns the row of an exception."""
        return cls(
            record.exception_id,
            ScopeRow(record.scope.kind, record.scope.name),
            record.option,
            record.value,
            record.reason,
            record.operator,
            record.revision,
        )


class TeamRow(msgspec.Struct, frozen=True):
    """One team.

    Attributes:
        name: Its name.
        keys: How many bearer keys name it.
    """

    name: str
    keys: int


class HistoryRow(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        revision: The config revision that it made.
        change_id: Its id.
        operator: Who made it.
        at_ms: When, in wall-clock time.
        reason: Why.
        kind: What was done.
        subject: To what.
        value: The value set, if any.
    """

    revision: int
    change_id: str
    operator: str
    at_ms: int
    reason: str
    kind: str
    subject: str
    value: options.OptionValue | None


class MemberRow(msgspec.Struct, frozen=True):
    """One member of the group of control instances.

    Attributes:
        instance: Its instance.
        ip: Its IP number.
        port: Its port of the inner protocol.
        id: Its identity, which is tied to its disk.
        votes: Whether it votes.
    """

    instance: str
    ip: str
    port: int
    id: str
    votes: bool


class ReportRow(msgspec.Struct, frozen=True):
    """What an agent reported last.

    Attributes:
        engine_incarnation: The engine's incarnation.
        weights_version: The weights it serves.
        adapters: The adapters it holds.
        role: Its role.
        running: Requests that run at the target.
        queued: Requests that wait at the agent.
        draining: Whether the agent takes nothing new.
    """

    engine_incarnation: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    running: int
    queued: int
    draining: bool


class TargetRow(msgspec.Struct, frozen=True, kw_only=True):
    """One target.

    Attributes:
        name: Its name.
        kind: What it is.
        state: Whether it may get new work.
        instance: The instance it is on.
        ip: The IP number of its agent.
        port: The port of its agent.
        failure_domain: The failure domain it is in.
        model: The model that an engine serves.
        service: The name that a plain service is routed under.
        agent_incarnation: The agent's incarnation.
        drained: Whether operators keep new work from it.
        weights_wanted: The weights that it shall serve.
        report: What its agent reported last.
    """

    name: str
    kind: str
    state: str
    instance: str
    ip: str
    port: int
    failure_domain: str
    model: str
    service: str
    agent_incarnation: str
    drained: bool
    weights_wanted: str
    report: ReportRow | None


class OutcomeRow(msgspec.Struct, frozen=True):
    """The answer kept for an order, without its body.

    Attributes:
        status: The HTTP status.
        content_type: The content type.
        bytes: The body's size.
    """

    status: int
    content_type: str
    bytes: int


class OrderRow(msgspec.Struct, frozen=True, kw_only=True):
    """One order.

    Attributes:
        order_id: The claim's id.
        team: The team.
        key: The caller's idempotency key.
        state: Where it stands.
        target: The target claimed for.
        request_id: The request that claimed it.
        reason: Why it was released or is unknown, or who settled it.
        claimed_at_ms: When it was claimed.
        changed_at_ms: When its state changed last.
        outcome: The answer kept.
    """

    order_id: str
    team: str
    key: str
    state: str
    target: str
    request_id: str
    reason: str
    claimed_at_ms: int
    changed_at_ms: int
    outcome: OutcomeRow | None


class WinnerRow(msgspec.Struct, frozen=True):
    """The change that came first.

    Attributes:
        revision: The config revision that it made.
        operator: Who made it.
        change_id: Its id.
    """

    revision: int
    operator: str
    change_id: str

    @classmethod
    def of(cls, winner: commands.Winner) -> WinnerRow:
        """Returns the row of a winner."""
        return cls(winner.revision, winner.operator, winner.change_id)


class ProcessRow(msgspec.Struct, frozen=True):
    """One live process.

    Attributes:
        name: Its instance, or its target's name.
        role: Its role.
        incarnation: Its incarnation.
        failure_domain: The failure domain it is in.
        view_revision: The view revision it has in force.
        last_heard_ms: Time since its last frame.
    """

    name: str
    role: str
    incarnation: str
    failure_domain: str
    view_revision: int
    last_heard_ms: float

    @classmethod
    def of(cls, peer: messages.PeerStatus) -> ProcessRow:
        """Returns the row of a process."""
        return cls(
            peer.name,
            peer.role,
            peer.incarnation,
            peer.failure_domain,
            peer.view_revision,
            peer.last_heard_ms,
        )


__all__ = [
    "DefaultRow",
    "ExceptionRow",
    "HistoryRow",
    "MemberRow",
    "OrderRow",
    "OutcomeRow",
    "ProcessRow",
    "ReportRow",
    "ScopeRow",
    "TargetRow",
    "TeamRow",
    "WinnerRow",
]
