"""The fleet view in force in a process that takes it from its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.fleet import view
from lycheering.telemetry import logs
from lycheering.wire import api
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = logs.get("fleet")


def update_of(fleet: view.FleetView, revision: int) -> messages.ViewUpdate:
    """Returns what a peer at a lower revision lacks.

    Args:
        fleet: The view to hand over.
        revision: The peer's revision; below 0 asks for the whole view.

    Returns:
        The changes in between, or the whole view where they are gone.
    """
    numbered = fleet.changes_since(revision) if revision >= 0 else None
    if numbered is None:
        return messages.ViewUpdate(snapshot=fleet.snapshot())
    return messages.ViewUpdate(numbered=tuple(numbered))


class ViewHolder(api.ViewExchange):
    """Puts newer views in force and never goes back to an older one.

    Attributes:
        fleet: The view in force.
    """

    def __init__(self) -> None:
        self.fleet = view.FleetView()
        self._changed = asyncio.Condition()
        self._listeners: list[Callable[[], None]] = []
        self._notifying: set[asyncio.Task[None]] = set()

    def listen(self, listener: Callable[[], None]) -> None:
        """Has a function called after each change of the view."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Returns the view revision in force in this process."""
        return self.fleet.view_revision

    def update_since(self, revision: int) -> messages.ViewUpdate:
        """Returns what a peer at a lower revision lacks."""
        return update_of(self.fleet, revision)

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


__all__ = ["ViewHolder", "update_of"]
