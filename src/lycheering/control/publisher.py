"""Publishes the fleet view to the connected processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.fleet import view_source
from lycheering.wire import api as wire_api

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import machine
    from lycheering.fleet import changes
    from lycheering.wire import messages
    from lycheering.wire import server

# collects changes within this time into one frame per process
PUBLISH_INTERVAL_MS = 20


class ReplicatedView(wire_api.ViewExchange):
    """The fleet view as this instance's replicated log has applied it.

    It ignores views of peers, since only changes that a quorum committed, in
    log order, may be in force on a control instance.
    """

    takes_from_peers = False

    def __init__(self, state: machine.ControlMachine) -> None:
        self._state = state
        self._source = view_source.ViewSource()

    def revision(self) -> int:
        """Returns the view revision in force in this process."""
        return self._state.fleet.view_revision

    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes since a revision, or None if it is too old."""
        return self._state.fleet.changes_since(revision)

    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns the reply to a peer that fetches the view."""
        return self._source.answer(self._state.fleet, fetch, peer, now_ms)

    def release(self, peer: object) -> None:
        """Releases the state of a peer whose connection ended."""
        self._source.release(peer)

    def take(self, update: messages.ViewUpdate) -> bool:
        """Ignores an update; returns True as if it was applied."""
        return True


class ViewPublisher(app_api.Part):
    """Offers the view to all peers after each change."""

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
        state.add_listener(self._changed.set)

    async def start(self) -> None:
        """Starts publishing."""
        self._tasks.spawn_with_restarts(self._run, "control:publish")

    async def stop(self) -> None:
        """Stops publishing."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._server.push_view()
            await self._clock.sleep(PUBLISH_INTERVAL_MS)


__all__ = ["PUBLISH_INTERVAL_MS", "ReplicatedView", "ViewPublisher"]
