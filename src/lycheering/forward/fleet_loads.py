"""Shares with the other entries what this one has at targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.forward import target_registry
    from lycheering.wire import api as wire_api

INTERVAL_MS = 100.0
# exchanges become rarer in larger fleets, for the time that control has
MAX_EXCHANGES_PER_S = 700.0
EXCHANGE_TIMEOUT_MS = 400.0
MAX_READS = 200

_LOG = logs.get("loads")


class FleetLoads(app_api.Part):
    """Exchanges loads with control again and again."""

    def __init__(
        self,
        control: control_client.ControlClient,
        registry: target_registry.TargetRegistry,
        identity: wire_api.Identity,
        on_entries: Callable[[int], None],
        time: clock.Clock,
    ) -> None:
        """Prepares the part.

        Args:
            control: The control instances.
            registry: What is known of targets.
            identity: This entry.
            on_entries: Told how many entries there are.
            time: The clock.
        """
        self._entries = 1
        self._on_entries = on_entries
        self._control = control
        self._registry = registry
        self._identity = identity
        self._clock = time
        self._tasks = app_api.TaskOwner()
        self._number = 0
        self._epoch = ""
        self._cursor = 0
        self._untold: tuple[messages.PromptRead, ...] = ()
        self._first_read = 0
        self._is_shared = False

    async def start(self) -> None:
        """Begins to exchange."""
        self._tasks.spawn_lasting(self._run, "fleet_loads")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            began_ms = self._clock.now_ms()
            shared = await self._exchange()
            if shared != self._is_shared:
                _LOG.event("loads_shared" if shared else "loads_not_shared")
            self._is_shared = shared
            interval_ms = max(
                INTERVAL_MS,
                self._entries / MAX_EXCHANGES_PER_S * clock.MS_PER_S,
            )
            spent_ms = self._clock.now_ms() - began_ms
            await self._clock.sleep(max(10.0, interval_ms - spent_ms))

    async def _exchange(self) -> bool:
        self._number += 1
        self._untold += self._registry.take_reads(MAX_READS - len(self._untold))
        exchange = messages.LoadExchange(
            self._identity.name,
            self._identity.incarnation,
            self._number,
            self._registry.own_loads(),
            self._untold,
            self._epoch,
            self._cursor,
            self._registry.leaving(),
            self._first_read,
        )
        try:
            reply = await self._control.call(exchange, EXCHANGE_TIMEOUT_MS)
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.debug("exchange_failed", error=error)
            return False
        if not isinstance(reply, messages.LoadReply):
            return False
        self._first_read += len(self._untold)
        self._untold = ()
        self._epoch = reply.epoch
        self._cursor = reply.cursor
        self._entries = max(1, reply.entries)
        self._on_entries(self._entries)
        self._registry.take_loads(reply, self._clock.now_ms())
        return True


__all__ = ["FleetLoads"]
