"""What the answers to operators list, as both ends know it."""

from __future__ import annotations

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records


class Scope(msgspec.Struct, frozen=True):
    """What an exception applies to.

    Attributes:
        kind: The kind of thing.
        name: Its name.
    """

    kind: str
    name: str


class DefaultItem(msgspec.Struct, frozen=True):
    """A default in force.

    Attributes:
        option: The option's name.
        value: Its value.
        is_set: Whether an operator set it.
        built_in: Its value where operators set none.
        help: What it does.
    """

    option: str
    value: options.OptionValue
    is_set: bool = False
    built_in: options.OptionValue | None = None
    help: str = ""


class ExceptionItem(msgspec.Struct, frozen=True):
    """An exception in force.

    Attributes:
        exception_id: Its id.
        scope: What it applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The written reason.
        operator: Who added it.
        revision: The config revision that it came with.
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
        name: Its name.
        keys: How many bearer keys name it.
    """

    name: str
    keys: int


class ChangeItem(msgspec.Struct, frozen=True):
    """A change in the history.

    Attributes:
        revision: The config revision that it made.
        at_ms: When it was accepted, since the epoch.
        operator: Who made it.
        kind: What kind of change it is.
        subject: What it changed.
        value: The value it set, if any.
        reason: The written reason.
        change_id: Its id.
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
    """What the agent of a target reported last.

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


class TargetItem(msgspec.Struct, frozen=True):
    """A target in the fleet view.

    Attributes:
        name: Its name.
        kind: What it is.
        state: Whether it may get new work.
        drained: Whether operators keep new work from it.
        failure_domain: The failure domain it is in.
        ip: The IP number of its agent.
        port: The port of its agent.
        model: The model that an engine serves.
        service: The name that a plain service is routed under.
        instance: The instance it is on.
        agent_incarnation: The agent's incarnation.
        weights_wanted: The weights that it shall serve.
        report: What its agent reported last.
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
    """The kept answer of an order, without its body.

    Attributes:
        status: The HTTP status.
        content_type: The content type.
        bytes: The body's size.
    """

    status: int
    content_type: str
    bytes: int


class OrderItem(msgspec.Struct, frozen=True):
    """An order that runs at most once.

    Attributes:
        order_id: The claim's id.
        team: The team.
        key: The caller's idempotency key.
        state: Where it stands.
        target: The target claimed for.
        request_id: The request that holds or held the claim.
        reason: Why it stands there, if that needs a reason.
        claimed_at_ms: When it was claimed, since the epoch.
        changed_at_ms: When its state changed last.
        outcome: The answer kept.
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
        ip: Its IP number.
        port: Its port.
        id: The id kept on its disk.
        votes: Whether it votes.
    """

    instance: str
    ip: str
    port: int
    id: str
    votes: bool


class ProcessItem(msgspec.Struct, frozen=True):
    """A live process as the control instances see it.

    Attributes:
        name: Its name.
        role: Its role.
        failure_domain: The failure domain it is in.
        view_revision: The view revision it has in force.
        last_heard_ms: Time since its last frame.
        incarnation: Its incarnation.
    """

    name: str
    role: str
    failure_domain: str
    view_revision: int
    last_heard_ms: float
    incarnation: str = ""


class CandidateItem(msgspec.Struct, frozen=True):
    """A target that was compared for a request.

    Attributes:
        target: The target, or its name.
        score: Lower is better.
        queue_ms: Expected wait before prefill.
        missing_pieces: Pieces expected to be computed.
        reason: What decided the score.
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
    """One choice of a target for a request.

    Attributes:
        attempt: The attempt's number.
        policy: The policy that chose.
        level_key: The key that targets were ranked by.
        width: Over how many targets the prefix is spread.
        chosen: The target taken.
        reason: Why, where it is not the first candidate.
        candidates: The first targets compared.
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
