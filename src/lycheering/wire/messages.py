"""The messages of the inner protocol."""

from __future__ import annotations

import enum

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view

PROTOCOL_VERSION = 1


class Role(enum.StrEnum):
    """What a process does in the fleet."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class Reason(enum.StrEnum):
    """Why something was refused, retried or broken off."""

    FULL = "full"
    DRAINING = "draining"
    STALE_VIEW = "stale_view"
    WRONG_WEIGHTS = "wrong_weights"
    WRONG_MODEL = "wrong_model"
    DEADLINE = "deadline"
    EXPIRED = "expired"
    WRONG_INCARNATION = "wrong_incarnation"
    TEAM_LIMIT = "team_limit"
    TARGET_DOWN = "target_down"
    TARGET_FAILED = "target_failed"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BLOCKED = "blocked"
    FENCED = "fenced"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    NO_TARGET = "no_target"
    RETRY_BUDGET = "retry_budget"
    UNKNOWN_OUTCOME = "unknown_outcome"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    TOO_LARGE = "too_large"
    TOO_MANY_OPEN = "too_many_open"
    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FLEET_LEASE = "fleet_lease"
    CANCELLED = "cancelled"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """An agent's load when a frame left it.

    Attributes:
        running: Requests that run at the target.
        queued: Requests that wait at the agent.
        slots: Requests that the target runs at once.
        queue_ms: Expected wait of a request that starts after all others.
        piece_ms: Time to prefill one missing piece.
        draining: Whether the agent takes nothing new.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    queue_ms: float = 0.0
    piece_ms: float = 0.0
    draining: bool = False


class WidthHint(msgspec.Struct, frozen=True, array_like=True):
    """How many ranked targets a prefix may use.

    Attributes:
        level_key: The key of the prefix level that requests rank by.
        width: The number of targets.
    """

    level_key: str
    width: int


# connection


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Opens a session; the first frame on each connection.

    Attributes:
        role: The sender's role.
        failure_domain: The failure domain it is in.
    """

    role: Role
    failure_domain: str


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers Hello.

    Attributes:
        now_ms: The sender's clock, by which frames to it expire.
    """

    now_ms: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a peer for a sign of life."""


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers Heartbeat.

    Attributes:
        now_ms: The sender's clock, by which frames to it expire.
    """

    now_ms: float


class HelloRequired(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells a peer that its session is not known here."""


class Failure(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers a call that could not be done.

    Attributes:
        reason: Why.
        detail: Text for people.
        retry_after_ms: When to try again; 0 where that is no use.
        leader: The control instance to ask instead, if one is known.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: float = 0.0
    leader: str = ""


class Done(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a call that has nothing more to say."""


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Closes a session on purpose."""


# fleet view


class ViewFetch(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for the fleet view that the receiver holds.

    Attributes:
        since: The sender's own view revision.
    """

    since: int


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Hands over the fleet view.

    Attributes:
        numbered: The changes after the receiver's revision.
        snapshot: The whole view where changes no longer reach back.
    """

    numbered: tuple[changes.NumberedChange, ...] = ()
    snapshot: view.ViewSnapshot | None = None


# requests, entry to agent


class OrderTicket(msgspec.Struct, frozen=True, array_like=True):
    """The claim under which a request may run, at most once.

    Attributes:
        order_id: The claim's id.
        fence: The fencing number granted with the claim.
    """

    order_id: str
    fence: int


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Asks an agent to run one request at its target.

    Attributes:
        request_id: The caller's request.
        attempt: The attempt's number, from 1.
        team: The team that the request belongs to.
        priority_class: The request's class.
        priority: Smaller is served first.
        deadline_ms: End of the request, by the receiver's clock.
        path: The path at the target.
        method: The HTTP method at the target.
        body: The caller's body.
        model: The model asked for; empty for a plain service.
        weights_version: The weights promised; empty takes any.
        level_ends: Ends of the nested prompt levels, in characters.
        shared_levels: How many outermost levels teams share.
        level_key: The key that the request was ranked by.
        width: The targets that the sender spreads this key over.
        level_keys: The short key of each prompt level, outermost first.
        continue_from: Tokens that an earlier attempt delivered.
        content_type: The body's content type.
        ticket: The claim, for a request that runs at most once.
    """

    request_id: str
    attempt: int
    team: str
    priority_class: str
    priority: int
    deadline_ms: float
    path: str
    method: str = "POST"
    body: bytes = b""
    model: str = ""
    weights_version: str = ""
    level_ends: tuple[int, ...] = ()
    shared_levels: int = 0
    level_key: str = ""
    width: int = 1
    level_keys: tuple[str, ...] = ()
    continue_from: int = 0
    content_type: str = "application/json"
    ticket: OrderTicket | None = None


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Picks up a running request on a new connection.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        next_seq: The first chunk wanted.
    """

    request_id: str
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Ends a request that nobody waits for.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
    """

    request_id: str
    attempt: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Tells which chunks arrived, so that more may be sent.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        next_seq: The first chunk not yet received.
    """

    request_id: str
    attempt: int
    next_seq: int


# requests, agent to entry


class CacheInquiry(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Asks an agent what its target holds of a prompt.

    Attributes:
        level_keys: The short key of each prompt level, outermost first.
        rank_index: The level that the request is ranked by.
    """

    level_keys: tuple[str, ...]
    rank_index: int


class CacheReport(msgspec.Struct, frozen=True, array_like=True, tag=36):
    """An agent's answer to a cache inquiry.

    Attributes:
        held_pieces: Leading pieces that the target holds or is computing.
        queue_ms: Expected wait of a request that starts after all others.
        piece_ms: Time to prefill one missing piece.
        life_ms: How long unused pieces stay cached; 0 if not known.
        prefix_use: Share of the target's time that the key ranked by takes.
    """

    held_pieces: int
    queue_ms: float
    piece_ms: float
    life_ms: float
    prefix_use: float


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """The request waits at the agent or runs.

    Attributes:
        expected_start_ms: Expected wait until the target gets it.
    """

    expected_start_ms: float


class Started(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """The target began to answer.

    Attributes:
        status: The target's HTTP status.
        content_type: The content type of its answer.
        prompt_pieces: Pieces of the prompt.
        cached_pieces: Pieces that the target found in its cache.
        weights_version: The weights that answer.
        hint: The width of the key that the request was ranked by.
    """

    status: int
    content_type: str
    prompt_pieces: int = 0
    cached_pieces: int = 0
    weights_version: str = ""
    hint: WidthHint | None = None


class Chunks(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Some consecutive chunks of the answer.

    Attributes:
        first_seq: Sequence number of the first.
        items: The data of each server-sent event, or parts of a body.
    """

    first_seq: int
    items: tuple[bytes, ...]


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """The answer is whole.

    Attributes:
        next_seq: The number of chunks, which the receiver must hold.
    """

    next_seq: int


class NotRun(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """The request never left the agent for the target, and never will.

    Attributes:
        reason: Why.
        retry_after_ms: When the agent expects to take such a request.
        detail: Text for people.
        hint: The width of the key that the request was ranked by.
    """

    reason: Reason
    retry_after_ms: float = 0.0
    detail: str = ""
    hint: WidthHint | None = None


class Broken(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """The request may have run, and its answer can't be completed here.

    Attributes:
        reason: Why.
        next_seq: Chunks that the agent got from the target.
        detail: Text for people.
    """

    reason: Reason
    next_seq: int
    detail: str = ""


# orders


class OrderState(enum.StrEnum):
    """Where an order that runs at most once stands."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"
    UNKNOWN = "unknown"


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an order, kept for resends.

    Attributes:
        status: The HTTP status.
        content_type: The answer's content type.
        body: The whole answer.
        request_id: The request that ran.
    """

    status: int
    content_type: str
    body: bytes
    request_id: str


class OrderClaim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Asks control for the right to run an order once.

    Attributes:
        team: The team.
        key: The caller's idempotency key.
        digest: Digest of the request, equal in each resend.
        request_id: The request that would run.
        target: The target chosen.
        agent_incarnation: The incarnation of the agent beside it.
        retention_ms: How long the outcome is kept.
    """

    team: str
    key: str
    digest: str
    request_id: str
    target: str
    agent_incarnation: str
    retention_ms: float


class OrderReply(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Where an order stands.

    Attributes:
        order_id: The claim's id.
        state: Its state.
        granted: Whether the asker now holds the claim.
        same_digest: Whether the key was used with the same request.
        fence: The fencing number, if granted.
        target: The target claimed for.
        request_id: The request that holds or held the claim.
        outcome: The answer, once finished.
    """

    order_id: str
    state: OrderState
    granted: bool
    same_digest: bool
    fence: int = 0
    target: str = ""
    request_id: str = ""
    outcome: OrderOutcome | None = None


class OrderFinish(msgspec.Struct, frozen=True, array_like=True, tag=42):
    """Commits an order's outcome.

    Attributes:
        order_id: The claim's id.
        outcome: The answer.
    """

    order_id: str
    outcome: OrderOutcome


class OrderRelease(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """Gives a claim back whose request never left the agent.

    Attributes:
        order_id: The claim's id.
        reason: Why it did not run.
    """

    order_id: str
    reason: Reason


class OrderLookup(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Asks where an order stands; settles it first if it is in doubt.

    Attributes:
        team: The team.
        key: The caller's idempotency key.
    """

    team: str
    key: str


class OrderInquiry(msgspec.Struct, frozen=True, array_like=True, tag=45):
    """Asks an agent what became of an order, and blocks it if unseen.

    Attributes:
        order_id: The claim's id.
    """

    order_id: str


class InquiryResult(enum.StrEnum):
    """What an agent knows of an order."""

    NEVER_RECEIVED = "never_received"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class OrderInquiryReply(msgspec.Struct, frozen=True, array_like=True, tag=46):
    """Answers OrderInquiry.

    Attributes:
        result: What the agent knows; never received is final.
        outcome: The answer, if done.
    """

    result: InquiryResult
    outcome: OrderOutcome | None = None


# membership and target orders


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
    """

    target: str
    agent_incarnation: str
    engine_incarnation: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    load: LoadReport


class StatusFetch(msgspec.Struct, frozen=True, array_like=True, tag=56):
    """Asks a control instance which processes it has sessions with."""


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
    role: Role
    incarnation: str
    failure_domain: str
    view_revision: int
    last_heard_ms: float


class StatusReply(msgspec.Struct, frozen=True, array_like=True, tag=57):
    """Answers StatusFetch.

    Attributes:
        peers: The processes that the control instance has sessions with.
        reports: The last report of each target among them.
    """

    peers: tuple[PeerStatus, ...]
    reports: tuple[TargetReport, ...] = ()


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


# replicated log


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


Message = (
    Hello
    | Welcome
    | Heartbeat
    | HeartbeatReply
    | HelloRequired
    | Failure
    | Done
    | Bye
    | ViewFetch
    | ViewUpdate
    | Submit
    | Resume
    | Cancel
    | Ack
    | CacheInquiry
    | CacheReport
    | Accepted
    | Started
    | Chunks
    | Finished
    | NotRun
    | Broken
    | OrderClaim
    | OrderReply
    | OrderFinish
    | OrderRelease
    | OrderLookup
    | OrderInquiry
    | OrderInquiryReply
    | Register
    | Registered
    | Deregister
    | TargetOrder
    | TargetOrderReply
    | TargetReport
    | StatusFetch
    | StatusReply
    | CountersFetch
    | CountersReply
    | LogCall
    | LogReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame.

    Attributes:
        version: The protocol's version.
        sender: The sender's instance.
        sender_incarnation: The sender's incarnation.
        receiver_incarnation: Whom the frame is for; empty only in Hello.
        view_revision: The view revision that the sender has in force.
        call_id: Pairs replies with calls on a connection; 0 for neither.
        expires_ms: When the frame must no longer be acted on, by the
            receiver's clock; 0 for never.
        message: What is said.
        load: The sender's load, on some of an agent's frames.
    """

    version: int
    sender: str
    sender_incarnation: str
    receiver_incarnation: str
    view_revision: int
    call_id: int
    expires_ms: float
    message: Message
    load: LoadReport | None = None


__all__ = [
    "PROTOCOL_VERSION",
    "Accepted",
    "Ack",
    "Broken",
    "Bye",
    "CacheInquiry",
    "CacheReport",
    "Cancel",
    "Chunks",
    "CountersFetch",
    "CountersReply",
    "Deregister",
    "Done",
    "Envelope",
    "Failure",
    "Finished",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "HelloRequired",
    "InquiryResult",
    "LoadReport",
    "LogCall",
    "LogReply",
    "Message",
    "NotRun",
    "OrderClaim",
    "OrderFinish",
    "OrderInquiry",
    "OrderInquiryReply",
    "OrderLookup",
    "OrderOutcome",
    "OrderRelease",
    "OrderReply",
    "OrderState",
    "OrderTicket",
    "PeerStatus",
    "Reason",
    "Register",
    "Registered",
    "Resume",
    "Role",
    "Started",
    "StatusFetch",
    "StatusReply",
    "Submit",
    "TargetOrder",
    "TargetOrderKind",
    "TargetOrderReply",
    "TargetReport",
    "ViewFetch",
    "ViewUpdate",
    "Welcome",
    "WidthHint",
]
