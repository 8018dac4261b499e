"""Lets tasks wait until the log has reached an index."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class _Waiter:
    index: int
    future: asyncio.Future[None]


class IndexWaiters:
    """Tasks that wait until an index is reached."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []

    async def wait(self, index: int) -> None:
        """Waits until advance is called with this index or a higher one."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.append(_Waiter(index, future))
        await future

    def advance(self, index: int) -> None:
        """Wakes all tasks that wait for this index or a lower one."""
        if not self._waiters:
            return
        waiters = self._waiters
        self._waiters = [waiter for waiter in waiters if waiter.index > index]
        for waiter in waiters:
            if waiter.index <= index and not waiter.future.done():
                waiter.future.set_result(None)


__all__ = ["IndexWaiters"]
