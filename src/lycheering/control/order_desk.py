"""Answers entries' calls on orders, on the leader."""

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
    from lycheering.orders import in_doubt
    from lycheering.orders import records
    from lycheering.wire import pool

INQUIRY_TIMEOUT_MS = 1_500


class LedgerBook(orders_api.OrderBook):
    """The replicated ledger as the tasks on the leader use it."""

    def __init__(self, group: replica.Replica, time: clock.Clock) -> None:
        self._group = group
        self._clock = time

    def is_leader(self) -> bool:
        """Returns whether this process may act for the ledger now."""
        return self._group.is_leader()

    def asks_back(self) -> bool:
        """Returns whether agents are asked at all."""
        return self._group.machine.fleet.flag("orders.ask_back")

    def wall_ms(self) -> int:
        """Returns the time by which claims are aged."""
        return max(self._clock.wall_ms(), self._group.machine.orders.now_ms)

    def open_orders(self) -> Iterable[records.Order]:
        """Returns the orders that are claimed or unknown, oldest first."""
        return self._group.machine.orders.open_orders()

    def find_id(self, order_id: str) -> records.Order | None:
        """Returns an order by its claim's id."""
        return self._group.machine.orders.find_id(order_id)

    async def finish(
        self, order_id: str, outcome: messages.OrderOutcome
    ) -> None:
        """Commits an outcome."""
        await self._group.propose(
            commands.FinishOrder(order_id, outcome, self._clock.wall_ms())
        )

    async def release(self, order_id: str, reason: str) -> None:
        """Gives a claim back that was never run and never will be."""
        await self._group.propose(
            commands.ReleaseOrder(order_id, reason, self._clock.wall_ms())
        )

    async def mark_unknown(self, order_id: str, reason: str) -> None:
        """Records that nobody can tell whether a claim ran."""
        await self._group.propose(
            commands.MarkOrderUnknown(order_id, reason, self._clock.wall_ms())
        )

    async def expire(self) -> None:
        """Drops what was kept long enough, if there is any."""
        wall_ms = self._clock.wall_ms()
        if self._group.machine.orders.due_count(wall_ms):
            await self._group.propose(commands.ExpireOrders(wall_ms))


class WireInquirer(orders_api.AgentInquirer):
    """Asks agents over the inner protocol."""

    def __init__(
        self, group: replica.Replica, connections: pool.ConnectionPool
    ) -> None:
        self._group = group
        self._connections = connections

    async def ask(self, order: records.Order) -> messages.OrderInquiryReply:
        """Asks the incarnation that the claim names."""
        target = self._group.machine.fleet.target_by_name.get(order.target)
        if target is None:
            raise orders_api.AgentGoneError("target is not known")
        if target.agent_incarnation != order.agent_incarnation:
            raise orders_api.AgentGoneError("agent was restarted")
        connection = self._connections.get(wire_api.agent_address(target))
        try:
            await connection.ready(INQUIRY_TIMEOUT_MS)
            if connection.peer_incarnation != order.agent_incarnation:
                raise orders_api.AgentGoneError("agent was restarted")
            # no await in between, so the frame goes to this incarnation
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


class OrderDesk:
    """Claims, outcomes and look-ups, as entries ask for them."""

    def __init__(
        self,
        group: replica.Replica,
        doubts: in_doubt.InDoubtTask,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._doubts = doubts
        self._clock = time

    async def claim(self, asked: messages.OrderClaim) -> messages.Message:
        """Claims the right to run an order once."""
        answer = await self._claim(asked)
        held = answer.order
        is_resend = held is not None and not answer.granted
        if is_resend and answer.same_digest and held is not None:
            await self._doubts.settle(held)
            now = self._group.machine.orders.find(asked.team, asked.key)
            if now is not None and now.state != held.state:
                answer = await self._claim(asked)
        return _claim_reply(answer)

    async def _claim(self, asked: messages.OrderClaim) -> commands.OrderAnswer:
        command = commands.ClaimOrder(asked, self._clock.wall_ms())
        return _order_answer(await self._group.propose(command))

    async def finish(self, asked: messages.OrderFinish) -> messages.Message:
        """Commits an order's outcome."""
        command = commands.FinishOrder(
            asked.order_id, asked.outcome, self._clock.wall_ms()
        )
        return _done(_order_answer(await self._group.propose(command)))

    async def release(self, asked: messages.OrderRelease) -> messages.Message:
        """Gives a claim back whose request never left the agent."""
        command = commands.ReleaseOrder(
            asked.order_id, asked.reason, self._clock.wall_ms()
        )
        return _done(_order_answer(await self._group.propose(command)))

    async def look_up(self, asked: messages.OrderLookup) -> messages.Message:
        """Tells where an order stands, and settles it first if in doubt."""
        await self._group.read_index()
        orders = self._group.machine.orders
        order = orders.find(asked.team, asked.key)
        if order is None:
            return messages.Failure(messages.Reason.NOT_FOUND)
        await self._doubts.settle(order)
        # after the awaits this instance may lead no longer
        await self._group.read_index()
        order = self._group.machine.orders.find(asked.team, asked.key)
        if order is None:
            return messages.Failure(messages.Reason.NOT_FOUND)
        return _reply(order, granted=False, same_digest=True)


def _order_answer(reply: commands.Reply) -> commands.OrderAnswer:
    if isinstance(reply, commands.OrderAnswer):
        return reply
    raise errors.UnavailableError(f"refused: {type(reply).__name__}")


def _claim_reply(answer: commands.OrderAnswer) -> messages.Message:
    order = answer.order
    if order is None:
        retry_ms = 0.0
        if answer.refusal == messages.Reason.FULL:
            retry_ms = failures.FULL_RETRY_MS
        return messages.Failure(
            messages.Reason(answer.refusal), "claim refused", retry_ms
        )
    return _reply(order, answer.granted, answer.same_digest)


def _reply(
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


def _done(answer: commands.OrderAnswer) -> messages.Message:
    if answer.done:
        return messages.Done()
    if answer.refusal == messages.Reason.NOT_FOUND:
        return messages.Failure(messages.Reason.NOT_FOUND)
    return messages.Failure(
        messages.Reason.BLOCKED, f"order is {answer.refusal}"
    )


__all__ = ["INQUIRY_TIMEOUT_MS", "LedgerBook", "OrderDesk", "WireInquirer"]
