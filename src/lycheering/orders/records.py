"""Records of orders in the ledger."""

from __future__ import annotations

import msgspec

from lycheering.wire import messages


class Order(msgspec.Struct, frozen=True, array_like=True):
    """An order, which runs at most once.

    Attributes:
        order_id: The id of the claim; each claim has a new one.
        team: The team.
        key: The caller's idempotency key.
        digest: Digest of the request.
        state: The state of the order.
        fence: The fencing number granted with the claim.
        target: The target that the claim is for.
        agent_incarnation: The incarnation of the agent beside the target.
        request_id: The request that claimed the order.
        claimed_ms: When the order was claimed, in ledger time.
        changed_ms: When the state last changed, in ledger time.
        retention_ms: How long the order is kept after it is settled.
        reason: Why the order was released or is unknown, or which operator
            settled it.
        outcome: The answer, if the order is finished and the answer is not
            too large to keep.
    """

    order_id: str
    team: str
    key: str
    digest: str
    state: messages.OrderState
    fence: int
    target: str
    agent_incarnation: str
    request_id: str
    claimed_ms: int
    changed_ms: int
    retention_ms: int
    reason: str = ""
    outcome: messages.OrderOutcome | None = None


class OrderKey(msgspec.Struct, frozen=True, array_like=True):
    """The key that identifies an order.

    Attributes:
        team: The team.
        key: The caller's idempotency key.
    """

    team: str
    key: str


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the ledger.

    Attributes:
        now_ms: Ledger time.
        orders: All orders in the ledger.
    """

    now_ms: int
    orders: tuple[Order, ...]


__all__ = ["LedgerSnapshot", "Order", "OrderKey"]
