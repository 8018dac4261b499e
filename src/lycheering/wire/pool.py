"""Connections made when first needed and closed when no longer used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.wire import byte_budget as byte_budgets
from lycheering.wire import client
from lycheering.wire import sockets

if TYPE_CHECKING:
    from lycheering.wire import api

IDLE_CHECKS = 4  # in the time after which connections are closed


class ConnectionPool(app_api.Part):
    """The connections that this process makes.

    Attributes:
        connection_by_address: The connections open now.
    """

    def __init__(
        self,
        link: api.Link,
        budget: byte_budgets.ByteBudget | None = None,
    ) -> None:
        """Makes a pool without connections.

        Args:
            link: What connections of this process share.
            budget: What connections to agents may take besides requests, if
                that is bounded. They are then kept for longer.
        """
        self.connection_by_address: dict[api.Address, client.Connection] = {}
        self._link = link
        self._budget = budget
        self._met: set[str] = set()
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Begins to close connections that are no longer used."""
        self._tasks.spawn_with_restarts(self._close_idle, "wire:pool")

    async def stop(self) -> None:
        """Closes every connection."""
        await self._tasks.cancel_all()
        connections = list(self.connection_by_address.values())
        self.connection_by_address.clear()
        for connection in connections:
            await connection.close()

    def get(self, address: api.Address) -> client.Connection:
        """Returns the connection to an address, made on first use."""
        connection = self.connection_by_address.get(address)
        if connection is None:
            budget = None if address.is_control else self._budget
            connection = client.Connection(address, self._link, budget)
            self.connection_by_address[address] = connection
            self._charge(address)
            self._count()
            connection.start()
        connection.last_used_ms = self._link.clock.now_ms()
        return connection

    def known(self, address: api.Address) -> client.Connection | None:
        """Returns the connection to an address if there is one."""
        return self.connection_by_address.get(address)

    def _charge(self, address: api.Address) -> None:
        if self._budget is None or address.is_control:
            return
        # the first connection to each agent belongs to the start
        if address.name in self._met:
            self._budget.spend(1, byte_budgets.CONNECT_BYTES)
        self._met.add(address.name)

    async def _close_idle(self) -> None:
        while True:
            idle_ms = self._link.settings.idle_close_ms
            await self._link.clock.sleep(idle_ms / IDLE_CHECKS)
            await self.close_unneeded()

    async def close_unneeded(self) -> None:
        """Closes the connections that are idle for long or too many."""
        unneeded = self._unneeded()
        # none is handed out while others are being closed
        for connection in unneeded:
            del self.connection_by_address[connection.address]
        self._count()
        for connection in unneeded:
            await connection.close()

    def _unneeded(self) -> list[client.Connection]:
        """Returns the idle connections to close, those unused longest first."""
        now_ms = self._link.clock.now_ms()
        # one handed out just now may be used yet
        in_use_ms = self._link.settings.silence_ms
        idle = [
            connection
            for connection in self.connection_by_address.values()
            if not connection.busy
            and now_ms - connection.last_used_ms >= in_use_ms
        ]
        idle.sort(key=lambda connection: connection.last_used_ms)
        most = sockets.most_connections()
        surplus = max(0, len(self.connection_by_address) - most)
        return [
            connection
            for place, connection in enumerate(idle)
            if place < surplus
            or now_ms - connection.last_used_ms >= self._idle_ms(connection)
        ]

    def _idle_ms(self, connection: client.Connection) -> float:
        settings = self._link.settings
        if self._budget is None or connection.address.is_control:
            return settings.idle_close_ms
        return max(settings.idle_close_ms, settings.agent_idle_close_ms)

    def _count(self) -> None:
        if self._budget is not None:
            self._budget.connections = sum(
                not address.is_control for address in self.connection_by_address
            )


__all__ = ["ConnectionPool"]
