"""Bounded waits of one task, with one timer for many of them."""

from __future__ import annotations

import asyncio


class Waiting:
    """Lets one task wait again and again for the next of many signals.

    A timer of its own for each wait would cost a stream more than the wait
    does. Here a timer that is still set serves the next wait too: it is set
    anew only when it goes off early, or would go off late.
    """

    def __init__(self) -> None:
        self._waiter: asyncio.Future[bool] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._end_s = 0.0

    async def wait(self, timeout_ms: float) -> bool:
        """Returns whether a signal came in time.

        Signals given while nobody waits are not kept.
        """
        loop = asyncio.get_running_loop()
        self._end_s = loop.time() + timeout_ms / 1_000
        self._set_timer(loop)
        self._waiter = loop.create_future()
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def wake(self) -> None:
        """Gives a signal."""
        self._finish(in_time=True)

    def close(self) -> None:
        """Takes the timer back if nobody waits."""
        if self._timer is not None and self._waiter is None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is not None:
            if self._timer.when() <= self._end_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(self._end_s, self._expire, loop)

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        early = self._timer is not None and self._timer.when() < self._end_s
        self._timer = None
        if self._waiter is None:
            return
        if early:
            self._set_timer(loop)
            return
        self._finish(in_time=False)

    def _finish(self, *, in_time: bool) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(in_time)


__all__ = ["Waiting"]
