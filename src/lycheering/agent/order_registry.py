"""The agent's records of orders, by which each runs at most once."""

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
    """The order was received before, so it may run or have run."""


class OrderState(enum.Enum):
    """The progress of an order at this agent.

    Attributes:
        BLOCKED: It was never sent to the target and must never be.
        RECEIVED: It waits to be sent to the target.
        SENT: It is being sent to the target or runs there.
        DONE: Its whole answer is known.
        UNKNOWN: It may or may not have run.
    """

    BLOCKED = enum.auto()
    RECEIVED = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass
class OrderRecord:
    """The record of one order.

    Attributes:
        state: Its progress.
        changed_ms: The time of the last change of its state.
        outcome: Its answer; None unless it is done.
    """

    state: OrderState
    changed_ms: float
    outcome: messages.OrderOutcome | None = None


class OrderRegistry:
    """Lets each order run at most once and remembers its outcome.

    Attributes:
        highest_fence: The highest fencing number that a quorum granted
            before the agent registered; None until then.
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
        """Sets the highest fencing number when the agent registers.

        Later calls have no effect. When the agent registers again, orders
        with fencing numbers granted since may be on their way here, and a
        higher number would refuse them.
        """
        if self.highest_fence is None:
            self.highest_fence = highest_fence

    def receive(self, ticket: messages.OrderTicket) -> None:
        """Records the arrival of an order.

        Raises:
            RefusedError: If the order is blocked or its fencing number is
                old, the agent has not registered, or the registry is full.
            AlreadySentError: If the order was received before and is not
                known to be blocked.
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
        """Records that an order is now sent to the target.

        Args:
            ticket: The order's claim.
            is_fencing_checked: Whether the target rejects old fencing
                numbers.

        Raises:
            RefusedError: If the order was blocked meanwhile, or the target
                would reject its fencing number.
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
        """Records that an order was never sent, and blocks it for good."""
        self._set_state(order_id, OrderState.BLOCKED)

    def mark_done(self, order_id: str, outcome: messages.OrderOutcome) -> None:
        """Records an order's whole answer."""
        record = self._set_state(order_id, OrderState.DONE)
        record.outcome = outcome
        self._outcome_bytes += len(outcome.body)

    def mark_unknown(self, order_id: str) -> None:
        """Records that an order may or may not have run."""
        self._set_state(order_id, OrderState.UNKNOWN)

    def inquire(self, order_id: str) -> messages.OrderInquiryReply:
        """Returns what is known of an order.

        An order that was not sent to the target yet is blocked, so that the
        reply stays true.

        Raises:
            RefusedError: If the registry is too full to record the block.
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
        # keeps the records sorted by time, so that `_has_room` can drop the
        # oldest ones from the front
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
