"""Loads weights and adapters and changes roles on order."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from blacksheep import client

    from standins.engine import cache
    from standins.engine import messages

KINDS = frozenset({"load_weights", "load_adapter", "set_role"})


@dataclasses.dataclass
class OrderState:
    """What orders have changed.

    Attributes:
        model: Name of the model.
        adapters: Names of the loaded adapters.
        role: The current role.
        highest_fence: The highest fencing number seen.
        loading: The weights or adapter being loaded; empty for nothing.
    """

    model: str
    adapters: list[str] = dataclasses.field(default_factory=list)
    role: str = "mixed"
    highest_fence: int = 0
    loading: str = ""


class OrderDesk:
    """Carries out one order after the other.

    Attributes:
        state: What orders have changed.
        prefix_cache: The cache to be cleared by new weights.
        weight_store: URL of the weight store, if any.
        check_fencing: Whether old fencing numbers are refused.
        record: Every order since the start.
    """

    def __init__(
        self,
        state: OrderState,
        prefix_cache: cache.PrefixCache,
        weight_store: str,
        check_fencing: bool,
    ) -> None:
        self.state = state
        self.prefix_cache = prefix_cache
        self.weight_store = weight_store
        self.check_fencing = check_fencing
        self.record: list[messages.Order] = []
        self._lock = asyncio.Lock()

    async def carry_out(
        self, order: messages.Order, session: client.ClientSession
    ) -> bool:
        """Carries out an order, unless its fencing number is too old.

        Args:
            order: The order.
            session: The client for the weight store.

        Returns:
            Whether the order was carried out.
        """
        order.outcome = "running"
        self.record.append(order)
        async with self._lock:
            if self._is_outdated(order):
                order.outcome = "refused"
                return False
            self.state.highest_fence = max(
                self.state.highest_fence, order.fence
            )
            try:
                await self._apply(order, session)
            except BaseException:
                order.outcome = "failed"
                raise
            order.outcome = "done"
            return True

    def _is_outdated(self, order: messages.Order) -> bool:
        return self.check_fencing and order.fence < self.state.highest_fence

    async def _apply(
        self, order: messages.Order, session: client.ClientSession
    ) -> None:
        if order.kind == "set_role":
            self.state.role = order.role
            return
        self.state.loading = order.adapter or order.version
        try:
            await self._fetch(order, session)
        finally:
            self.state.loading = ""
        if order.kind == "load_adapter":
            if order.adapter not in self.state.adapters:
                self.state.adapters.append(order.adapter)
            return
        self.state.model = order.model or self.state.model
        self.prefix_cache.clear(order.version)

    async def _fetch(
        self, order: messages.Order, session: client.ClientSession
    ) -> None:
        if not self.weight_store:
            return
        name = order.adapter or order.model or self.state.model
        version = order.version or "0"
        url = f"{self.weight_store}/weights/{name}/{version}"
        response = await session.get(url)
        if response is None or response.status != 200:
            raise OSError(f"the weight store has no {name} {version}")
        await response.read()


__all__ = ["KINDS", "OrderDesk", "OrderState"]
