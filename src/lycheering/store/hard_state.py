"""Term and vote, which must survive a restart."""

from __future__ import annotations

import asyncio

import msgspec

from lycheering.store import folder as folders
from lycheering.store import frames

_FILE = "hard-state"


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a member may not forget.

    Attributes:
        term: The highest term it has seen.
        vote: Whom it voted for in that term, empty for nobody.
    """

    term: int = 0
    vote: str = ""


_decoder = msgspec.msgpack.Decoder(HardState)


class HardStateFile:
    """Keeps the hard state in a file of its own.

    Attributes:
        saved: What is durable.
    """

    def __init__(self, folder: folders.DataFolder) -> None:
        """Loads the hard state.

        Raises:
            DamagedFileError: The file is damaged.
        """
        self._folder = folder
        self._path = folder.path / _FILE
        self.saved = HardState()
        self._asked = self.saved
        self._write: asyncio.Task[None] | None = None
        # an older state must not come after a newer one
        self._order = asyncio.Lock()
        if self._path.exists():
            body = frames.read_single(self._path)
            self.saved = frames.read_body(self._path, body, _decoder)

    async def save(self, state: HardState) -> None:
        """Makes the state durable, unless it is already."""
        if state == self.saved:
            return
        if self._write is None or self._asked != state:
            self._asked = state
            self._write = asyncio.create_task(self._save(state))
        # a caller that stops waiting must not make the next one write again
        await asyncio.shield(self._write)

    async def close(self) -> None:
        """Waits for the write asked for last."""
        if self._write is not None:
            await asyncio.gather(self._write, return_exceptions=True)

    async def _save(self, state: HardState) -> None:
        data = frames.encode(msgspec.msgpack.encode(state))
        path = self._path
        async with self._order:
            await self._folder.run(lambda: folders.write_durably(path, data))
            self.saved = state


__all__ = ["HardState", "HardStateFile"]
