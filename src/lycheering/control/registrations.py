"""Registers targets in batches, so that many registrations need few commands.

Every control instance accepts registrations. The leader proposes them; the
other instances forward their batches to it.
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
MAX_BATCH_TARGETS = 100
MAX_PENDING = 4_000


class SupersededError(Exception):
    """Another incarnation of the agent has replaced the caller."""


@dataclasses.dataclass(frozen=True)
class _PendingRegistration:
    """A registration that waits to be proposed with a batch.

    Attributes:
        target: The target.
        fence: Resolves to the highest fencing number.
    """

    target: records.Target
    fence: asyncio.Future[int]


class RegistrationBatcher(app_api.Part):
    """Collects registrations and proposes one batch at a time."""

    def __init__(
        self,
        group: replica.Replica,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._group = group
        self._clock = time
        self._counters = counts
        self._pending: asyncio.Queue[_PendingRegistration] = asyncio.Queue(
            MAX_PENDING
        )
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Starts proposing batches."""
        self._tasks.spawn_with_restarts(self._run, "control:registrations")

    async def stop(self) -> None:
        """Stops proposing batches."""
        await self._tasks.cancel_all()

    async def register(self, target: records.Target) -> int:
        """Registers a target and returns the highest fencing number.

        Raises:
            ReplicationError: If the target was not or may not have been
                registered.
            SupersededError: If another incarnation replaced the agent.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingRegistration(target, loop.create_future())
        try:
            self._pending.put_nowait(pending)
        except asyncio.QueueFull as error:
            raise errors.UnavailableError(
                "too many pending registrations"
            ) from error
        return await pending.fence

    async def register_all(
        self, targets: Iterable[records.Target]
    ) -> peer_calls.RegisteredAll:
        """Registers targets for another instance; only on the leader.

        Raises:
            ReplicationError: If a target was not or may not have been
                registered.
        """
        self._group.log.check_lease()
        target_list = list(targets)
        results = await asyncio.gather(
            *(self.register(target) for target in target_list),
            return_exceptions=True,
        )
        fences = [0]
        superseded = []
        for target, result in zip(target_list, results, strict=True):
            if isinstance(result, SupersededError):
                superseded.append(target.agent_incarnation)
            elif isinstance(result, BaseException):
                raise result
            else:
                fences.append(result)
        return peer_calls.RegisteredAll(max(fences), tuple(superseded))

    async def deregister(self, request: messages.Deregister) -> None:
        """Marks a target as leaving at the request of its agent."""
        await self._group.propose_via_leader(
            commands.MarkTarget(
                request.target,
                request.agent_incarnation,
                records.TargetState.LEAVING,
                has_deregistered=True,
            )
        )

    async def _run(self) -> None:
        while True:
            batch = [await self._pending.get()]
            await self._clock.sleep(BATCH_WAIT_MS)
            while len(batch) < MAX_BATCH_TARGETS and not self._pending.empty():
                batch.append(self._pending.get_nowait())
            await self._propose(batch)

    async def _propose(self, batch: list[_PendingRegistration]) -> None:
        targets = tuple(pending.target for pending in batch)
        try:
            leader = await self._group.find_remote_leader()
            if leader is None:
                outcome = await self._propose_locally(targets)
            else:
                outcome = await self._forward(leader, targets)
        except errors.ReplicationError as error:
            for pending in batch:
                if not pending.fence.done():
                    pending.fence.set_exception(error)
            return
        for pending in batch:
            if pending.fence.done():
                continue
            incarnation = pending.target.agent_incarnation
            if incarnation in outcome.superseded:
                pending.fence.set_exception(
                    SupersededError(f"{incarnation} was replaced")
                )
            else:
                pending.fence.set_result(outcome.highest_fence)

    async def _forward(
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

    async def _propose_locally(
        self, targets: tuple[records.Target, ...]
    ) -> peer_calls.RegisteredAll:
        self._counters.increment("control.registrations", len(targets))
        self._counters.increment("control.registration_batches")
        command = commands.RegisterTargets(targets, self._clock.wall_ms())
        reply = await self._group.propose(command)
        if not isinstance(reply, commands.FenceGranted):
            raise errors.UnavailableError(type(reply).__name__)
        target_by_name = self._group.machine.fleet.target_by_name
        superseded = []
        for target in targets:
            registered = target_by_name.get(target.name)
            incarnation = target.agent_incarnation
            if (
                registered is None
                or registered.agent_incarnation != incarnation
            ):
                superseded.append(incarnation)
        return peer_calls.RegisteredAll(reply.highest_fence, tuple(superseded))


__all__ = [
    "BATCH_WAIT_MS",
    "MAX_BATCH_TARGETS",
    "MAX_PENDING",
    "RegistrationBatcher",
    "SupersededError",
]
