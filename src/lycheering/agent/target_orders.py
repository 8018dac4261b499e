"""Carries control's orders out at the target, never older ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts
    from lycheering.wire import server

_LOG = logs.get("target_orders")


class TargetOrderDesk:
    """Lets one target order through at a time.

    Attributes:
        highest_fence: The highest fencing number seen in an order.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.highest_fence = 0
        self._context = context
        self._lock = asyncio.Lock()

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
        """Carries an order out unless its fencing number is too low."""
        async with self._lock:
            floor = self._context.desk.highest_fence
            if floor is None:
                return self._refuse("the agent has not registered")
            if order.fence < max(floor, self.highest_fence):
                self._context.counters.refusal(messages.Reason.FENCED)
                return self._refuse("old fencing number")
            self.highest_fence = order.fence
            return await self._pass_on(order)

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
            reply = await self._context.driver.give_order(order)
            done = reply.done
        except targets_api.TargetError as error:
            return self._refuse(f"{error.reason}: {error}")
        finally:
            if loads:
                state.load_ended(done)
        if done:
            state.order_done(order)
        return reply


__all__ = ["TargetOrderDesk"]
