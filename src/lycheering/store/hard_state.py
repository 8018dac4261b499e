"""Term and vote, which must survive a restart."""

from __future__ import annotations

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


class HardStateFile:
    """Keeps the hard state in a file of its own."""

    def __init__(self, folder: folders.DataFolder) -> None:
        """Loads the hard state.

        Raises:
            DamagedFileError: The file is damaged.
        """
        self._folder = folder
        self._path = folder.path / _FILE
        self.saved = HardState()
        if self._path.exists():
            body = frames.read_single(self._path)
            self.saved = msgspec.msgpack.decode(body, type=HardState)

    async def save(self, state: HardState) -> None:
        """Makes the state durable, unless it is already."""
        if state == self.saved:
            return
        data = frames.encode(msgspec.msgpack.encode(state))
        await self._folder.run(lambda: self._write(data))
        self.saved = state

    def _write(self, data: bytes) -> None:
        folders.write_durably(self._path, data)


__all__ = ["HardState", "HardStateFile"]
