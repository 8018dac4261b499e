"""Sends a target order, and probes the target if no reply arrives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from lycheering.targets import api as targets_api
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.agent import context as contexts

MAX_FAILED_PROBES = 3
# a load report counts as evidence about an order only if it was sampled at
# least this share of the silence timeout after the order was sent; an earlier
# one may not show the order yet
MIN_SAMPLE_DELAY_SHARE = 0.5

_LOG = logs.get("target_orders")


class LostOrderError(targets_api.BrokenAnswerError):
    """The target neither has nor loads what the order asks for."""

    reason = messages.Reason.SILENT


class ObservedTarget(Protocol):
    """The part of a target's state that orders change."""

    @property
    def weights_version(self) -> str:
        """The version of the weights that it serves."""

    @property
    def adapters(self) -> tuple[str, ...]:
        """The adapters that it has loaded."""

    @property
    def role(self) -> str:
        """Its role."""


def satisfies(target: ObservedTarget, order: messages.TargetOrder) -> bool:
    """Returns whether a target has what an order asks for.

    The target must not be loading anything.
    """
    match order.kind:
        case messages.TargetOrderKind.LOAD_WEIGHTS:
            return target.weights_version == order.version
        case messages.TargetOrderKind.LOAD_ADAPTER:
            return order.adapter in target.adapters
        case messages.TargetOrderKind.SET_ROLE:
            return target.role == order.role


class TargetOrderExchange:
    """Sends one order to the target and monitors the exchange.

    The reply arrives only after the order was carried out, so a silent
    exchange is either a long load or a dead connection. A probe on a new
    connection finds out which.
    """

    def __init__(
        self, context: contexts.Context, order: messages.TargetOrder
    ) -> None:
        self._driver = context.driver
        self._clock = context.clock
        self._counters = context.counters
        self._silence_ms = context.wire.silence_ms
        self._order = order
        self._sent_ms = 0.0
        self._failed_probes = 0

    async def run(self) -> messages.TargetOrderReply:
        """Returns the target's reply, or a reply made from a probe.

        Raises:
            NotSentError: If no byte of the order was sent.
            BrokenAnswerError: If the order may have been carried out.
            LostOrderError: If a probe shows that the order did not arrive.
        """
        self._sent_ms = self._clock.now_ms()
        exchange = asyncio.create_task(
            self._driver.send_order(self._order), name="agent:order_exchange"
        )
        try:
            while not await self._wait_for_reply(exchange):
                self._counters.count_retry("target_order_silent")
                if await self._check_carried_out():
                    return messages.TargetOrderReply(
                        True, self._order.fence, "seen on a new connection"
                    )
            return exchange.result()
        finally:
            await self._cancel(exchange)

    async def _wait_for_reply(
        self, exchange: asyncio.Task[messages.TargetOrderReply]
    ) -> bool:
        done, _ = await asyncio.wait(
            [exchange], timeout=self._silence_ms / 1_000
        )
        return bool(done)

    async def _cancel(
        self, exchange: asyncio.Task[messages.TargetOrderReply]
    ) -> None:
        exchange.cancel()
        await asyncio.gather(exchange, return_exceptions=True)

    async def _check_carried_out(self) -> bool:
        try:
            load = await self._driver.fetch_load()
        except targets_api.TargetError as error:
            self._failed_probes += 1
            if self._failed_probes >= MAX_FAILED_PROBES:
                raise
            _LOG.warning("target_order_probe_failed", error=repr(error))
            return False
        self._failed_probes = 0
        if self._is_order_lost(load):
            raise LostOrderError("the target does not know of the order")
        if load.loading or not self._is_sampled_after_sending(load):
            return False
        return satisfies(load, self._order)

    def _is_order_lost(self, load: targets_api.EngineLoadReport) -> bool:
        """Returns whether a load report shows that the order was lost.

        A target that does not report what it loads may be carrying the order
        out.
        """
        if load.loading is None or load.loading:
            return False
        return self._is_sampled_after_sending(load) and not satisfies(
            load, self._order
        )

    def _is_sampled_after_sending(
        self, load: targets_api.EngineLoadReport
    ) -> bool:
        sampled_ms = self._clock.now_ms() - load.age_ms
        return (
            sampled_ms
            >= self._sent_ms + self._silence_ms * MIN_SAMPLE_DELAY_SHARE
        )


__all__ = [
    "LostOrderError",
    "TargetOrderExchange",
    "ObservedTarget",
    "satisfies",
]
