"""The fleet view of a process that receives it from its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.fleet import transfers
from lycheering.fleet import view
from lycheering.fleet import view_parts
from lycheering.fleet import view_source
from lycheering.telemetry import logs
from lycheering.wire import api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.fleet import changes

_LOG = logs.get("fleet")


class ViewHolder(api.ViewExchange):
    """Applies newer views, and never returns to an older one.

    Attributes:
        fleet: The current view.
    """

    def __init__(self, *, with_teams: bool = True) -> None:
        """Creates an empty view.

        Args:
            with_teams: Whether this process needs the teams.
        """
        self.fleet = view.FleetView()
        self._with_teams = with_teams
        self._source = view_source.ViewSource()
        self._partial_view = view_parts.PartialView()
        self._sending_peer: object | None = None
        self._last_fetch_ms = 0.0
        self._changed = asyncio.Condition()
        self._listeners: list[Callable[[], None]] = []
        self._wake_tasks: set[asyncio.Task[None]] = set()

    def listen(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after each change of the view."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Returns the revision of the current view."""
        return self.fleet.view_revision

    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if it is too old."""
        return self.fleet.changes_since(revision)

    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns the reply to a peer that requests the view."""
        return self._source.answer(self.fleet, fetch, peer, now_ms)

    def release(self, peer: object) -> None:
        """Ends the transfers to and from a peer whose connection has ended."""
        self._source.release(peer)
        if self._sending_peer is peer:
            self._sending_peer = None

    def lacks_teams(self) -> bool:
        """Returns whether a peer requested teams that this view lacks."""
        return self._source.teams_requested and not self.fleet.has_teams

    def next_fetch(
        self, peer: object, now_ms: float, *, whole: bool
    ) -> messages.ViewFetch | None:
        """Returns the request to send to a peer that has a newer view.

        Returns None while another peer is sending a whole view.
        """
        partial_view = self._partial_view
        if partial_view.digest:
            is_stale = now_ms - self._last_fetch_ms >= transfers.IDLE_TIMEOUT_MS
            if self._sending_peer not in (None, peer) and not is_stale:
                return None
            self._sending_peer = peer
            self._last_fetch_ms = now_ms
        return messages.ViewFetch(
            self.fleet.view_revision,
            whole,
            self._with_teams or self._source.teams_requested,
            partial_view.digest,
            partial_view.next_part,
        )

    def take_part(self, part: messages.ViewPart) -> bool:
        """Adds a part of a whole view; applies the view after the last one.

        Returns:
            Whether another part should be requested.

        Raises:
            MalformedFrameError: If the parts do not form a valid view.
        """
        try:
            snapshot = self._partial_view.add_part(part)
        except view_parts.DamagedViewError as error:
            self._partial_view.clear()
            raise errors.MalformedFrameError(str(error)) from error
        if snapshot is None:
            return True
        self._sending_peer = None
        if self._with_teams and not snapshot.has_teams:
            raise errors.MalformedFrameError("whole view without teams")
        if not self.take(messages.ViewUpdate(part.later, snapshot)):
            return False
        if self.lacks_teams():
            self.fleet.adopt_teams(snapshot)
        return False

    def take(self, update: messages.ViewUpdate) -> bool:
        """Applies a newer view.

        Args:
            update: A snapshot, changes or both, as sent by a peer.

        Returns:
            False if changes between the current view and these are missing.
        """
        previous_revision = self.fleet.view_revision
        if update.snapshot is not None:
            self.fleet.restore(update.snapshot)
        try:
            self.fleet.apply_changes(update.numbered)
        except view.ViewGapError as error:
            _LOG.warning("view_gap", detail=str(error))
            return False
        if self.fleet.view_revision > previous_revision:
            if self._partial_view.view_revision <= self.fleet.view_revision:
                self._partial_view.clear()
            self._notify_change()
        return True

    def _notify_change(self) -> None:
        _LOG.event(
            "view_in_force",
            view_revision=self.fleet.view_revision,
            config_revision=self.fleet.config_revision,
        )
        for listener in self._listeners:
            listener()
        task = asyncio.get_running_loop().create_task(self._wake_waiters())
        self._wake_tasks.add(task)
        task.add_done_callback(self._wake_tasks.discard)

    async def _wake_waiters(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def wait_for(self, revision: int) -> None:
        """Waits until the view has reached a revision."""
        async with self._changed:
            await self._changed.wait_for(
                lambda: self.fleet.view_revision >= revision
            )


__all__ = ["ViewHolder"]
