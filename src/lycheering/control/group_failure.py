"""Ends a process whose part in the replicated log has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica

CHECK_INTERVAL_MS = 500
# a disk that failed gets this long before it is tried again
RESTART_DELAY_MS = 1_500

_LOG = logs.get("control")


class GroupFailure(app_api.Part):
    """Has the process start again, which opens its data folder anew."""

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
        """Begins to watch."""
        self._tasks.spawn_lasting(self._run, "control:failure")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            failure = self._group.log.status().failure
            if failure:
                _LOG.error("group_failed", reason=failure)
                await self._clock.sleep(RESTART_DELAY_MS)
                self._application.fail("the replicated log has failed")
                return


__all__ = ["GroupFailure"]
