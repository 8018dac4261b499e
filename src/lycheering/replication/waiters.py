"""Waiting until the log has come to an index."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class _Waiter:
    index: int
    done: asyncio.Future[None]


class IndexWaiters:
    """Wakes those that wait for an index."""

    def __init__(self) -> None:
        self._waiting: list[_Waiter] = []

    async def wait(self, index: int) -> None:
        """Waits until advance is called with this index or a higher one."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiter(index, done))
        await done

    def advance(self, index: int) -> None:
        """Wakes all that wait for this index or a lower one."""
        if not self._waiting:
            return
        waiting = self._waiting
        self._waiting = [item for item in waiting if item.index > index]
        for item in waiting:
            if item.index <= index and not item.done.done():
                item.done.set_result(None)


__all__ = ["IndexWaiters"]
