"""Ends a process whose replicated log has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica

CHECK_INTERVAL_MS = 500
# the delay before a failed disk is used again
RESTART_DELAY_MS = 1_500

_LOG = logs.get("control")


class LogFailureWatch(app_api.Part):
    """Fails the application, so that its supervisor restarts it.

    The restarted process opens its data folder again.
    """

    def __init__(
        self,
        group: replica.Replica,
        application: app_api.Application,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._application = application
        self._clock = time
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts watching the replicated log."""
        self._tasks.spawn_with_restarts(self._run, "control:log-failure")

    async def stop(self) -> None:
        """Stops watching."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            failure = self._group.log.status().failure
            if failure:
                _LOG.error("replicated_log_failed", reason=failure)
                await self._clock.sleep(RESTART_DELAY_MS)
                self._application.fail("the replicated log has failed")
                return


__all__ = ["LogFailureWatch"]
