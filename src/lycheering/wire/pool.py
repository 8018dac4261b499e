"""Connections made when first needed and closed when no longer used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.wire import client

if TYPE_CHECKING:
    from lycheering.wire import api


class ConnectionPool(app_api.Part):
    """The connections that this process makes.

    Attributes:
        connection_by_address: The connections open now.
    """

    def __init__(self, link: api.Link) -> None:
        self.connection_by_address: dict[api.Address, client.Connection] = {}
        self._link = link
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Begins to close connections that are no longer used."""
        self._tasks.spawn(self._close_idle(), "wire:pool")

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
            connection = client.Connection(address, self._link)
            self.connection_by_address[address] = connection
            connection.start()
        connection.last_used_ms = self._link.clock.now_ms()
        return connection

    def known(self, address: api.Address) -> client.Connection | None:
        """Returns the connection to an address if there is one."""
        return self.connection_by_address.get(address)

    async def _close_idle(self) -> None:
        idle_ms = self._link.settings.idle_close_ms
        while True:
            await self._link.clock.sleep(idle_ms / 4)
            now_ms = self._link.clock.now_ms()
            for address, connection in list(self.connection_by_address.items()):
                unused_ms = now_ms - connection.last_used_ms
                if unused_ms >= idle_ms and not connection.busy:
                    del self.connection_by_address[address]
                    await connection.close()


__all__ = ["ConnectionPool"]
