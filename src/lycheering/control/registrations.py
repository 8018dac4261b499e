"""Registers targets in batches, so that a herd costs few commands."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.fleet import records
from lycheering.replication import errors

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.telemetry import counters
    from lycheering.wire import messages

BATCH_WAIT_MS = 20
MAX_BATCH = 100
MAX_WAITING = 4_000


class SupersededError(Exception):
    """Another incarnation of the agent speaks for the target now."""


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """A registration that waits for its batch.

    Attributes:
        target: The target.
        fence: Resolved with the highest fencing number.
    """

    target: records.Target
    fence: asyncio.Future[int]


class Registrations(app_api.Part):
    """Collects registrations and proposes them together, one at a time."""

    def __init__(
        self,
        group: replica.Replica,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._group = group
        self._clock = time
        self._counters = counts
        self._waiting: asyncio.Queue[_Waiting] = asyncio.Queue(MAX_WAITING)
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Begins to propose batches."""
        self._tasks.spawn(self._run(), "control:registrations")

    async def stop(self) -> None:
        """Ends proposing."""
        await self._tasks.cancel_all()

    async def register(self, target: records.Target) -> int:
        """Registers a target and returns the highest fencing number.

        Raises:
            ReplicationError: If it was not, or may not have been.
            SupersededError: If another incarnation replaced this one.
        """
        self._group.log.check_lease()
        loop = asyncio.get_running_loop()
        waiting = _Waiting(target, loop.create_future())
        try:
            self._waiting.put_nowait(waiting)
        except asyncio.QueueFull as error:
            raise errors.UnavailableError("too many registrations") from error
        return await waiting.fence

    async def deregister(self, asked: messages.Deregister) -> None:
        """Marks a target as leaving, by its agent's word."""
        await self._group.propose(
            commands.MarkTarget(
                asked.target,
                asked.agent_incarnation,
                records.TargetState.LEAVING,
                departed=True,
            )
        )

    async def _run(self) -> None:
        while True:
            batch = [await self._waiting.get()]
            await self._clock.sleep(BATCH_WAIT_MS)
            while len(batch) < MAX_BATCH and not self._waiting.empty():
                batch.append(self._waiting.get_nowait())
            await self._propose(batch)

    async def _propose(self, batch: list[_Waiting]) -> None:
        self._counters.increment("control.registrations", len(batch))
        self._counters.increment("control.registration_batches")
        targets = tuple(waiting.target for waiting in batch)
        command = commands.RegisterTargets(targets, self._clock.wall_ms())
        try:
            reply = await self._group.propose(command)
            if not isinstance(reply, commands.FenceGranted):
                raise errors.UnavailableError(type(reply).__name__)
        except errors.ReplicationError as error:
            for waiting in batch:
                if not waiting.fence.done():
                    waiting.fence.set_exception(error)
            return
        target_by_name = self._group.machine.fleet.target_by_name
        for waiting in batch:
            if waiting.fence.done():
                continue
            known = target_by_name.get(waiting.target.name)
            incarnation = waiting.target.agent_incarnation
            if known is None or known.agent_incarnation != incarnation:
                waiting.fence.set_exception(
                    SupersededError(f"{incarnation} was replaced")
                )
            else:
                waiting.fence.set_result(reply.highest_fence)


__all__ = [
    "BATCH_WAIT_MS",
    "MAX_BATCH",
    "MAX_WAITING",
    "Registrations",
    "SupersededError",
]
