"""The messages about orders, which run at most once."""

from __future__ import annotations

import enum

import msgspec

from lycheering.wire.messages import common


class OrderState(enum.StrEnum):
    """The state of an order, which runs at most once."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"
    UNKNOWN = "unknown"


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an order, which is kept for repeated calls.

    Attributes:
        status: The HTTP status.
        content_type: The answer's content type.
        body: The complete body of the answer.
        request_id: Id of the request that ran the order.
    """

    status: int
    content_type: str
    body: bytes
    request_id: str


class OrderClaim(msgspec.Struct, frozen=True, array_like=True, tag=40):
    """Asks control for the claim to run an order once.

    Attributes:
        team: The caller's team.
        key: The caller's idempotency key.
        digest: Digest of the request, which is the same for repeated calls.
        request_id: Id of the request that is to run the order.
        target: Name of the target that is to run it.
        agent_incarnation: Incarnation of that target's agent.
        retention_ms: Time for which the outcome is kept.
    """

    team: str
    key: str
    digest: str
    request_id: str
    target: str
    agent_incarnation: str
    retention_ms: float


class OrderReply(msgspec.Struct, frozen=True, array_like=True, tag=41):
    """Reports the state of an order.

    Attributes:
        order_id: Id of the claim.
        state: State of the order.
        granted: Whether the sender of OrderClaim now holds the claim.
        same_digest: Whether the key was used with the same request before.
        fence: The fencing number; 0 if the claim was not granted.
        target: The target that the claim is for.
        request_id: Id of the request that holds or held the claim.
        outcome: The answer, once the order is finished.
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
    """Commits the outcome of an order.

    Attributes:
        order_id: Id of the claim.
        outcome: The answer to keep.
    """

    order_id: str
    outcome: OrderOutcome


class OrderRelease(msgspec.Struct, frozen=True, array_like=True, tag=43):
    """Releases a claim whose request was never sent to the target.

    Attributes:
        order_id: Id of the claim.
        reason: Why the request did not run.
    """

    order_id: str
    reason: common.Reason


class OrderLookup(msgspec.Struct, frozen=True, array_like=True, tag=44):
    """Asks for the state of an order, and has it settled first if in doubt.

    Attributes:
        team: The caller's team.
        key: The caller's idempotency key.
    """

    team: str
    key: str


class OrderInquiry(msgspec.Struct, frozen=True, array_like=True, tag=45):
    """Asks an agent for the result of an order.

    An agent that has not received the order rejects it from then on.

    Attributes:
        order_id: Id of the claim.
    """

    order_id: str


class InquiryResult(enum.StrEnum):
    """What an agent knows about an order."""

    NEVER_RECEIVED = "never_received"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class OrderInquiryReply(msgspec.Struct, frozen=True, array_like=True, tag=46):
    """Answers OrderInquiry.

    Attributes:
        result: What the agent knows; `NEVER_RECEIVED` is final, as the agent
            rejects the order from then on.
        outcome: The answer, if the order is done.
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
