"""Registers targets in batches, so that a herd costs few commands.

Any control instance takes registrations; the leader proposes them, and the
others hand their batches on to it.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control import peer_calls
from lycheering.fleet import records
from lycheering.replication import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.control import replica
    from lycheering.replication import members
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
        self._tasks.spawn_lasting(self._run, "control:registrations")

    async def stop(self) -> None:
        """Ends proposing."""
        await self._tasks.cancel_all()

    async def register(self, target: records.Target) -> int:
        """Registers a target and returns the highest fencing number.

        Raises:
            ReplicationError: If it was not, or may not have been.
            SupersededError: If another incarnation replaced this one.
        """
        loop = asyncio.get_running_loop()
        waiting = _Waiting(target, loop.create_future())
        try:
            self._waiting.put_nowait(waiting)
        except asyncio.QueueFull as error:
            raise errors.UnavailableError("too many registrations") from error
        return await waiting.fence

    async def register_all(
        self, targets: Iterable[records.Target]
    ) -> peer_calls.RegisteredAll:
        """Registers targets that another instance took; only on the leader.

        Raises:
            ReplicationError: If one was not, or may not have been.
        """
        self._group.log.check_lease()
        some = list(targets)
        found = await asyncio.gather(
            *(self.register(target) for target in some),
            return_exceptions=True,
        )
        fences = [0]
        superseded = []
        for target, result in zip(some, found, strict=True):
            if isinstance(result, SupersededError):
                superseded.append(target.agent_incarnation)
            elif isinstance(result, BaseException):
                raise result
            else:
                fences.append(result)
        return peer_calls.RegisteredAll(max(fences), tuple(superseded))

    async def deregister(self, asked: messages.Deregister) -> None:
        """Marks a target as leaving, by its agent's word."""
        await self._group.propose_anywhere(
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
        targets = tuple(waiting.target for waiting in batch)
        try:
            leader = await self._group.find_leader()
            if leader is None:
                done = await self._propose_here(targets)
            else:
                done = await self._hand_on(leader, targets)
        except errors.ReplicationError as error:
            for waiting in batch:
                if not waiting.fence.done():
                    waiting.fence.set_exception(error)
            return
        for waiting in batch:
            if waiting.fence.done():
                continue
            incarnation = waiting.target.agent_incarnation
            if incarnation in done.superseded:
                waiting.fence.set_exception(
                    SupersededError(f"{incarnation} was replaced")
                )
            else:
                waiting.fence.set_result(done.highest_fence)

    async def _hand_on(
        self, leader: members.PeerAddress, targets: tuple[records.Target, ...]
    ) -> peer_calls.RegisteredAll:
        self._counters.increment(
            "control.registrations_handed_on", len(targets)
        )
        call = peer_calls.RegisterCall(targets)
        reply = await self._group.call_leader(leader, call)
        if not isinstance(reply, peer_calls.RegisteredAll):
            raise errors.OutcomeUnknownError(type(reply).__name__)
        return reply

    async def _propose_here(
        self, targets: tuple[records.Target, ...]
    ) -> peer_calls.RegisteredAll:
        self._counters.increment("control.registrations", len(targets))
        self._counters.increment("control.registration_batches")
        command = commands.RegisterTargets(targets, self._clock.wall_ms())
        reply = await self._group.propose(command)
        if not isinstance(reply, commands.FenceGranted):
            raise errors.UnavailableError(type(reply).__name__)
        known_by_name = self._group.machine.fleet.target_by_name
        superseded = []
        for target in targets:
            known = known_by_name.get(target.name)
            incarnation = target.agent_incarnation
            if known is None or known.agent_incarnation != incarnation:
                superseded.append(incarnation)
        return peer_calls.RegisteredAll(reply.highest_fence, tuple(superseded))


__all__ = [
    "BATCH_WAIT_MS",
    "MAX_BATCH",
    "MAX_WAITING",
    "Registrations",
    "SupersededError",
]
