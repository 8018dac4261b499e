"""Items in the responses of the HTTP API, shared by both ends."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records


class Scope(msgspec.Struct, frozen=True):
    """The scope that an exception applies to.

    Attributes:
        kind: The kind of the scope.
        name: The name of the team, model or other thing of that kind.
    """

    kind: str
    name: str


class DefaultItem(msgspec.Struct, frozen=True):
    """A default in force.

    Attributes:
        option: The option's name.
        value: The default in force.
        is_set: Whether an operator set it.
        built_in: The built-in default, used if no operator set one.
        help: What the option does.
    """

    option: str
    value: options.OptionValue
    is_set: bool = False
    built_in: options.OptionValue | None = None
    help: str = ""


class ExceptionItem(msgspec.Struct, frozen=True):
    """An exception in force.

    Attributes:
        exception_id: The id of the exception.
        scope: The scope that it applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The reason that the operator gave.
        operator: The operator who added it.
        revision: The config revision that added it.
    """

    exception_id: str
    scope: Scope
    option: str
    value: options.OptionValue
    reason: str
    operator: str
    revision: int


class TeamItem(msgspec.Struct, frozen=True):
    """A team.

    Attributes:
        name: The team's name.
        keys: The number of its bearer keys.
    """

    name: str
    keys: int


class ChangeItem(msgspec.Struct, frozen=True):
    """A configuration change in the history.

    Attributes:
        revision: The config revision that the change created.
        at_ms: When it was accepted, in ms since the epoch.
        operator: The operator who made it.
        kind: The kind of change.
        subject: The option, exception or team that it changed.
        value: The value that it set, if any.
        reason: The reason that the operator gave.
        change_id: The id of the change.
    """

    revision: int
    at_ms: float
    operator: str
    kind: str
    subject: str
    reason: str
    change_id: str
    value: options.OptionValue | None = None


class ReportItem(msgspec.Struct, frozen=True):
    """The latest report of a target's agent.

    Attributes:
        engine_incarnation: The engine's incarnation.
        weights_version: The version of the weights that it serves.
        adapters: The adapters that it has loaded.
        role: The target's role.
        running: The number of requests running at the target.
        queued: The number of requests waiting at the agent.
        draining: Whether the agent accepts no new requests.
    """

    engine_incarnation: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    running: int
    queued: int
    draining: bool


class TargetItem(msgspec.Struct, frozen=True):
    """A target in the fleet view.

    Attributes:
        name: The target's name.
        kind: Whether it is an engine or a plain service.
        state: Whether it may get new requests.
        drained: Whether an operator drained it.
        failure_domain: The failure domain that it is in.
        ip: The IP address of its agent.
        port: The port of its agent.
        model: The model that an engine serves.
        service: The name under which requests address a plain service.
        instance: The instance that it runs on.
        agent_incarnation: The agent's incarnation.
        weights_wanted: The version of the weights that it should serve.
        report: The latest report of its agent.
    """

    name: str
    kind: str
    state: str
    drained: bool
    failure_domain: str
    ip: str
    port: int
    model: str
    service: str
    instance: str = ""
    agent_incarnation: str = ""
    weights_wanted: str = ""
    report: ReportItem | None = None


class OutcomeItem(msgspec.Struct, frozen=True):
    """The stored response to an order, without its body.

    Attributes:
        status: The HTTP status.
        content_type: The content type.
        bytes: The size of the body in bytes.
    """

    status: int
    content_type: str
    bytes: int


class OrderItem(msgspec.Struct, frozen=True):
    """An order: a call that runs at most once.

    Attributes:
        order_id: The id of the order's claim.
        team: The team that sent it.
        key: The caller's idempotency key.
        state: The state of the order.
        target: The target that the order was claimed for.
        request_id: The request that holds or held the claim.
        reason: The reason for the state, if it needs one.
        claimed_at_ms: When it was claimed, in ms since the epoch.
        changed_at_ms: When its state last changed, in ms since the epoch.
        outcome: The stored response, if there is one.
    """

    order_id: str
    team: str
    key: str
    state: str
    target: str
    request_id: str
    reason: str = ""
    claimed_at_ms: float = 0.0
    changed_at_ms: float = 0.0
    outcome: OutcomeItem | None = None


class MemberItem(msgspec.Struct, frozen=True):
    """A member of the replicated log.

    Attributes:
        instance: The control instance.
        ip: Its IP address.
        port: Its port.
        id: The member id stored on its disk.
        votes: Whether it is a voting member.
    """

    instance: str
    ip: str
    port: int
    id: str
    votes: bool


class ProcessItem(msgspec.Struct, frozen=True):
    """A live process, as seen by the control instances.

    Attributes:
        name: The name of the process.
        role: The role of the process.
        failure_domain: The failure domain that it is in.
        view_revision: The view revision that it has in force.
        last_heard_ms: Time in ms since its last frame arrived.
        incarnation: The incarnation of the process.
    """

    name: str
    role: str
    failure_domain: str
    view_revision: int
    last_heard_ms: float
    incarnation: str = ""


class CandidateItem(msgspec.Struct, frozen=True):
    """A target that was considered for a request.

    Attributes:
        target: The target, or its name.
        score: The routing score; lower is better.
        queue_ms: Expected queueing time before prefill, in ms.
        missing_pieces: The number of prompt pieces that are not expected in
            the target's cache and must be computed.
        reason: The main reason for the score.
    """

    target: records.Target | str
    score: float
    queue_ms: float = 0.0
    missing_pieces: float = 0.0
    reason: str = ""

    @property
    def name(self) -> str:
        """The target's name."""
        if isinstance(self.target, str):
            return self.target
        return self.target.name


class AttemptItem(msgspec.Struct, frozen=True):
    """The choice of a target for one attempt at a request.

    Attributes:
        attempt: The attempt's number.
        policy: The routing policy that made the choice.
        level_key: The prefix key that targets were ranked by.
        width: The number of targets that the prefix is spread over.
        chosen: The chosen target.
        reason: Why it isn't the first candidate; empty if it is.
        candidates: The best-ranked targets that were considered.
    """

    attempt: int
    policy: str
    level_key: str
    width: int
    chosen: str
    reason: str
    candidates: tuple[CandidateItem, ...]


__all__ = [
    "AttemptItem",
    "CandidateItem",
    "ChangeItem",
    "DefaultItem",
    "ExceptionItem",
    "MemberItem",
    "OrderItem",
    "OutcomeItem",
    "ProcessItem",
    "ReportItem",
    "Scope",
    "TargetItem",
    "TeamItem",
]
