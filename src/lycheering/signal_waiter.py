"""Waits with timeouts for a single task, sharing one timer."""

from __future__ import annotations

import asyncio


class SignalWaiter:
    """Lets one task wait repeatedly for signals, each time with a timeout.

    Setting a timer for each wait would cost more than the wait itself in a
    stream of many small chunks. A timer that is still set is therefore reused
    by the next wait. It is set again only if it expires before the timeout of
    that wait, or would expire after it.
    """

    def __init__(self) -> None:
        self._waiter: asyncio.Future[bool] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s = 0.0

    async def wait(self, timeout_ms: float) -> bool:
        """Waits for a signal; returns whether one came in time.

        Signals given while no task waits are lost.
        """
        loop = asyncio.get_running_loop()
        self._deadline_s = loop.time() + timeout_ms / 1_000
        self._set_timer(loop)
        self._waiter = loop.create_future()
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def signal(self) -> None:
        """Signals the waiting task, if any."""
        self._finish(is_in_time=True)

    def close(self) -> None:
        """Cancels the timer if no task waits."""
        if self._timer is not None and self._waiter is None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is not None:
            if self._timer.when() <= self._deadline_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(self._deadline_s, self._expire, loop)

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        is_early = (
            self._timer is not None and self._timer.when() < self._deadline_s
        )
        self._timer = None
        if self._waiter is None:
            return
        if is_early:
            self._set_timer(loop)
            return
        self._finish(is_in_time=False)

    def _finish(self, *, is_in_time: bool) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(is_in_time)


__all__ = ["SignalWaiter"]
