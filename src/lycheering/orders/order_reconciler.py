"""Settles claimed orders whose outcome was not reported."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.orders import api
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering import clock
    from lycheering.orders import records
    from lycheering.telemetry import counters

SWEEP_INTERVAL_MS = 500
# minimum age of claims that the sweep inquires about
MIN_SWEEP_AGE_MS = 5_000
# minimum age of claims that a caller's look-up inquires about
MIN_LOOKUP_AGE_MS = 300
# has to be shorter than an entry's timeout for one attempt of a call
LOOKUP_TIMEOUT_MS = 600
# age of a claim after which the order of a silent agent becomes unknown
SILENT_LIMIT_MS = 120_000
RETRY_MS = 2_000
MAX_RETRY_MS = 30_000
MAX_OPEN_INQUIRIES = 32

_LOG = logs.get("orders")


@dataclasses.dataclass
class _Backoff:
    """The back-off of the inquiries about an order.

    Attributes:
        next_ms: When the next inquiry is due.
        pause_ms: The pause after the next inquiry.
    """

    next_ms: float
    pause_ms: float


class OrderReconciler(app_api.Part):
    """Inquires about claimed orders that have no committed outcome.

    Inquiries continue, with back-off, for orders that became unknown because
    their agent was silent: a late answer of the agent still settles them.
    """

    def __init__(
        self,
        order_ledger: api.OrderLedger,
        inquirer: api.AgentInquirer,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._ledger = order_ledger
        self._inquirer = inquirer
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._inquiry_slots = asyncio.Semaphore(MAX_OPEN_INQUIRIES)
        self._backoff_by_id: dict[str, _Backoff] = {}
        self._ids_in_inquiry: set[str] = set()

    async def start(self) -> None:
        """Starts the periodic sweep."""
        self._tasks.spawn_with_restarts(self._run, "orders:in-doubt")

    async def stop(self) -> None:
        """Stops the sweep and all inquiries."""
        await self._tasks.cancel_all()

    async def settle(self, order: records.Order) -> None:
        """Tries to settle an order that a caller looks up.

        Does nothing unless the order has been claimed for some time. The wait
        for the agent is short; an inquiry that takes longer continues, and its
        result is available when the caller looks the order up again.

        Args:
            order: The current record of the order in the ledger.
        """
        age_ms = self._ledger.wall_ms() - order.claimed_ms
        if order.state == messages.OrderState.CLAIMED and (
            age_ms >= MIN_LOOKUP_AGE_MS
        ):
            await self._inquire_with_timeout(order)

    async def _inquire_with_timeout(self, order: records.Order) -> None:
        finished = asyncio.Event()

        async def inquire() -> None:
            await self._inquire(order)
            finished.set()

        self._tasks.spawn(inquire(), f"orders:{order.order_id}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOKUP_TIMEOUT_MS / 1_000):
                await finished.wait()

    async def sweep(self) -> None:
        """Inquires once about each order that is due."""
        due = list(self._due_orders())
        await asyncio.gather(*(self._inquire(order) for order in due))

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_MS)
            if not self._ledger.is_leader():
                self._backoff_by_id.clear()
                continue
            await self.sweep()
            # fails if leadership was lost; the next leader then expires orders
            with contextlib.suppress(Exception):
                await self._ledger.expire()

    def _due_orders(self) -> Iterator[records.Order]:
        wall_ms = self._ledger.wall_ms()
        now_ms = self._clock.now_ms()
        open_order_ids = set()
        due_count = 0
        for order in self._ledger.open_orders():
            open_order_ids.add(order.order_id)
            is_young = wall_ms - order.claimed_ms < MIN_SWEEP_AGE_MS
            backoff = self._backoff_by_id.get(order.order_id)
            is_backing_off = backoff is not None and now_ms < backoff.next_ms
            if is_young or is_backing_off or not self._may_inquire(order):
                continue
            if due_count < MAX_OPEN_INQUIRIES:
                due_count += 1
                yield order
        for order_id in list(self._backoff_by_id):
            if order_id not in open_order_ids:
                del self._backoff_by_id[order_id]

    def _may_inquire(self, order: records.Order) -> bool:
        if order.order_id in self._ids_in_inquiry:
            return False
        if order.state == messages.OrderState.CLAIMED:
            return True
        is_silent = order.reason == messages.Reason.SILENT
        return is_silent and self._ledger.are_inquiries_enabled()

    async def _inquire(self, order: records.Order) -> None:
        if order.order_id in self._ids_in_inquiry:
            return
        self._ids_in_inquiry.add(order.order_id)
        try:
            async with self._inquiry_slots:
                await self._settle_by_inquiry(order)
        except Exception as error:
            # the ledger could not be changed; the order is left as it is
            _LOG.warning(
                "inquiry_failed", order_id=order.order_id, error=repr(error)
            )
        finally:
            self._ids_in_inquiry.discard(order.order_id)

    async def _settle_by_inquiry(self, order: records.Order) -> None:
        self._schedule_next_inquiry(order)
        if not self._ledger.are_inquiries_enabled():
            await self._mark_unknown(order, "not asked")
            return
        try:
            reply = await self._inquirer.inquire(order)
        except api.AgentGoneError as error:
            await self._mark_unknown(order, str(error))
            return
        except api.AgentAbsentError:
            # inquiries continue, as the agent may only be unreachable
            await self._mark_unknown(order, messages.Reason.SILENT)
            return
        except api.AgentSilentError:
            await self._handle_silent_agent(order)
            return
        await self._apply_reply(order, reply)

    async def _apply_reply(
        self, order: records.Order, reply: messages.OrderInquiryReply
    ) -> None:
        self._counters.increment(f"orders.inquiry.{reply.result}")
        match reply.result:
            case messages.InquiryResult.NEVER_RECEIVED:
                await self._ledger.release(order.order_id, "never received")
            case messages.InquiryResult.DONE:
                if reply.outcome is not None:
                    await self._ledger.finish(order.order_id, reply.outcome)
                else:
                    await self._mark_unknown(order, "answer not kept")
            case messages.InquiryResult.UNKNOWN:
                await self._mark_unknown(order, "agent can't tell")
            case messages.InquiryResult.RUNNING:
                return
        _LOG.event(
            "order_inquiry_answered",
            order_id=order.order_id,
            result=reply.result,
        )

    async def _handle_silent_agent(self, order: records.Order) -> None:
        self._counters.increment("orders.inquiry.silent")
        age_ms = self._ledger.wall_ms() - order.claimed_ms
        if age_ms >= SILENT_LIMIT_MS:
            await self._mark_unknown(order, messages.Reason.SILENT)

    async def _mark_unknown(self, order: records.Order, reason: str) -> None:
        if order.state == messages.OrderState.UNKNOWN:
            return
        await self._ledger.mark_unknown(order.order_id, reason)
        self._counters.increment("orders.unknown")
        _LOG.warning("order_unknown", order_id=order.order_id, reason=reason)

    def _schedule_next_inquiry(self, order: records.Order) -> None:
        backoff = self._backoff_by_id.get(order.order_id)
        pause_ms: float = RETRY_MS if backoff is None else backoff.pause_ms
        self._backoff_by_id[order.order_id] = _Backoff(
            self._clock.now_ms() + pause_ms,
            min(MAX_RETRY_MS, pause_ms * 2),
        )


__all__ = [
    "LOOKUP_TIMEOUT_MS",
    "MAX_OPEN_INQUIRIES",
    "MIN_LOOKUP_AGE_MS",
    "MIN_SWEEP_AGE_MS",
    "SILENT_LIMIT_MS",
    "SWEEP_INTERVAL_MS",
    "OrderReconciler",
]
