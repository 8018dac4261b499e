"""Finds out what became of a target order whose exchange is silent."""

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
# a load report this much younger than the order would show it, as a share
# of the silence after which the target is asked
MIN_SAMPLE_DELAY_SHARE = 0.5

_LOG = logs.get("target_orders")


class LostOrderError(targets_api.BrokenAnswerError):
    """The target neither has nor loads what it was ordered to."""

    reason = messages.Reason.SILENT


class ObservedTarget(Protocol):
    """What a target is known to have."""

    @property
    def weights_version(self) -> str:
        """The weights it serves."""

    @property
    def adapters(self) -> tuple[str, ...]:
        """The adapters it holds."""

    @property
    def role(self) -> str:
        """Its role."""


def satisfies(target: ObservedTarget, order: messages.TargetOrder) -> bool:
    """Returns whether a target that loads nothing has what is ordered."""
    match order.kind:
        case messages.TargetOrderKind.LOAD_WEIGHTS:
            return target.weights_version == order.version
        case messages.TargetOrderKind.LOAD_ADAPTER:
            return order.adapter in target.adapters
        case messages.TargetOrderKind.SET_ROLE:
            return target.role == order.role


class TargetOrderExchange:
    """Hands one order to the target and watches over the exchange.

    An answer comes only once the order is carried out, so that a silent
    exchange may be a long load or a dead connection. The target is asked
    on a new connection which of the two it is.
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
        """Returns the target's answer, or what it shows to have.

        Raises:
            NotSentError: If no byte of the order left.
            BrokenAnswerError: If it may have been carried out.
        """
        self._sent_ms = self._clock.now_ms()
        exchange = asyncio.create_task(
            self._driver.give_order(self._order), name="agent:order_exchange"
        )
        try:
            while not await self._wait_for_reply(exchange):
                self._counters.retry("target_order_silent")
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
            load = await self._driver.load()
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

    def _is_order_lost(self, load: targets_api.TargetLoad) -> bool:
        """Whether the target shows that the order did not reach it.

        One that does not tell what it loads may be loading it.
        """
        if load.loading is None or load.loading:
            return False
        return self._is_sampled_after_sending(load) and not satisfies(
            load, self._order
        )

    def _is_sampled_after_sending(self, load: targets_api.TargetLoad) -> bool:
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
