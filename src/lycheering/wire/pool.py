"""A pool that opens connections on first use and closes idle ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.wire import byte_budget as byte_budgets
from lycheering.wire import client
from lycheering.wire import sockets

if TYPE_CHECKING:
    from lycheering.wire import api

IDLE_CHECKS_PER_PERIOD = 4  # checks in each idle_close_ms


class ConnectionPool(app_api.Part):
    """The connections that this process opens to peers.

    Attributes:
        connection_by_address: The open connections.
    """

    def __init__(
        self,
        link: api.Link,
        budget: byte_budgets.ByteBudget | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            link: The state shared by all connections of the process.
            budget: The byte budget for traffic to agents other than
                requests; None if it is not limited. With a budget,
                connections to agents stay open for longer.
        """
        self.connection_by_address: dict[api.Address, client.Connection] = {}
        self._link = link
        self._budget = budget
        self._contacted_agents: set[str] = set()
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts the task that closes idle connections."""
        self._tasks.spawn_with_restarts(self._close_idle, "wire:pool")

    async def stop(self) -> None:
        """Closes all connections."""
        await self._tasks.cancel_all()
        connections = list(self.connection_by_address.values())
        self.connection_by_address.clear()
        for connection in connections:
            await connection.close()

    def get(self, address: api.Address) -> client.Connection:
        """Returns the connection to an address; opens it on first use."""
        connection = self.connection_by_address.get(address)
        if connection is None:
            budget = None if address.is_control else self._budget
            connection = client.Connection(address, self._link, budget)
            self.connection_by_address[address] = connection
            self._charge_reconnect(address)
            self._update_connection_count()
            connection.start()
        connection.last_used_ms = self._link.clock.now_ms()
        return connection

    def find(self, address: api.Address) -> client.Connection | None:
        """Returns the connection to an address, or None if none is open."""
        return self.connection_by_address.get(address)

    def _charge_reconnect(self, address: api.Address) -> None:
        if self._budget is None or address.is_control:
            return
        # the first connection to each agent is part of start-up, not charged
        if address.name in self._contacted_agents:
            self._budget.spend(1, byte_budgets.CONNECT_BYTES)
        self._contacted_agents.add(address.name)

    async def _close_idle(self) -> None:
        while True:
            idle_ms = self._link.settings.idle_close_ms
            await self._link.clock.sleep(idle_ms / IDLE_CHECKS_PER_PERIOD)
            await self.close_surplus_and_idle()

    async def close_surplus_and_idle(self) -> None:
        """Closes connections idle for too long or above the maximum number."""
        unneeded = self._find_unneeded()
        # remove all before the first await, so that get() returns none of them
        for connection in unneeded:
            del self.connection_by_address[connection.address]
        self._update_connection_count()
        for connection in unneeded:
            await connection.close()

    def _find_unneeded(self) -> list[client.Connection]:
        """Returns the idle connections to close, least recently used first."""
        now_ms = self._link.clock.now_ms()
        # a caller that has just got a connection may not have used it yet
        min_unused_ms = self._link.settings.silence_ms
        idle = [
            connection
            for connection in self.connection_by_address.values()
            if not connection.is_busy
            and now_ms - connection.last_used_ms >= min_unused_ms
        ]
        idle.sort(key=lambda connection: connection.last_used_ms)
        max_connections = sockets.max_connections()
        surplus = max(0, len(self.connection_by_address) - max_connections)
        return [
            connection
            for index, connection in enumerate(idle)
            if index < surplus
            or now_ms - connection.last_used_ms
            >= self._idle_limit_ms(connection)
        ]

    def _idle_limit_ms(self, connection: client.Connection) -> float:
        settings = self._link.settings
        if self._budget is None or connection.address.is_control:
            return settings.idle_close_ms
        return max(settings.idle_close_ms, settings.agent_idle_close_ms)

    def _update_connection_count(self) -> None:
        if self._budget is not None:
            self._budget.connection_count = sum(
                not address.is_control for address in self.connection_by_address
            )


__all__ = ["ConnectionPool"]
