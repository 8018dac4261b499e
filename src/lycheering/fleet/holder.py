"""The fleet view in force in a process that takes it from its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.fleet import source
from lycheering.fleet import transfers
from lycheering.fleet import view
from lycheering.fleet import whole as whole_views
from lycheering.telemetry import logs
from lycheering.wire import api
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.fleet import changes

_LOG = logs.get("fleet")


class ViewHolder(api.ViewExchange):
    """Puts newer views in force and never goes back to an older one.

    Attributes:
        fleet: The view in force.
    """

    def __init__(self, *, with_teams: bool = True) -> None:
        """Makes an empty view.

        Args:
            with_teams: Whether this process uses the teams.
        """
        self.fleet = view.FleetView()
        self._with_teams = with_teams
        self._source = source.ViewSource()
        self._incoming = whole_views.IncomingView()
        self._giver: object | None = None
        self._asked_ms = 0.0
        self._changed = asyncio.Condition()
        self._listeners: list[Callable[[], None]] = []
        self._notifying: set[asyncio.Task[None]] = set()

    def listen(self, listener: Callable[[], None]) -> None:
        """Has a function called after each change of the view."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Returns the view revision in force in this process."""
        return self.fleet.view_revision

    def changes_since(
        self, revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if too old."""
        return self.fleet.changes_since(revision)

    def answer(
        self, fetch: messages.ViewFetch, peer: object, now_ms: float
    ) -> messages.Message:
        """Returns what a peer that asks for the view is sent."""
        return self._source.answer(self.fleet, fetch, peer, now_ms)

    def release(self, peer: object) -> None:
        """Forgets a peer whose connection ended."""
        self._source.release(peer)
        if self._giver is peer:
            self._giver = None

    def lacks_teams(self) -> bool:
        """Returns whether a peer waits for teams that are not held here."""
        return self._source.teams_wanted and not self.fleet.has_teams

    def next_fetch(
        self, peer: object, now_ms: float, *, whole: bool
    ) -> messages.ViewFetch | None:
        """Returns what to ask a peer for, whose view is newer.

        Nothing while another peer is handing a whole view over.
        """
        incoming = self._incoming
        if incoming.digest:
            is_stale = now_ms - self._asked_ms >= transfers.STALE_MS
            if self._giver not in (None, peer) and not is_stale:
                return None
            self._giver = peer
            self._asked_ms = now_ms
        return messages.ViewFetch(
            self.fleet.view_revision,
            whole,
            self._with_teams or self._source.teams_wanted,
            incoming.digest,
            incoming.next_part,
        )

    def take_part(self, part: messages.ViewPart) -> bool:
        """Takes a part of a whole view in, and the view after the last.

        Raises:
            MalformedFrameError: If the parts make no view.
        """
        try:
            snapshot = self._incoming.take(part)
        except whole_views.DamagedViewError as error:
            self._incoming.clear()
            raise errors.MalformedFrameError(str(error)) from error
        if snapshot is None:
            return True
        self._giver = None
        if self._with_teams and not snapshot.has_teams:
            raise errors.MalformedFrameError("whole view without teams")
        if not self.take(messages.ViewUpdate(part.later, snapshot)):
            return False
        if self.lacks_teams():
            self.fleet.adopt_teams(snapshot)
        return False

    def take(self, update: messages.ViewUpdate) -> bool:
        """Puts a newer view in force.

        Args:
            update: What a peer handed over.

        Returns:
            False if changes are missing in between.
        """
        before = self.fleet.view_revision
        if update.snapshot is not None:
            self.fleet.restore(update.snapshot)
        try:
            self.fleet.apply_all(update.numbered)
        except view.ViewGapError as error:
            _LOG.warning("view_gap", detail=str(error))
            return False
        if self.fleet.view_revision > before:
            if self._incoming.view_revision <= self.fleet.view_revision:
                self._incoming.clear()
            self._announce()
        return True

    def _announce(self) -> None:
        _LOG.event(
            "view_in_force",
            view_revision=self.fleet.view_revision,
            config_revision=self.fleet.config_revision,
        )
        for listener in self._listeners:
            listener()
        task = asyncio.get_running_loop().create_task(self._notify())
        self._notifying.add(task)
        task.add_done_callback(self._notifying.discard)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def wait_for(self, revision: int) -> None:
        """Returns once a view revision is in force."""
        async with self._changed:
            await self._changed.wait_for(
                lambda: self.fleet.view_revision >= revision
            )


__all__ = ["ViewHolder"]
