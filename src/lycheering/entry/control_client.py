"""Talks to the control instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import homes
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.fleet import holder
    from lycheering.settings import model
    from lycheering.wire import api as wire_api
    from lycheering.wire import pool as wire_pool

POLL_MS = 200
FIRST_VIEW_POLL_MS = 10
UNREACHABLE_MS = 3_000
CALL_TRY_MS = 1_000
FIRST_PAUSE_MS = 20.0
MAX_PAUSE_MS = 300.0

_LOG = logs.get("control_client")
_ELSEWHERE = frozenset(
    {
        messages.Reason.NOT_LEADER,
        messages.Reason.NO_QUORUM,
        messages.Reason.DRAINING,
        messages.Reason.EXPIRED,
    }
)


class ControlUnavailableError(Exception):
    """No control instance answered; the call may have been acted on."""


class ControlClient(app_api.Part):
    """One connection for view updates, and calls to the leader.

    Attributes:
        last_contact_ms: When settings were last known to be current.
    """

    def __init__(
        self,
        members: Iterable[model.PeerAddress],
        link: wire_api.Link,
        connections: wire_pool.ConnectionPool,
        view: holder.ViewHolder,
    ) -> None:
        self.last_contact_ms = link.clock.now_ms()
        self._home = homes.ControlHome(members, link.identity.name, link.clock)
        self._link = link
        self._connections = connections
        self._leader = ""
        self._view = view
        self._tasks = app_api.TaskOwner()
        view.listen(self._view_changed)

    async def start(self) -> None:
        """Begins to follow a control instance."""
        self._tasks.spawn_lasting(self._follow, "control_client")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    def _view_changed(self) -> None:
        self.last_contact_ms = self._link.clock.now_ms()

    async def _follow(self) -> None:
        clock = self._link.clock
        since_ms = clock.now_ms()
        while True:
            connection = self._connections.get(self._home.address)
            if connection.connected:
                since_ms = clock.now_ms()
                self.last_contact_ms = since_ms
            elif clock.now_ms() - since_ms > UNREACHABLE_MS:
                self._home.move_on()
                since_ms = clock.now_ms()
                self._link.counters.increment("control.replaced")
                _LOG.warning(
                    "control_replaced", instance=self._home.address.name
                )
            first = self._home.returning_to()
            if first is not None and self._connections.get(first).connected:
                self._home.go_back()
            await clock.sleep(POLL_MS * random.uniform(0.8, 1.2))

    def learn(self, members: Iterable[model.PeerAddress]) -> None:
        """Takes over which control instances there are."""
        self._home.learn(members)

    async def wait_current(self) -> None:
        """Returns once the view here is as new as a control instance's."""
        while not any(self._has_view_of(a) for a in self._home.addresses):
            await self._link.clock.sleep(FIRST_VIEW_POLL_MS)

    def _has_view_of(self, address: wire_api.Address) -> bool:
        connection = self._connections.known(address)
        if connection is None or not connection.connected:
            return False
        return 0 < connection.peer_revision <= self._view.revision()

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Calls the leader, which may change meanwhile.

        The call may reach control more than once, so it must be one that
        control takes twice without harm.

        Args:
            message: The call.
            timeout_ms: Time for all tries together.

        Returns:
            The reply.

        Raises:
            ControlUnavailableError: If none came.
            CallFailedError: If control refused it.
        """
        clock = self._link.clock
        until_ms = clock.now_ms() + timeout_ms
        pause_ms = FIRST_PAUSE_MS
        last = "no control instance"
        while (left_ms := until_ms - clock.now_ms()) > 0:
            address = self._pick()
            try:
                return await self._connections.get(address).call(
                    message, min(CALL_TRY_MS, left_ms)
                )
            except errors.CallFailedError as error:
                if error.failure.reason not in _ELSEWHERE:
                    raise
                self._leader = error.failure.leader
                last = str(error)
            except (
                errors.CallTimeoutError,
                errors.PeerUnreachableError,
            ) as error:
                self._leader = ""
                last = f"{type(error).__name__}: {error}"
            if not self._leader:
                await clock.sleep(pause_ms * random.uniform(0.5, 1.5))
                pause_ms = min(MAX_PAUSE_MS, pause_ms * 2)
        raise ControlUnavailableError(last)

    def _pick(self) -> wire_api.Address:
        addresses = self._home.addresses
        for address in addresses:
            if address.name == self._leader:
                return address
        reachable = [a for a in addresses if self._connected(a)]
        # now and then another one, since a reachable one may be cut off
        if reachable and random.random() < 0.5:
            return random.choice(reachable)
        return random.choice(addresses)

    def _connected(self, address: wire_api.Address) -> bool:
        connection = self._connections.known(address)
        return isinstance(connection, client.Connection) and (
            connection.connected
        )


__all__ = ["ControlClient", "ControlUnavailableError"]
