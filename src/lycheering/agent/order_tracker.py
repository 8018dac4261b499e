"""The claim under which a request runs, from its arrival to its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.targets import api as targets_api
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.agent import delivery as deliveries

MAX_OUTCOME_BYTES = 1_048_576


class OrderTracker:
    """Tells the order desk what becomes of one order."""

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
        """Whether the target refuses old fencing numbers."""
        return self._context.holder.fleet.flag(
            "target.checks_fencing", self._context.subject
        )

    def receive(self) -> None:
        """Takes the order in, never twice.

        Raises:
            RefusedError: If it must not run here.
            AlreadySentError: If it was sent before.
        """
        self._context.order_registry.receive(self._ticket)
        self._received = True

    def mark_sent(self) -> None:
        """Learns that the order leaves for the target now.

        Raises:
            RefusedError: If it was blocked meanwhile.
        """
        self._context.order_registry.mark_sent(
            self._ticket, self.is_fencing_checked
        )

    def append_answer(self, items: tuple[bytes, ...]) -> None:
        """Keeps a part of the answer.

        Raises:
            LostStreamError: If the answer is too large to be kept.
        """
        self._answer += b"".join(items)
        if len(self._answer) > MAX_OUTCOME_BYTES:
            raise targets_api.LostStreamError("the order's answer is too large")

    def record_outcome(
        self, ending: deliveries.Ending, started: messages.Started | None
    ) -> None:
        """Records what became of the order."""
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
