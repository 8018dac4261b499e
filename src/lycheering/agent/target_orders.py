"""Carries out control's target orders in the order of their fences."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.agent import target_order_exchange
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.wire import server

_LOG = logs.get("target_orders")


@dataclasses.dataclass(frozen=True)
class _AcceptedOrder:
    """A target order that was accepted.

    Attributes:
        order: The order.
        reply: The reply to it, once it was carried out.
    """

    order: messages.TargetOrder
    reply: asyncio.Future[messages.TargetOrderReply]


class TargetOrderExecutor:
    """Carries out one target order at a time, and each only once.

    Attributes:
        highest_fence: The highest fencing number of the accepted orders.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.highest_fence = 0
        self._context = context
        self._lock = asyncio.Lock()
        self._last_accepted: _AcceptedOrder | None = None

    async def execute_and_reply(
        self,
        session: server.Session,
        call_id: int,
        order: messages.TargetOrder,
    ) -> None:
        """Carries out an order and sends the reply."""
        reply = await self.execute(order)
        _LOG.event(
            "target_order",
            kind=order.kind,
            fence=order.fence,
            version=order.version,
            done=reply.done,
            detail=reply.detail,
        )
        try:
            session.send(reply, call_id)
        except errors.PeerUnreachableError:
            _LOG.warning("target_order_reply_lost", fence=order.fence)

    async def execute(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Carries out an order unless its fencing number is too low.

        An order that is sent again gets the reply to its first execution.
        """
        min_fence = self._context.order_registry.highest_fence
        if min_fence is None:
            return self._refuse("the agent has not registered")
        if order.fence < max(min_fence, self.highest_fence):
            return self._refuse_old()
        if (
            self._last_accepted is not None
            and order == self._last_accepted.order
        ):
            return await asyncio.shield(self._last_accepted.reply)
        self.highest_fence = order.fence
        accepted = _AcceptedOrder(
            order, asyncio.get_running_loop().create_future()
        )
        self._last_accepted = accepted
        try:
            reply = await self._execute_exclusively(order)
        except BaseException:
            accepted.reply.cancel()
            raise
        accepted.reply.set_result(reply)
        return reply

    async def _execute_exclusively(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        # the wait is limited, as each exchange ends after a few failed probes
        async with self._lock:
            if order.fence < self.highest_fence:
                return self._refuse_old()
            if self._context.state.satisfies(order):
                # around a change of leader both leaders may send the same order
                # under different fencing numbers
                return messages.TargetOrderReply(
                    True, order.fence, "in force before"
                )
            return await self._send_to_target(order)

    def _refuse_old(self) -> messages.TargetOrderReply:
        self._context.counters.count_refusal(messages.Reason.FENCED)
        return self._refuse("old fencing number")

    def _refuse(self, detail: str) -> messages.TargetOrderReply:
        min_fence = self._context.order_registry.highest_fence or 0
        highest = max(min_fence, self.highest_fence)
        return messages.TargetOrderReply(False, highest, detail)

    async def _send_to_target(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        state = self._context.state
        is_weights_load = order.kind is messages.TargetOrderKind.LOAD_WEIGHTS
        if is_weights_load:
            state.begin_weights_load(order.version)
        done = False
        try:
            reply = await target_order_exchange.TargetOrderExchange(
                self._context, order
            ).run()
            done = reply.done
        except targets_api.TargetError as error:
            return self._refuse(f"{error.reason}: {error}")
        finally:
            if is_weights_load:
                state.end_weights_load(done)
        if done:
            state.record_order_done(order)
        if done and is_weights_load:
            self._context.clear_cache_state()
        return reply


__all__ = ["TargetOrderExecutor"]
