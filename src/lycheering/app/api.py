"""Parts with a life cycle, and the application that owns them."""

from __future__ import annotations

import abc
import asyncio
import signal
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import memory
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

# a failure that comes back at once is tried less and less often
FIRST_PAUSE_MS = 100.0
MAX_PAUSE_MS = 5_000.0
# work that went on for so long before it failed begins anew at the first pause
STEADY_MS = 30_000.0

_LOG = logs.get("app")


class Part(abc.ABC):
    """Something an application starts, drains and stops."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Makes the part ready; raises if it can't be."""

    async def drain(self) -> None:  # noqa: B027
        """Takes nothing new and returns once what runs has ended."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Releases all the part holds."""


class ApplicationFailedError(Exception):
    """The application ended because a part can't go on."""


class Application:
    """Starts parts in order, and drains and stops them in reverse.

    Attributes:
        stopping: Set once the process was asked to end.
    """

    def __init__(self, drain_timeout_ms: float) -> None:
        self.stopping = asyncio.Event()
        self._drain_timeout_ms = drain_timeout_ms
        self._parts: list[Part] = []
        self._started: list[Part] = []
        self._failure = ""
        self._reload_listeners: list[Callable[[], None]] = []

    def on_reload(self, listener: Callable[[], None]) -> None:
        """Has a function called when SIGHUP asks to read settings again."""
        self._reload_listeners.append(listener)

    def fail(self, reason: str) -> None:
        """Ends the application; `run` raises once its parts are stopped."""
        self._failure = reason
        self.stopping.set()

    def _reload(self) -> None:
        _LOG.event("reload")
        for listener in self._reload_listeners:
            listener()

    def add(self, part: Part) -> None:
        """Adds a part, started after those added before it."""
        self._parts.append(part)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and stops all parts.

        Raises:
            ApplicationFailedError: If a part can't go on.
            ExceptionGroup: If parts failed to stop.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        try:
            for part in self._parts:
                if self.stopping.is_set():
                    break
                await part.start()
                self._started.append(part)
            memory.settle()
            _LOG.event("started", parts=len(self._started))
            await self.stopping.wait()
            _LOG.event("draining")
            if not self._failure:
                await self._drain()
        finally:
            await self._stop()
        if self._failure:
            raise ApplicationFailedError(self._failure)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(self._drain_timeout_ms / 1_000):
                for part in reversed(self._started):
                    await self._drain_part(part)
        except TimeoutError:
            _LOG.warning("drain_timeout", timeout_ms=self._drain_timeout_ms)

    async def _drain_part(self, part: Part) -> None:
        # what the others still run ends whole all the same
        try:
            await part.drain()
        except Exception as error:
            _LOG.error(
                "drain_failed", part=type(part).__name__, error=repr(error)
            )

    async def _stop(self) -> None:
        failures: list[Exception] = []
        while self._started:
            part = self._started.pop()
            try:
                await part.stop()
            except Exception as error:
                failures.append(error)
        _LOG.event("stopped", failures=len(failures))
        if failures:
            raise ExceptionGroup("parts failed to stop", failures)


class TaskOwner:
    """Keeps background tasks, logs their failures and ends them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None], name: str) -> None:
        """Runs work in a task of its own until it ends or all are ended."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def spawn_lasting(
        self, make: Callable[[], Coroutine[object, object, None]], name: str
    ) -> None:
        """Runs work that is to go on until all tasks are ended.

        An unexpected error would leave the process without that work; it is
        logged, and the work begun anew.

        Args:
            make: Begins the work.
            name: The name of its task.
        """
        self.spawn(self._go_on(make, name), name)

    async def _go_on(
        self, make: Callable[[], Coroutine[object, object, None]], name: str
    ) -> None:
        time = clock.Clock()
        pause_ms = FIRST_PAUSE_MS
        while True:
            began_ms = time.now_ms()
            try:
                await make()
                return
            except Exception as error:
                if time.now_ms() - began_ms >= STEADY_MS:
                    pause_ms = FIRST_PAUSE_MS
                _LOG.error(
                    "task_begins_anew",
                    task=name,
                    pause_ms=pause_ms,
                    error=repr(error),
                )
            await time.sleep(pause_ms)
            pause_ms = min(MAX_PAUSE_MS, 2 * pause_ms)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _LOG.error("task_failed", task=task.get_name(), error=repr(error))

    async def cancel_all(self) -> None:
        """Cancels every task and waits for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["Application", "ApplicationFailedError", "Part", "TaskOwner"]
