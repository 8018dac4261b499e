"""Carries control's orders out at the target, never older ones."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.agent import order_watch
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.wire import server

_LOG = logs.get("target_orders")


@dataclasses.dataclass(frozen=True)
class _Given:
    """The order that was let through last.

    Attributes:
        order: The order.
        reply: What became of it.
    """

    order: messages.TargetOrder
    reply: asyncio.Future[messages.TargetOrderReply]


class TargetOrderDesk:
    """Lets one target order through at a time, and each only once.

    Attributes:
        highest_fence: The highest fencing number seen in an order.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.highest_fence = 0
        self._context = context
        self._lock = asyncio.Lock()
        self._last: _Given | None = None

    async def carry_out(
        self,
        session: server.Session,
        call_id: int,
        order: messages.TargetOrder,
    ) -> None:
        """Carries an order out and answers it."""
        reply = await self.give(order)
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

    async def give(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        """Carries an order out unless its fencing number is too low.

        An order that is sent again gets the reply of its first time.
        """
        floor = self._context.desk.highest_fence
        if floor is None:
            return self._refuse("the agent has not registered")
        if order.fence < max(floor, self.highest_fence):
            return self._refuse_old()
        if self._last is not None and order == self._last.order:
            return await asyncio.shield(self._last.reply)
        self.highest_fence = order.fence
        given = _Given(order, asyncio.get_running_loop().create_future())
        self._last = given
        try:
            reply = await self._carry_out(order)
        except BaseException:
            given.reply.cancel()
            raise
        given.reply.set_result(reply)
        return reply

    async def _carry_out(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        # the order before ends in bounded time, as its watch sees to that
        async with self._lock:
            if order.fence < self.highest_fence:
                return self._refuse_old()
            if self._context.state.has(order):
                # two leaders around a hand-over may both ask for it
                return messages.TargetOrderReply(
                    True, order.fence, "in force before"
                )
            return await self._pass_on(order)

    def _refuse_old(self) -> messages.TargetOrderReply:
        self._context.counters.refusal(messages.Reason.FENCED)
        return self._refuse("old fencing number")

    def _refuse(self, detail: str) -> messages.TargetOrderReply:
        floor = self._context.desk.highest_fence or 0
        highest = max(floor, self.highest_fence)
        return messages.TargetOrderReply(False, highest, detail)

    async def _pass_on(
        self, order: messages.TargetOrder
    ) -> messages.TargetOrderReply:
        state = self._context.state
        loads = order.kind is messages.TargetOrderKind.LOAD_WEIGHTS
        if loads:
            state.load_began(order.version)
        done = False
        try:
            reply = await order_watch.OrderWatch(self._context, order).run()
            done = reply.done
        except targets_api.TargetError as error:
            return self._refuse(f"{error.reason}: {error}")
        finally:
            if loads:
                state.load_ended(done)
        if done:
            state.order_done(order)
        if done and loads:
            self._context.weights_replaced()
        return reply


__all__ = ["TargetOrderDesk"]
