"""Confirms with control that the settings held here are current."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.entry import control_client
from lycheering.settings import model
from lycheering.telemetry import logs
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock

CONFIRM_INTERVAL_MS = 1_000
RETRY_INTERVAL_MS = 50
WAIT_POLL_MS = 20
CONFIRM_TIMEOUT_MS = 1_000
# part of the bound that is left for a request on its way and for the clock
SAFE_PART = 0.85

_LOG = logs.get("freshness")


@dataclasses.dataclass
class Confirmation:
    """When the settings held here were last known to be current.

    Attributes:
        at_ms: The time; a frozen process finds it old when it wakes.
    """

    at_ms: float | None = None


class Freshness(app_api.Part):
    """Asks control again and again; a quorum stands behind each answer.

    Attributes:
        confirmed: The last confirmation.
    """

    def __init__(
        self,
        control: control_client.ControlClient,
        current_ms: float,
        time: clock.Clock,
    ) -> None:
        """Prepares the part.

        Args:
            control: The control instances.
            current_ms: How long a confirmation may be relied on.
            time: The clock.
        """
        self.confirmed = Confirmation()
        self._control = control
        self._current_ms = current_ms * SAFE_PART
        self._clock = time
        self._tasks = app_api.TaskOwner()
        self._was_current = False

    async def wait_current(self, timeout_ms: float) -> bool:
        """Returns whether the settings may be relied on, soon or now.

        Args:
            timeout_ms: How long to wait for control.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        while not self.is_current():
            if self._clock.now_ms() >= until_ms:
                return False
            await self._clock.sleep(WAIT_POLL_MS)
        return True

    def is_current(self) -> bool:
        """Returns whether the settings held here may be relied on."""
        at_ms = self.confirmed.at_ms
        if at_ms is None:
            return False
        return self._clock.now_ms() - at_ms < self._current_ms

    async def start(self) -> None:
        """Begins to ask."""
        self._tasks.spawn_lasting(self._run, "freshness")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            asked_ms = self._clock.now_ms()
            confirmed = await self._confirm(asked_ms)
            self._note()
            interval_ms = (
                CONFIRM_INTERVAL_MS if confirmed else (RETRY_INTERVAL_MS)
            )
            await self._clock.sleep(interval_ms)

    async def _confirm(self, asked_ms: float) -> bool:
        try:
            reply = await self._control.call(
                messages.CurrentFetch(), CONFIRM_TIMEOUT_MS
            )
        except (
            control_client.ControlUnavailableError,
            errors.WireError,
        ) as error:
            _LOG.debug("not_confirmed", error=error)
            return False
        if not isinstance(reply, messages.Current):
            return False
        # the frame was held back until the view that came with it was in force
        self.confirmed.at_ms = asked_ms
        self._control.learn(
            model.PeerAddress(instance=peer.name, ip=peer.ip, port=peer.port)
            for peer in reply.control
        )
        return True

    def _note(self) -> None:
        is_current = self.is_current()
        if is_current != self._was_current:
            event = "control_regained" if is_current else "control_lost"
            _LOG.event(event)
        self._was_current = is_current


__all__ = ["Freshness"]
