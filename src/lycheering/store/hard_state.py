"""Durable storage of the current term and vote of a member."""

from __future__ import annotations

import asyncio

import msgspec

from lycheering.store import folder as folders
from lycheering.store import frames

_FILE = "hard-state"


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Election state of a member that must survive a restart.

    Attributes:
        term: The highest term the member has seen.
        vote: Id of the member it voted for in that term; empty if it has not
            voted.
    """

    term: int = 0
    vote: str = ""


_decoder = msgspec.msgpack.Decoder(HardState)


class HardStateFile:
    """The file that stores the hard state.

    Attributes:
        saved: The last state that was made durable.
    """

    def __init__(self, folder: folders.DataFolder) -> None:
        """Loads the hard state from the file, if it exists.

        Raises:
            DamagedFileError: The file is damaged.
        """
        self._folder = folder
        self._path = folder.path / _FILE
        self.saved = HardState()
        self._requested = self.saved
        self._write_task: asyncio.Task[None] | None = None
        # Keeps an older state from overwriting a newer one.
        self._write_lock = asyncio.Lock()
        if self._path.exists():
            body = frames.read_single(self._path)
            self.saved = frames.decode_body(self._path, body, _decoder)

    async def save(self, state: HardState) -> None:
        """Returns once the state is durable; writes it only if it changed."""
        if state == self.saved:
            return
        if self._write_task is None or self._requested != state:
            self._requested = state
            self._write_task = asyncio.create_task(self._save(state))
        # A cancelled caller must not cancel the write: the next caller would
        # have to write the same state again.
        await asyncio.shield(self._write_task)

    async def close(self) -> None:
        """Waits for the most recent write to end."""
        if self._write_task is not None:
            await asyncio.gather(self._write_task, return_exceptions=True)

    async def _save(self, state: HardState) -> None:
        data = frames.encode(msgspec.msgpack.encode(state))
        path = self._path
        async with self._write_lock:
            await self._folder.run(lambda: folders.write_durably(path, data))
            self.saved = state


__all__ = ["HardState", "HardStateFile"]
