"""Persists the fleet view, for an entry that restarts without control."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import TYPE_CHECKING

import msgspec

from lycheering.app import api as app_api
from lycheering.fleet import view as fleet_view
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.fleet import view_holder

FILE_NAME = "view.msgpack"
# short, so that an entry that is killed restarts with a recent view
SAVE_INTERVAL_MS = 50

_LOG = logs.get("view_file")
_DECODER = msgspec.msgpack.Decoder(fleet_view.ViewSnapshot)


class ViewFile(app_api.Part):
    """Saves the view to a file after changes and loads it at startup."""

    def __init__(
        self, folder: str, view: view_holder.ViewHolder, time: clock.Clock
    ) -> None:
        self._path = pathlib.Path(folder) / FILE_NAME
        self._view = view
        self._clock = time
        self._saved_revision = 0
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Loads the saved view, if there is a readable one."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._load()
        self._tasks.spawn_with_restarts(self._save_changes, "view_file")

    async def stop(self) -> None:
        """Saves the view a last time."""
        await self._tasks.cancel_all()
        self._save(self._unsaved_snapshot())

    def _load(self) -> None:
        try:
            snapshot = _DECODER.decode(self._path.read_bytes())
        except FileNotFoundError:
            return
        except (msgspec.DecodeError, OSError) as error:
            # goes on without it, as a peer sends its view
            _LOG.warning("view_file_unreadable", detail=str(error))
            return
        self._view.take(messages.ViewUpdate(snapshot=snapshot))
        self._saved_revision = snapshot.view_revision

    async def _save_changes(self) -> None:
        while True:
            await self._view.wait_for(self._saved_revision + 1)
            snapshot = self._unsaved_snapshot()
            if snapshot is not None:
                await asyncio.to_thread(self._save, snapshot)
            await self._clock.sleep(SAVE_INTERVAL_MS)

    def _unsaved_snapshot(self) -> fleet_view.ViewSnapshot | None:
        if self._view.revision() <= self._saved_revision:
            return None
        return self._view.fleet.snapshot()

    def _save(self, snapshot: fleet_view.ViewSnapshot | None) -> None:
        if snapshot is None:
            return
        temporary = self._path.with_suffix(".new")
        try:
            with temporary.open("wb") as file:
                file.write(msgspec.msgpack.encode(snapshot))
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path)
        except OSError as error:
            _LOG.warning("view_file_unwritable", detail=str(error))
            return
        self._saved_revision = snapshot.view_revision


__all__ = ["FILE_NAME", "ViewFile"]
