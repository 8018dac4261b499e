"""A client for the control instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.wire import client
from lycheering.wire import control_selector
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.fleet import view_holder
    from lycheering.settings import model
    from lycheering.wire import api as wire_api
    from lycheering.wire import pool as wire_pool

POLL_INTERVAL_MS = 200
INITIAL_VIEW_POLL_MS = 10
UNREACHABLE_TIMEOUT_MS = 3_000
CALL_ATTEMPT_TIMEOUT_MS = 1_000
INITIAL_BACK_OFF_MS = 20.0
MAX_BACK_OFF_MS = 300.0

_LOG = logs.get("control_client")
_RETRYABLE_REASONS = frozenset(
    {
        messages.Reason.NOT_LEADER,
        messages.Reason.NO_QUORUM,
        messages.Reason.DRAINING,
        messages.Reason.EXPIRED,
    }
)


class ControlUnavailableError(Exception):
    """No control instance replied; the call may have taken effect."""


class ControlClient(app_api.Part):
    """Receives view updates from one control instance and calls the leader.

    Attributes:
        last_contact_ms: When the settings were last known to be current.
    """

    def __init__(
        self,
        members: Iterable[model.PeerAddress],
        link: wire_api.Link,
        connections: wire_pool.ConnectionPool,
        view: view_holder.ViewHolder,
    ) -> None:
        self.last_contact_ms = link.clock.now_ms()
        self._control_selector = control_selector.ControlSelector(
            members, link.identity.name, link.clock
        )
        self._link = link
        self._connections = connections
        self._leader = ""
        self._view = view
        self._tasks = app_api.TaskOwner()
        view.listen(self._view_changed)

    async def start(self) -> None:
        """Starts to follow a control instance."""
        self._tasks.spawn_with_restarts(self._follow, "control_client")

    async def stop(self) -> None:
        """Stops following the control instance."""
        await self._tasks.cancel_all()

    def _view_changed(self) -> None:
        self.last_contact_ms = self._link.clock.now_ms()

    async def _follow(self) -> None:
        clock = self._link.clock
        connecting_since_ms = clock.now_ms()
        while True:
            connection = self._connections.get(self._control_selector.address)
            if connection.is_connected:
                connecting_since_ms = clock.now_ms()
                self.last_contact_ms = connecting_since_ms
            elif clock.now_ms() - connecting_since_ms > UNREACHABLE_TIMEOUT_MS:
                self._control_selector.select_next()
                connecting_since_ms = clock.now_ms()
                self._link.counters.increment("control.replaced")
                _LOG.warning(
                    "control_replaced",
                    instance=self._control_selector.address.name,
                )
            preferred = self._control_selector.find_return_address()
            if (
                preferred is not None
                and self._connections.get(preferred).is_connected
            ):
                self._control_selector.select_preferred()
            await clock.sleep(POLL_INTERVAL_MS * random.uniform(0.8, 1.2))

    def set_members(self, members: Iterable[model.PeerAddress]) -> None:
        """Sets the addresses of the control instances."""
        self._control_selector.update_members(members)

    async def wait_current(self) -> None:
        """Waits until the local view is as new as a control instance's."""
        while not any(
            self._has_view_of(a) for a in self._control_selector.addresses
        ):
            await self._link.clock.sleep(INITIAL_VIEW_POLL_MS)

    def _has_view_of(self, address: wire_api.Address) -> bool:
        connection = self._connections.find(address)
        if connection is None or not connection.is_connected:
            return False
        return 0 < connection.peer_revision <= self._view.revision()

    async def call(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Calls the leader, with retries on other control instances.

        The call may reach the control instances more than once, so it must be
        idempotent.

        Args:
            message: The call.
            timeout_ms: Time limit for all attempts together.

        Returns:
            The reply.

        Raises:
            ControlUnavailableError: If no reply arrives in time.
            CallFailedError: If control refuses the call.
        """
        clock = self._link.clock
        deadline_ms = clock.now_ms() + timeout_ms
        back_off_ms = INITIAL_BACK_OFF_MS
        last_error = "no control instance was called"
        while (left_ms := deadline_ms - clock.now_ms()) > 0:
            address = self._choose_address()
            try:
                reply = await self._connections.get(address).call(
                    message, min(CALL_ATTEMPT_TIMEOUT_MS, left_ms)
                )
            except errors.CallFailedError as error:
                if error.failure.reason not in _RETRYABLE_REASONS:
                    raise
                self._leader = error.failure.leader
                last_error = str(error)
            except (
                errors.CallTimeoutError,
                errors.PeerUnreachableError,
            ) as error:
                self._leader = ""
                last_error = f"{type(error).__name__}: {error}"
            else:
                # only the leader answers, also if nobody has named it
                self._leader = address.name
                return reply
            if not self._leader:
                await clock.sleep(back_off_ms * random.uniform(0.5, 1.5))
                back_off_ms = min(MAX_BACK_OFF_MS, back_off_ms * 2)
        raise ControlUnavailableError(last_error)

    def _choose_address(self) -> wire_api.Address:
        addresses = self._control_selector.addresses
        for address in addresses:
            if address.name == self._leader:
                return address
        reachable = [a for a in addresses if self._is_connected(a)]
        # tries any instance in half of the cases, as a reachable one may be
        # cut off from the others
        if reachable and random.random() < 0.5:
            return random.choice(reachable)
        return random.choice(addresses)

    def _is_connected(self, address: wire_api.Address) -> bool:
        connection = self._connections.find(address)
        return isinstance(connection, client.Connection) and (
            connection.is_connected
        )


__all__ = ["ControlClient", "ControlUnavailableError"]
