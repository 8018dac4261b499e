"""Hands each new fleet view to every process connected here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.fleet import holder
from lycheering.wire import api as wire_api

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import machine
    from lycheering.wire import messages
    from lycheering.wire import server

# changes that come together go out in one frame per process
PUBLISH_INTERVAL_MS = 20


class LogView(wire_api.ViewExchange):
    """The fleet view that this instance's own log made.

    It takes nothing from peers: what is in force here is what a quorum
    decided, in the log's order.
    """

    takes_from_peers = False

    def __init__(self, state: machine.ControlMachine) -> None:
        self._state = state

    def revision(self) -> int:
        """Returns the view revision in force in this process."""
        return self._state.fleet.view_revision

    def update_since(self, revision: int) -> messages.ViewUpdate:
        """Returns what a peer at a lower revision lacks."""
        return holder.update_of(self._state.fleet, revision)

    def take(self, update: messages.ViewUpdate) -> bool:
        """Leaves the view as it is."""
        return True


class ViewPublisher(app_api.Part):
    """Offers the view after each change that the log applied."""

    def __init__(
        self,
        state: machine.ControlMachine,
        listener: server.Server,
        time: clock.Clock,
    ) -> None:
        self._server = listener
        self._clock = time
        self._changed = asyncio.Event()
        self._tasks = app_api.TaskOwner()
        state.listen(self._changed.set)

    async def start(self) -> None:
        """Begins to publish."""
        self._tasks.spawn(self._run(), "control:publish")

    async def stop(self) -> None:
        """Ends publishing."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._server.offer_view()
            await self._clock.sleep(PUBLISH_INTERVAL_MS)


__all__ = ["PUBLISH_INTERVAL_MS", "LogView", "ViewPublisher"]
