"""Orders that run at most once, as the agent remembers them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from lycheering.limits import api as limits_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock as clocks

MAX_ORDERS = 50_000
MAX_TOTAL_OUTCOME_BYTES = 16_777_216
FULL_RETRY_AFTER_MS = 60_000
UNREGISTERED_RETRY_AFTER_MS = 500


class AlreadySentError(Exception):
    """An order was sent before, so that it can't be said not to run."""


class OrderState(enum.Enum):
    """How far an order got here."""

    BLOCKED = enum.auto()
    RECEIVED = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass
class OrderRecord:
    """What the agent knows of one order.

    Attributes:
        state: How far it got.
        changed_ms: When it got there.
        outcome: The answer, once done.
    """

    state: OrderState
    changed_ms: float
    outcome: messages.OrderOutcome | None = None


class OrderRegistry:
    """Lets each order through once and remembers what became of it.

    Attributes:
        highest_fence: The highest fencing number known from a quorum,
            or None before the agent registered.
        retention_ms: How long records are kept.
    """

    def __init__(self, clock: clocks.Clock, retention_ms: float) -> None:
        self.highest_fence: int | None = None
        self.retention_ms = retention_ms
        self._clock = clock
        self._record_by_order_id: dict[str, OrderRecord] = {}
        self._outcome_bytes = 0
        self._highest_sent_fence = 0

    def set_highest_fence(self, highest_fence: int) -> None:
        """Learns the highest fencing number when the agent registers.

        Only the first one counts: orders granted later may be on their
        way here while the agent registers again.
        """
        if self.highest_fence is None:
            self.highest_fence = highest_fence

    def receive(self, ticket: messages.OrderTicket) -> None:
        """Takes an order in, never twice.

        Raises:
            RefusedError: If it must not run here.
            AlreadySentError: If it was sent before.
        """
        record = self._record_by_order_id.get(ticket.order_id)
        if record is not None and record.state is not OrderState.BLOCKED:
            raise AlreadySentError(ticket.order_id)
        if record is not None:
            raise limits_api.RefusedError(
                messages.Reason.BLOCKED, 0.0, "the order was blocked"
            )
        if self.highest_fence is None:
            raise limits_api.RefusedError(
                messages.Reason.NO_QUORUM,
                UNREGISTERED_RETRY_AFTER_MS,
                "the agent has not registered",
            )
        if ticket.fence < self.highest_fence:
            raise limits_api.RefusedError(
                messages.Reason.FENCED, 0.0, "old fencing number"
            )
        if not self._has_room():
            raise limits_api.RefusedError(
                messages.Reason.FULL, FULL_RETRY_AFTER_MS, "too many orders"
            )
        self._set_state(ticket.order_id, OrderState.RECEIVED)

    def mark_sent(
        self, ticket: messages.OrderTicket, is_fencing_checked: bool
    ) -> None:
        """Learns that an order leaves for the target now.

        Args:
            ticket: The order's claim.
            is_fencing_checked: Whether the target refuses old fencing numbers.

        Raises:
            RefusedError: If it was blocked meanwhile, or the target
                would refuse its fencing number.
        """
        order_id = ticket.order_id
        record = self._record_by_order_id.get(order_id)
        if record is None or record.state is not OrderState.RECEIVED:
            raise limits_api.RefusedError(
                messages.Reason.BLOCKED, 0.0, "the order was blocked"
            )
        if is_fencing_checked and ticket.fence < self._highest_sent_fence:
            raise limits_api.RefusedError(
                messages.Reason.FENCED, 0.0, "a newer order was sent"
            )
        self._highest_sent_fence = max(self._highest_sent_fence, ticket.fence)
        self._set_state(order_id, OrderState.SENT)

    def block(self, order_id: str) -> None:
        """Learns that an order never left; it is blocked for good."""
        self._set_state(order_id, OrderState.BLOCKED)

    def mark_done(self, order_id: str, outcome: messages.OrderOutcome) -> None:
        """Keeps an order's whole answer."""
        record = self._set_state(order_id, OrderState.DONE)
        record.outcome = outcome
        self._outcome_bytes += len(outcome.body)

    def mark_unknown(self, order_id: str) -> None:
        """Learns that nobody can know whether an order ran."""
        self._set_state(order_id, OrderState.UNKNOWN)

    def inquire(self, order_id: str) -> messages.OrderInquiryReply:
        """Tells what became of an order; blocks one that never left.

        Raises:
            RefusedError: If there is no room to remember the block.
        """
        results = messages.InquiryResult
        record = self._record_by_order_id.get(order_id)
        if record is None:
            if not self._has_room():
                raise limits_api.RefusedError(
                    messages.Reason.FULL, FULL_RETRY_AFTER_MS, "too many orders"
                )
            record = self._set_state(order_id, OrderState.BLOCKED)
        if record.state is OrderState.RECEIVED:
            record = self._set_state(order_id, OrderState.BLOCKED)
        if record.state is OrderState.BLOCKED:
            return messages.OrderInquiryReply(results.NEVER_RECEIVED)
        if record.state is OrderState.SENT:
            return messages.OrderInquiryReply(results.RUNNING)
        if record.state is OrderState.DONE:
            return messages.OrderInquiryReply(results.DONE, record.outcome)
        return messages.OrderInquiryReply(results.UNKNOWN)

    def _set_state(self, order_id: str, state: OrderState) -> OrderRecord:
        # the newest record stands last, so that old ones are found first
        record = self._record_by_order_id.pop(order_id, None)
        if record is None:
            record = OrderRecord(state, 0.0)
        record.state = state
        record.changed_ms = self._clock.now_ms()
        self._record_by_order_id[order_id] = record
        return record

    def _has_room(self) -> bool:
        oldest_ms = self._clock.now_ms() - self.retention_ms
        while self._record_by_order_id:
            order_id = next(iter(self._record_by_order_id))
            record = self._record_by_order_id[order_id]
            if record.changed_ms > oldest_ms or record.state is OrderState.SENT:
                break
            del self._record_by_order_id[order_id]
            if record.outcome is not None:
                self._outcome_bytes -= len(record.outcome.body)
        return (
            len(self._record_by_order_id) < MAX_ORDERS
            and self._outcome_bytes < MAX_TOTAL_OUTCOME_BYTES
        )


__all__ = [
    "MAX_ORDERS",
    "MAX_TOTAL_OUTCOME_BYTES",
    "AlreadySentError",
    "OrderRegistry",
    "OrderRecord",
    "OrderState",
]
