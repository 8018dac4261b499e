"""Parts with a life cycle, and the application that runs them."""

from __future__ import annotations

import abc
import asyncio
import signal
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering import reload_signal
from lycheering.app import memory
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

# Delays before failed work is restarted. The delay doubles with each failure,
# so that work which fails at once is restarted less and less often.
FIRST_RESTART_DELAY_MS = 100.0
MAX_RESTART_DELAY_MS = 5_000.0
# Work that ran this long before it failed is restarted with the first delay.
STABLE_RUN_MS = 30_000.0

_LOG = logs.get("app")


class Part(abc.ABC):
    """A component that an application starts, drains and stops."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Makes the part ready; raises an error if that fails."""

    async def drain(self) -> None:  # noqa: B027
        """Accepts no new work and returns once running work has ended."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Releases all resources of the part."""


class ApplicationFailedError(Exception):
    """The application ended because a part failed permanently."""


class Application:
    """Starts parts in order, and drains and stops them in reverse.

    Attributes:
        stop_requested: Event that is set once the process is asked to end.
    """

    def __init__(self, drain_timeout_ms: float) -> None:
        self.stop_requested = asyncio.Event()
        self._drain_timeout_ms = drain_timeout_ms
        self._parts: list[Part] = []
        self._started: list[Part] = []
        self._failure = ""
        self._reload_listeners: list[Callable[[], None]] = []

    def on_reload(self, listener: Callable[[], None]) -> None:
        """Registers a function to call on SIGHUP, to reload the settings."""
        self._reload_listeners.append(listener)

    def fail(self, reason: str) -> None:
        """Stops all parts without draining; then `run` raises an error.

        Args:
            reason: Message of the ApplicationFailedError that `run` raises.
        """
        self._failure = reason
        self.stop_requested.set()

    def _reload(self) -> None:
        _LOG.event("reload")
        for listener in self._reload_listeners:
            listener()

    def add(self, part: Part) -> None:
        """Adds a part; parts are started in the order of adding."""
        self._parts.append(part)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and stops all parts.

        Raises:
            ApplicationFailedError: If a part failed permanently.
            ExceptionGroup: If parts failed to stop.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        reload_signal.release()
        try:
            for part in self._parts:
                if self.stop_requested.is_set():
                    break
                await part.start()
                self._started.append(part)
            memory.freeze_startup_objects()
            _LOG.event("started", parts=len(self._started))
            await self.stop_requested.wait()
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
        # A part that fails to drain does not keep the others from draining.
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
    """Owns background tasks, logs their failures and cancels them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None], name: str) -> None:
        """Runs work in a new task until it ends or all tasks are cancelled."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def spawn_with_restarts(
        self,
        create_work: Callable[[], Coroutine[object, object, None]],
        name: str,
    ) -> None:
        """Runs work in a new task, and restarts it after errors.

        Without a restart, an unexpected error would leave the process without
        that work. Each error is logged.

        Args:
            create_work: Creates the coroutine that does the work.
            name: Name of the task.
        """
        self.spawn(self._run_with_restarts(create_work, name), name)

    async def _run_with_restarts(
        self,
        create_work: Callable[[], Coroutine[object, object, None]],
        name: str,
    ) -> None:
        time = clock.Clock()
        pause_ms = FIRST_RESTART_DELAY_MS
        while True:
            started_ms = time.now_ms()
            try:
                await create_work()
                return
            except Exception as error:
                if time.now_ms() - started_ms >= STABLE_RUN_MS:
                    pause_ms = FIRST_RESTART_DELAY_MS
                _LOG.error(
                    "task_restarting",
                    task=name,
                    pause_ms=pause_ms,
                    error=repr(error),
                )
            await time.sleep(pause_ms)
            pause_ms = min(MAX_RESTART_DELAY_MS, 2 * pause_ms)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _LOG.error("task_failed", task=task.get_name(), error=repr(error))

    async def cancel_all(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["Application", "ApplicationFailedError", "Part", "TaskOwner"]
