"""Follows the order of one request from its arrival to its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.targets import api as targets_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.agent import delivery as deliveries

MAX_OUTCOME_BYTES = 1_048_576


class OrderTracker:
    """Records the progress of one order in the order registry.

    It collects the answer, which the registry keeps as the order's outcome.
    """

    def __init__(
        self,
        context: contexts.Context,
        ticket: messages.OrderTicket,
        request_id: str,
    ) -> None:
        self._context = context
        self._ticket = ticket
        self._request_id = request_id
        self._received = False
        self._answer = bytearray()

    @property
    def is_fencing_checked(self) -> bool:
        """Whether the target rejects old fencing numbers."""
        return self._context.holder.fleet.boolean_option(
            "target.checks_fencing", self._context.subject
        )

    def receive(self) -> None:
        """Records the order's arrival.

        Raises:
            RefusedError: If the order must not run here.
            AlreadySentError: If the order was received before.
        """
        self._context.order_registry.receive(self._ticket)
        self._received = True

    def mark_sent(self) -> None:
        """Records that the order is now sent to the target.

        Raises:
            RefusedError: If the order was blocked meanwhile, or the target
                would reject its fencing number.
        """
        self._context.order_registry.mark_sent(
            self._ticket, self.is_fencing_checked
        )

    def append_answer(self, items: tuple[bytes, ...]) -> None:
        """Appends chunks to the answer.

        Raises:
            LostStreamError: If the answer is larger than
                `MAX_OUTCOME_BYTES`.
        """
        self._answer += b"".join(items)
        if len(self._answer) > MAX_OUTCOME_BYTES:
            raise targets_api.LostStreamError("the order's answer is too large")

    def record_outcome(
        self, ending: deliveries.Ending, started: messages.Started | None
    ) -> None:
        """Records the order's outcome, if its arrival was recorded."""
        if not self._received:
            return
        registry = self._context.order_registry
        order_id = self._ticket.order_id
        if isinstance(ending, messages.NotRun):
            registry.block(order_id)
        elif isinstance(ending, messages.Finished) and started is not None:
            outcome = messages.OrderOutcome(
                started.status,
                started.content_type,
                bytes(self._answer),
                self._request_id,
            )
            registry.mark_done(order_id, outcome)
        else:
            registry.mark_unknown(order_id)


__all__ = ["MAX_OUTCOME_BYTES", "OrderTracker"]
