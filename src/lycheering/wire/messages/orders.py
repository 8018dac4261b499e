"""The messages about orders, which run at most once."""

from __future__ import annotations

import enum

import msgspec

from lycheering.wire.messages import common


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
    reason: common.Reason


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


__all__ = [
    "InquiryResult",
    "OrderClaim",
    "OrderFinish",
    "OrderInquiry",
    "OrderInquiryReply",
    "OrderLookup",
    "OrderOutcome",
    "OrderRelease",
    "OrderReply",
    "OrderState",
]
