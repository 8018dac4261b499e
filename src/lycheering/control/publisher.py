"""Hands each new fleet view to every process connected here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.fleet import source
from lycheering.wire import api as wire_api

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import machine
    from lycheering.fleet import changes
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
        self._source = source.ViewSource()

    def revision(self) -> int:
        """Returns the view revision in force in this process."""
        return self._state.fleet.view_revision

    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if too old."""
        return self._state.fleet.changes_since(revision)

    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns what a peer that asks for the view is sent."""
        return self._source.answer(self._state.fleet, fetch, peer, now_ms)

    def release(self, peer: object) -> None:
        """Forgets a peer whose connection ended."""
        self._source.release(peer)

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
        self._tasks.spawn_lasting(self._run, "control:publish")

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
