"""An order as the ledger keeps it."""

from __future__ import annotations

import msgspec

from lycheering.wire import messages


class Order(msgspec.Struct, frozen=True, array_like=True):
    """One order that may run at most once.

    Attributes:
        order_id: The claim's id; each claim has its own.
        team: The team.
        key: The caller's idempotency key.
        digest: Digest of the request.
        state: Where the order stands.
        fence: The fencing number granted with the claim.
        target: The target claimed for.
        agent_incarnation: The incarnation of the agent beside it.
        request_id: The request that claimed it.
        claimed_ms: When it was claimed, in ledger time.
        changed_ms: When its state changed last, in ledger time.
        retention_ms: How long it is kept once settled.
        reason: Why it was released or is unknown, or who settled it.
        outcome: The answer, if finished and not too large to keep.
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
    """What names an order.

    Attributes:
        team: The team.
        key: The caller's idempotency key.
    """

    team: str
    key: str


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the ledger keeps.

    Attributes:
        now_ms: Ledger time.
        orders: All orders.
    """

    now_ms: int
    orders: tuple[Order, ...]


__all__ = ["LedgerSnapshot", "Order", "OrderKey"]
