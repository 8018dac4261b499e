"""Settles claims that nobody reports the outcome of."""

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
SWEEP_AGE_MS = 5_000
LOOKUP_AGE_MS = 300
LOOKUP_WAIT_MS = 600  # less than an entry waits for one try of a call
SILENT_LIMIT_MS = 120_000
RETRY_MS = 2_000
MAX_RETRY_MS = 30_000
MAX_OPEN_INQUIRIES = 32

_LOG = logs.get("orders")


@dataclasses.dataclass
class _Backoff:
    """When an order is asked for next.

    Attributes:
        next_ms: When it is due.
        pause_ms: The pause after the next try.
    """

    next_ms: float
    pause_ms: float


class InDoubtTask(app_api.Part):
    """Asks agents back for claims whose outcome nobody committed.

    Orders that are unknown because their agent was silent are asked for
    again too, at a slower pace: its word is as good then as before.
    """

    def __init__(
        self,
        book: api.OrderBook,
        inquirer: api.AgentInquirer,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._book = book
        self._inquirer = inquirer
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._inquiries = asyncio.Semaphore(MAX_OPEN_INQUIRIES)
        self._backoff_by_id: dict[str, _Backoff] = {}
        self._asking: set[str] = set()

    async def start(self) -> None:
        """Begins to look for claims in doubt."""
        self._tasks.spawn_lasting(self._run, "orders:in-doubt")

    async def stop(self) -> None:
        """Ends all inquiries."""
        await self._tasks.cancel_all()

    async def settle(self, order: records.Order) -> None:
        """Settles an order that a caller asks for, if it is in doubt.

        An agent that is slow to answer is not waited for; the inquiry goes
        on, and its result is there when the caller asks again.

        Args:
            order: The order, as the ledger has it now.
        """
        age_ms = self._book.wall_ms() - order.claimed_ms
        if order.state == messages.OrderState.CLAIMED and (
            age_ms >= LOOKUP_AGE_MS
        ):
            await self._inquire_briefly(order)

    async def _inquire_briefly(self, order: records.Order) -> None:
        ended = asyncio.Event()

        async def inquire() -> None:
            await self._inquire(order)
            ended.set()

        self._tasks.spawn(inquire(), f"orders:{order.order_id}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOKUP_WAIT_MS / 1_000):
                await ended.wait()

    async def sweep(self) -> None:
        """Inquires once for each order that is due."""
        due = list(self._due_orders())
        await asyncio.gather(*(self._inquire(order) for order in due))

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_MS)
            if not self._book.is_leader():
                self._backoff_by_id.clear()
                continue
            await self.sweep()
            # fails when leadership is lost; the next leader goes on
            with contextlib.suppress(Exception):
                await self._book.expire()

    def _due_orders(self) -> Iterator[records.Order]:
        wall_ms = self._book.wall_ms()
        now_ms = self._clock.now_ms()
        open_ids = set()
        found = 0
        for order in self._book.open_orders():
            open_ids.add(order.order_id)
            is_young = wall_ms - order.claimed_ms < SWEEP_AGE_MS
            backoff = self._backoff_by_id.get(order.order_id)
            is_early = backoff is not None and now_ms < backoff.next_ms
            if is_young or is_early or not self._may_ask(order):
                continue
            if found < MAX_OPEN_INQUIRIES:
                found += 1
                yield order
        for order_id in list(self._backoff_by_id):
            if order_id not in open_ids:
                del self._backoff_by_id[order_id]

    def _may_ask(self, order: records.Order) -> bool:
        if order.order_id in self._asking:
            return False
        if order.state == messages.OrderState.CLAIMED:
            return True
        is_silent = order.reason == messages.Reason.SILENT
        return is_silent and self._book.asks_back()

    async def _inquire(self, order: records.Order) -> None:
        if order.order_id in self._asking:
            return
        self._asking.add(order.order_id)
        try:
            async with self._inquiries:
                await self._settle(order)
        except Exception as error:
            # the ledger could not be changed now; the order stays as it is
            _LOG.warning(
                "inquiry_failed", order_id=order.order_id, error=repr(error)
            )
        finally:
            self._asking.discard(order.order_id)

    async def _settle(self, order: records.Order) -> None:
        self._postpone(order)
        if not self._book.asks_back():
            await self._mark_unknown(order, "not asked")
            return
        try:
            reply = await self._inquirer.ask(order)
        except api.AgentGoneError as error:
            await self._mark_unknown(order, str(error))
            return
        except api.AgentAbsentError:
            # asked on, as it may have been cut off only
            await self._mark_unknown(order, messages.Reason.SILENT)
            return
        except api.AgentSilentError:
            await self._agent_silent(order)
            return
        await self._take(order, reply)

    async def _take(
        self, order: records.Order, reply: messages.OrderInquiryReply
    ) -> None:
        self._counters.increment(f"orders.inquiry.{reply.result}")
        match reply.result:
            case messages.InquiryResult.NEVER_RECEIVED:
                await self._book.release(order.order_id, "never received")
            case messages.InquiryResult.DONE:
                if reply.outcome is not None:
                    await self._book.finish(order.order_id, reply.outcome)
                else:
                    await self._mark_unknown(order, "answer not kept")
            case messages.InquiryResult.UNKNOWN:
                await self._mark_unknown(order, "agent can't tell")
            case messages.InquiryResult.RUNNING:
                return
        _LOG.event(
            "order_asked_back", order_id=order.order_id, result=reply.result
        )

    async def _agent_silent(self, order: records.Order) -> None:
        self._counters.increment("orders.inquiry.silent")
        age_ms = self._book.wall_ms() - order.claimed_ms
        if age_ms >= SILENT_LIMIT_MS:
            await self._mark_unknown(order, messages.Reason.SILENT)

    async def _mark_unknown(self, order: records.Order, reason: str) -> None:
        if order.state == messages.OrderState.UNKNOWN:
            return
        await self._book.mark_unknown(order.order_id, reason)
        self._counters.increment("orders.unknown")
        _LOG.warning("order_unknown", order_id=order.order_id, reason=reason)

    def _postpone(self, order: records.Order) -> None:
        before = self._backoff_by_id.get(order.order_id)
        pause_ms: float = RETRY_MS if before is None else before.pause_ms
        self._backoff_by_id[order.order_id] = _Backoff(
            self._clock.now_ms() + pause_ms,
            min(MAX_RETRY_MS, pause_ms * 2),
        )


__all__ = [
    "LOOKUP_AGE_MS",
    "LOOKUP_WAIT_MS",
    "MAX_OPEN_INQUIRIES",
    "SILENT_LIMIT_MS",
    "SWEEP_AGE_MS",
    "SWEEP_INTERVAL_MS",
    "InDoubtTask",
]
