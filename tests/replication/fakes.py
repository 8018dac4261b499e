"""A group of members in one event loop, connected by an in-memory network."""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import types
from typing import TYPE_CHECKING

import msgspec

from lycheering import clock
from lycheering.replication import api
from lycheering.replication import core
from lycheering.replication import errors
from lycheering.replication import log
from lycheering.replication import members
from lycheering.replication import messages
from lycheering.replication import settings
from lycheering.store import storage

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

TIMEOUT_S = 30.0
POLL_S = 0.005
UNREACHABLE_DELAY_S = 0.005
PROPOSAL_BATCH = 500

FAST_SETTINGS = settings.ReplicationSettings(
    heartbeat_ms=40.0,
    election_timeout_ms=600.0,
    lease_ms=480.0,
    call_timeout_ms=250.0,
    max_pending_proposals=1_000,
)


class AdjustableClock(clock.Clock):
    """A clock that a test can advance."""

    def __init__(self) -> None:
        self.offset_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self.offset_ms


class RecordingMachine(api.StateMachine):
    """Stores all commands; the result of each is their number so far."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []
        self.applied = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        self.applied += 1
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])


class Network:
    """Delivers messages, except over links that are cut."""

    def __init__(self) -> None:
        self.log_by_instance: dict[str, log.ReplicatedLog] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.requests: list[messages.Message] = []
        self.is_recording = False

    def cut(self, instance: str) -> None:
        for other in self.log_by_instance:
            self.cut_links |= {(instance, other), (other, instance)}

    def vote_requests_from(self, instance: str) -> list[messages.VoteRequest]:
        return [
            request
            for request in self.requests
            if isinstance(request, messages.VoteRequest)
            and request.sender.instance == instance
        ]

    async def deliver(
        self, sender: str, receiver: str, message: messages.Message
    ) -> messages.Message:
        if self.is_recording:
            self.requests.append(message)
        member = self.log_by_instance.get(receiver)
        if member is None or (sender, receiver) in self.cut_links:
            await asyncio.sleep(UNREACHABLE_DELAY_S)
            raise errors.PeerUnreachableError(receiver)
        request = messages.decode(messages.encode(message))
        reply = await member.handle(request)
        if (receiver, sender) in self.cut_links:
            raise errors.PeerUnreachableError(receiver)
        return messages.decode(messages.encode(reply))


class Transport(api.Transport):
    """Sends one member's requests over the network."""

    def __init__(self, network: Network, instance: str) -> None:
        self._network = network
        self._instance = instance

    async def call(
        self,
        peer: members.PeerAddress,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message:
        try:
            async with asyncio.timeout(timeout_ms / clock.MS_PER_S):
                return await self._network.deliver(
                    self._instance, peer.instance, message
                )
        except TimeoutError as error:
            raise errors.PeerUnreachableError(peer.instance) from error


class Group:
    """Starts, stops and finds members by the name of their instance."""

    def __init__(
        self,
        folder: pathlib.Path,
        names: list[str],
        options: settings.ReplicationSettings = FAST_SETTINGS,
    ) -> None:
        self.folder = folder
        self.options = options
        self.network = Network()
        self.initial = [address(name) for name in names]
        self.clock_by_instance: dict[str, AdjustableClock] = {}
        self.machine_by_instance: dict[str, RecordingMachine] = {}
        self.store_by_instance: dict[str, storage.Storage] = {}
        self._unblocked_by_instance: dict[str, asyncio.Event] = {}

    @property
    def log_by_instance(self) -> dict[str, log.ReplicatedLog]:
        return self.network.log_by_instance

    def start(self, name: str) -> log.ReplicatedLog:
        store = storage.Storage(self.folder / name)
        self.store_by_instance[name] = store
        self.machine_by_instance[name] = RecordingMachine()
        self.clock_by_instance[name] = AdjustableClock()
        member = log.ReplicatedLog(
            store,
            address(name),
            self.initial,
            self.machine_by_instance[name],
            Transport(self.network, name),
            self.clock_by_instance[name],
            self.options,
            random.Random(name),
        )
        self.log_by_instance[name] = member
        member.start()
        return member

    async def stop(self, name: str) -> None:
        await self.log_by_instance.pop(name).stop()

    async def stop_all(self) -> None:
        for unblocked in self._unblocked_by_instance.values():
            unblocked.set()
        for name in list(self.log_by_instance):
            await self.stop(name)

    def running(self) -> list[str]:
        return list(self.log_by_instance)

    def block_syncs(self, name: str) -> None:
        """Blocks writes of a member's log."""
        self._block(name, self.store_by_instance[name].log)

    def block_hard_state(self, name: str) -> None:
        """Blocks writes of a member's term and vote."""
        self._block(name, self.store_by_instance[name].hard_state)

    def _block(self, name: str, component: Any) -> None:
        unblocked = asyncio.Event()
        run = component._folder.run
        self._unblocked_by_instance[name] = unblocked

        async def blocked_run(operation: Callable[[], Any]) -> Any:
            await unblocked.wait()
            return await run(operation)

        component._folder = types.SimpleNamespace(run=blocked_run)

    def unblock_writes(self, name: str) -> None:
        self._unblocked_by_instance[name].set()

    def lose_disk(self, name: str) -> None:
        shutil.rmtree(self.folder / name)

    def leaders(self) -> list[str]:
        return [
            name
            for name, member in self.log_by_instance.items()
            if holds_lease(member)
        ]

    async def leader(self, excluding: str = "") -> str:
        names: list[str] = []

        def found() -> bool:
            # kept, as a lease may end right after it was seen
            names[:] = [name for name in self.leaders() if name != excluding]
            return bool(names)

        await wait_for(found, f"a leader other than {excluding!r}")
        return names[0]

    async def propose(self, command: bytes, excluding: str = "") -> bytes:
        """Proposes a command until a leader accepts it."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                name = await self.leader(excluding)
                try:
                    return await self.log_by_instance[name].propose(
                        command, TIMEOUT_S * clock.MS_PER_S
                    )
                except errors.NotLeaderError:
                    await asyncio.sleep(POLL_S)

    async def fill(self, count: int, prefix: str = "c") -> None:
        """Proposes many commands, several at a time.

        A leader whose lease expires, as the event loop was held up, refuses
        commands without an effect; they are proposed to the next leader.
        """
        for first in range(0, count, PROPOSAL_BATCH):
            numbers = range(first, min(first + PROPOSAL_BATCH, count))
            commands = [f"{prefix}{number}".encode() for number in numbers]
            await asyncio.gather(*map(self.propose, commands))


class LeaderMonitor:
    """Records a fault when two members act as leader at once."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self.violations: list[str] = []
        self.checks = 0
        self._leader_by_term: dict[int, members.MemberId] = {}
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self.checks += 1
            leaders = self._group.leaders()
            if len(leaders) > 1:
                self.violations.append(f"leases of {leaders}")
            for member in self._group.log_by_instance.values():
                status = member.status()
                if status.role is not core.Role.LEADER:
                    continue
                first = self._leader_by_term.setdefault(status.term, status.id)
                if first != status.id:
                    self.violations.append(
                        f"{first} and {status.id} led together"
                    )
            await asyncio.sleep(POLL_S / 5)


class Chaos:
    """Proposes commands while random members fail one after another."""

    ROUNDS = 12
    PROPOSERS = 4
    PROPOSAL_MS = 300.0

    def __init__(self, group: Group, randomness: random.Random) -> None:
        self._group = group
        self._random = randomness
        self._is_finished = False
        self.acknowledged: list[bytes] = []

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for number in range(self.PROPOSERS):
                tasks.create_task(self._propose(number))
            for _ in range(self.ROUNDS):
                await self._inject_fault()
            self._is_finished = True

    async def _propose(self, proposer: int) -> None:
        number = 0
        while not self._is_finished:
            number += 1
            command = f"chaos-{proposer}-{number}".encode()
            for member in list(self._group.log_by_instance.values()):
                try:
                    await member.propose(command, self.PROPOSAL_MS)
                except errors.OutcomeUnknownError:
                    break
                except errors.ReplicationError:
                    continue
                self.acknowledged.append(command)
                break
            await asyncio.sleep(POLL_S)

    async def _inject_fault(self) -> None:
        group = self._group
        name = self._random.choice(group.running())
        if self._random.random() < 0.5:
            name = (group.leaders() or [name])[0]
        fault = self._random.choice(["cut", "one way", "restart", "freeze"])
        duration_s = self._random.uniform(0.05, 1.0)
        if fault == "cut":
            group.network.cut(name)
        elif fault == "one way":
            for other in group.running():
                group.network.cut_links.add((other, name))
        elif fault == "freeze":
            group.clock_by_instance[name].offset_ms += 2_000
        else:
            await group.stop(name)
        await asyncio.sleep(duration_s)
        group.network.cut_links.clear()
        if fault == "restart":
            group.start(name)
        await asyncio.sleep(self._random.uniform(0.0, 0.6))


def address(name: str) -> members.PeerAddress:
    return members.PeerAddress(name, f"127.0.0.1:{name}")


def holds_lease(member: log.ReplicatedLog) -> bool:
    try:
        member.check_lease()
    except errors.ReplicationError:
        return False
    return True


async def wait_for(condition: Callable[[], Any], what: str) -> None:
    """Waits until a condition holds."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)
    except TimeoutError as error:
        raise AssertionError(f"timed out waiting for {what}") from error
