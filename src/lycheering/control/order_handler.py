"""Handles the order calls of entries, on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.control import commands
from lycheering.control import failures
from lycheering.fleet import records as fleet_records
from lycheering.orders import api as orders_api
from lycheering.replication import errors
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.control import replica
    from lycheering.orders import order_reconciler
    from lycheering.orders import records
    from lycheering.wire import pool

INQUIRY_TIMEOUT_MS = 1_500


class ReplicatedOrderLedger(orders_api.OrderLedger):
    """Gives the leader's tasks access to the replicated order ledger."""

    def __init__(self, group: replica.Replica, time: clock.Clock) -> None:
        self._group = group
        self._clock = time

    def is_leader(self) -> bool:
        """Returns whether this instance is the leader and may settle orders."""
        return self._group.is_leader()

    def are_inquiries_enabled(self) -> bool:
        """Returns whether inquiries to agents are enabled."""
        return self._group.machine.fleet.boolean_option("orders.ask_back")

    def wall_ms(self) -> int:
        """Returns the time that the age of a claim is computed with."""
        return max(self._clock.wall_ms(), self._group.machine.orders.now_ms)

    def open_orders(self) -> Iterable[records.Order]:
        """Returns the orders in state claimed or unknown, oldest first."""
        return self._group.machine.orders.open_orders()

    def find_by_id(self, order_id: str) -> records.Order | None:
        """Returns the order with a claim id."""
        return self._group.machine.orders.find_by_id(order_id)

    async def finish(
        self, order_id: str, outcome: messages.OrderOutcome
    ) -> None:
        """Commits the outcome of an order."""
        await self._group.propose(
            commands.FinishOrder(order_id, outcome, self._clock.wall_ms())
        )

    async def release(self, order_id: str, reason: str) -> None:
        """Releases the claim of an order that neither ran nor will run."""
        await self._group.propose(
            commands.ReleaseOrder(order_id, reason, self._clock.wall_ms())
        )

    async def mark_unknown(self, order_id: str, reason: str) -> None:
        """Commits that it can't be determined whether an order ran."""
        await self._group.propose(
            commands.MarkOrderUnknown(order_id, reason, self._clock.wall_ms())
        )

    async def expire(self) -> None:
        """Drops settled orders whose retention has passed, if there are any."""
        wall_ms = self._clock.wall_ms()
        if self._group.machine.orders.due_count(wall_ms):
            await self._group.propose(commands.ExpireOrders(wall_ms))


class WireInquirer(orders_api.AgentInquirer):
    """Sends inquiries about orders to agents over the inner protocol."""

    def __init__(
        self, group: replica.Replica, connections: pool.ConnectionPool
    ) -> None:
        self._group = group
        self._connections = connections

    async def inquire(self, order: records.Order) -> messages.OrderInquiryReply:
        """Asks the agent incarnation that holds the claim."""
        target = self._group.machine.fleet.target_by_name.get(order.target)
        if target is None:
            raise orders_api.AgentGoneError("target is not known")
        if target.agent_incarnation != order.agent_incarnation:
            raise orders_api.AgentGoneError("agent was restarted")
        connection = self._connections.get(wire_api.agent_address(target))
        try:
            await connection.wait_ready(INQUIRY_TIMEOUT_MS)
            if connection.peer_incarnation != order.agent_incarnation:
                raise orders_api.AgentGoneError("agent was restarted")
            # no await since the check, so the frame goes to this incarnation
            reply = await connection.call(
                messages.OrderInquiry(order.order_id), INQUIRY_TIMEOUT_MS
            )
        except wire_errors.WireError as error:
            if self._is_gone(order):
                raise orders_api.AgentAbsentError(str(error)) from error
            raise orders_api.AgentSilentError(str(error)) from error
        if not isinstance(reply, messages.OrderInquiryReply):
            raise orders_api.AgentSilentError(type(reply).__name__)
        return reply

    def _is_gone(self, order: records.Order) -> bool:
        target = self._group.machine.fleet.target_by_name.get(order.target)
        return (
            target is not None
            and target.state == fleet_records.TargetState.GONE
        )


class OrderHandler:
    """Handles claims, outcomes and look-ups of orders."""

    def __init__(
        self,
        group: replica.Replica,
        reconciler: order_reconciler.OrderReconciler,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._order_reconciler = reconciler
        self._clock = time

    async def claim(self, request: messages.OrderClaim) -> messages.Message:
        """Claims the right to run an order once."""
        answer = await self._propose_claim(request)
        order = answer.order
        is_resend = order is not None and not answer.granted
        if is_resend and answer.same_digest and order is not None:
            await self._order_reconciler.settle(order)
            latest = self._group.machine.orders.find(request.team, request.key)
            if latest is not None and latest.state != order.state:
                answer = await self._propose_claim(request)
        return _claim_reply(answer)

    async def _propose_claim(
        self, request: messages.OrderClaim
    ) -> commands.OrderAnswer:
        command = commands.ClaimOrder(request, self._clock.wall_ms())
        return _order_answer(await self._group.propose(command))

    async def finish(self, request: messages.OrderFinish) -> messages.Message:
        """Commits an order's outcome."""
        command = commands.FinishOrder(
            request.order_id, request.outcome, self._clock.wall_ms()
        )
        return _confirmation(_order_answer(await self._group.propose(command)))

    async def release(self, request: messages.OrderRelease) -> messages.Message:
        """Releases a claim whose request was never sent to the target."""
        command = commands.ReleaseOrder(
            request.order_id, request.reason, self._clock.wall_ms()
        )
        return _confirmation(_order_answer(await self._group.propose(command)))

    async def look_up(self, request: messages.OrderLookup) -> messages.Message:
        """Returns an order's state; settles the order first if in doubt."""
        await self._group.read_index()
        orders = self._group.machine.orders
        order = orders.find(request.team, request.key)
        if order is None:
            return messages.Failure(messages.Reason.NOT_FOUND)
        await self._order_reconciler.settle(order)
        # this instance may have lost leadership during the awaits
        await self._group.read_index()
        order = self._group.machine.orders.find(request.team, request.key)
        if order is None:
            return messages.Failure(messages.Reason.NOT_FOUND)
        return _order_reply(order, granted=False, same_digest=True)


def _order_answer(reply: commands.Reply) -> commands.OrderAnswer:
    if isinstance(reply, commands.OrderAnswer):
        return reply
    raise errors.UnavailableError(
        f"unexpected reply to an order command: {type(reply).__name__}"
    )


def _claim_reply(answer: commands.OrderAnswer) -> messages.Message:
    order = answer.order
    if order is None:
        retry_ms = 0.0
        if answer.refusal == messages.Reason.FULL:
            retry_ms = failures.FULL_RETRY_MS
        return messages.Failure(
            messages.Reason(answer.refusal), "the claim was refused", retry_ms
        )
    return _order_reply(order, answer.granted, answer.same_digest)


def _order_reply(
    order: records.Order, granted: bool, same_digest: bool
) -> messages.OrderReply:
    return messages.OrderReply(
        order.order_id,
        order.state,
        granted,
        same_digest,
        order.fence if granted else 0,
        order.target,
        order.request_id,
        order.outcome if same_digest else None,
    )


def _confirmation(answer: commands.OrderAnswer) -> messages.Message:
    if answer.done:
        return messages.Done()
    if answer.refusal == messages.Reason.NOT_FOUND:
        return messages.Failure(messages.Reason.NOT_FOUND)
    return messages.Failure(
        messages.Reason.BLOCKED, f"the order is {answer.refusal}"
    )


__all__ = [
    "INQUIRY_TIMEOUT_MS",
    "ReplicatedOrderLedger",
    "OrderHandler",
    "WireInquirer",
]
