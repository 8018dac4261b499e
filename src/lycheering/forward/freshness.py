"""Confirms with control that this entry's settings are current."""

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
# The rest of the maximum age covers requests in flight and clock differences.
MAX_AGE_FRACTION = 0.85

_LOG = logs.get("freshness")


@dataclasses.dataclass
class Confirmation:
    """The last confirmation that the settings are current.

    Attributes:
        confirmed_ms: Time at which control was asked for it; None before the
            first one. A process that was suspended finds it outdated when it
            resumes.
    """

    confirmed_ms: float | None = None


class FreshnessMonitor(app_api.Part):
    """Asks control regularly to confirm the settings.

    Control answers only with a quorum behind it.

    Attributes:
        confirmation: The last confirmation.
    """

    def __init__(
        self,
        control: control_client.ControlClient,
        max_age_ms: float,
        time: clock.Clock,
    ) -> None:
        """Creates a monitor without a confirmation.

        Args:
            control: Client of the control instances.
            max_age_ms: How long settings may be used after a confirmation.
            time: The clock.
        """
        self.confirmation = Confirmation()
        self._control = control
        self._max_age_ms = max_age_ms * MAX_AGE_FRACTION
        self._clock = time
        self._tasks = app_api.TaskOwner()
        self._was_current = False

    async def wait_until_current(self, timeout_ms: float) -> bool:
        """Waits until the settings are known to be current.

        Args:
            timeout_ms: How long to wait for a confirmation.

        Returns:
            Whether they are.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        while not self.is_current():
            if self._clock.now_ms() >= until_ms:
                return False
            await self._clock.sleep(WAIT_POLL_MS)
        return True

    def is_current(self) -> bool:
        """Returns whether the last confirmation is recent enough."""
        confirmed_ms = self.confirmation.confirmed_ms
        if confirmed_ms is None:
            return False
        return self._clock.now_ms() - confirmed_ms < self._max_age_ms

    async def start(self) -> None:
        """Starts to ask control."""
        self._tasks.spawn_with_restarts(self._run, "freshness")

    async def stop(self) -> None:
        """Stops asking."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            asked_ms = self._clock.now_ms()
            is_confirmed = await self._confirm(asked_ms)
            self._log_change()
            interval_ms = (
                CONFIRM_INTERVAL_MS if is_confirmed else (RETRY_INTERVAL_MS)
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
            _LOG.debug("settings_not_confirmed", error=error)
            return False
        if not isinstance(reply, messages.Current):
            return False
        # The session delivers the reply only once the fleet view that came
        # with it is in force, so the view is at least as recent as the reply.
        self.confirmation.confirmed_ms = asked_ms
        self._control.set_members(
            model.PeerAddress(instance=peer.name, ip=peer.ip, port=peer.port)
            for peer in reply.control
        )
        return True

    def _log_change(self) -> None:
        is_current = self.is_current()
        if is_current != self._was_current:
            event = "control_regained" if is_current else "control_lost"
            _LOG.event(event)
        self._was_current = is_current


__all__ = ["FreshnessMonitor"]
