"""What a member does while it leads one term."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.replication import errors
from lycheering.replication import members
from lycheering.replication import messages
from lycheering.replication import peers
from lycheering.store import entries

if TYPE_CHECKING:
    from lycheering.replication import core as cores

TRANSFER_POLL_MS = 5.0


@dataclasses.dataclass
class _PeerTask:
    progress: peers.Progress
    task: asyncio.Task[None]


class Leadership:
    """Leads one term.

    Attributes:
        term: The term.
        first_index: Index of the first entry of the term.
        is_transferring: Whether another member is about to take over.
    """

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self.term = core.term
        self.first_index = core.log.last_index + 1
        self.is_transferring = False
        self._started_ms = core.clock.now_ms()
        self._peer_by_id: dict[members.MemberId, _PeerTask] = {}
        self._result_by_index: dict[int, asyncio.Future[bytes]] = {}

    def start(self) -> None:
        """Appends an entry of the term and starts to replicate."""
        self.refresh_peers()
        self._append(entries.EntryKind.NO_OPERATION, b"")

    def stop(self) -> None:
        """Ends all tasks; what was proposed has an unknown outcome."""
        for peer in self._peer_by_id.values():
            peer.task.cancel()
        self._peer_by_id = {}
        for result in self._result_by_index.values():
            if not result.done():
                message = "the leader stepped down"
                result.set_exception(errors.OutcomeUnknownError(message))
                # whoever proposed it may have stopped waiting
                result.exception()
        self._result_by_index = {}

    def propose(self, command: bytes) -> asyncio.Future[bytes]:
        """Appends a command.

        Returns:
            What will hold the state machine's result.

        Raises:
            UnavailableError: Too many proposals wait.
        """
        if len(self._result_by_index) >= self._core.settings.max_waiting:
            raise errors.UnavailableError("too many proposals wait")
        return self._append(entries.EntryKind.COMMAND, command)

    def is_settled(self) -> bool:
        """Returns whether the configuration in use and the term are committed.

        Only then may another configuration follow.
        """
        core = self._core
        needed = max(core.history.latest.index, self.first_index)
        return core.commit_index >= needed

    def propose_configuration(
        self, configuration: members.Configuration
    ) -> asyncio.Future[bytes]:
        """Appends a configuration that differs by one member.

        Raises:
            MemberChangeError: The change before it is not committed yet.
        """
        if not self.is_settled():
            message = "the change before is not committed"
            raise errors.MemberChangeError(message)
        data = configuration.encode()
        return self._append(entries.EntryKind.CONFIGURATION, data)

    def resolve(self, index: int, result: bytes) -> None:
        """Hands a result to whoever proposed the entry."""
        waiting = self._result_by_index.pop(index, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(result)

    def has_waiting(self) -> bool:
        """Returns whether any proposal waits for its result."""
        return bool(self._result_by_index)

    def progress(self, member_id: members.MemberId) -> peers.Progress | None:
        """Returns how far another member is."""
        peer = self._peer_by_id.get(member_id)
        return peer.progress if peer else None

    def refresh_peers(self) -> None:
        """Starts and ends tasks as the configuration says."""
        core = self._core
        wanted = {
            member.id: member
            for member in core.configuration.members
            if member.id != core.id
        }
        for member_id in list(self._peer_by_id):
            if member_id not in wanted:
                self._peer_by_id.pop(member_id).task.cancel()
        for member_id, member in wanted.items():
            if member_id not in self._peer_by_id:
                self._start_peer(member)

    def advance_commit(self) -> None:
        """Commits what a quorum has synced in this term."""
        core = self._core
        if core.leadership is not self:
            return
        index = self._quorum_value(core.log.synced_index, _match_index)
        if index <= core.commit_index:
            return
        if core.log.term_at(int(index)) == self.term:
            core.set_commit(int(index))

    async def transfer(self) -> bool:
        """Hands the leadership to the voter that is furthest.

        Returns:
            Whether a voter was asked to take over.
        """
        others = [
            voter
            for voter in self._core.configuration.voters()
            if voter.id in self._peer_by_id
        ]
        if not others:
            return False
        furthest = max(
            others, key=lambda v: self._peer_by_id[v.id].progress.match_index
        )
        return await self.transfer_to(furthest)

    async def transfer_to(self, voter: members.Member) -> bool:
        """Stops leading and asks a voter that has the whole log to lead.

        Returns:
            Whether it was asked.
        """
        core = self._core
        self.is_transferring = True
        try:
            if not await self._settle(voter):
                return False
        finally:
            self.is_transferring = False
        core.step_down("transfer")
        request = messages.ElectNowRequest(core.id, voter.id, self.term)
        try:
            await core.transport.call(
                voter.peer, request, core.settings.call_timeout_ms
            )
        except errors.PeerUnreachableError:
            return False
        return True

    async def _settle(self, voter: members.Member) -> bool:
        """Waits until nothing is pending and a voter has the whole log."""
        core = self._core
        deadline_ms = core.clock.now_ms() + core.settings.election_timeout_ms
        progress = self.progress(voter.id)
        if progress is None:
            return False
        while core.clock.now_ms() < deadline_ms:
            if core.leadership is not self:
                return False
            has_all = progress.match_index >= core.log.last_index
            if has_all and not self._result_by_index:
                return True
            await core.clock.sleep(TRANSFER_POLL_MS)
        return False

    def lease_end_ms(self) -> float:
        """Returns until when no other member can be elected."""
        now_ms = self._core.clock.now_ms()
        heard_ms = self._quorum_value(now_ms, _acknowledged_ms)
        return heard_ms + self._core.settings.lease_ms

    def has_lease(self) -> bool:
        """Returns whether reads are current."""
        if self._core.leadership is not self or self.is_transferring:
            return False
        return self._core.clock.now_ms() < self.lease_end_ms()

    def has_lapsed(self) -> bool:
        """Returns whether it may not act as leader any more."""
        now_ms = self._core.clock.now_ms()
        first_end_ms = self._started_ms + self._core.settings.lease_ms
        return now_ms >= max(first_end_ms, self.lease_end_ms())

    def _append(
        self, kind: entries.EntryKind, data: bytes
    ) -> asyncio.Future[bytes]:
        core = self._core
        index = core.log.last_index + 1
        result: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._result_by_index[index] = result
        core.append(index, [entries.Entry(index, self.term, kind, data)])
        for peer in self._peer_by_id.values():
            peer.progress.wake.set()
        return result

    def _start_peer(self, member: members.Member) -> None:
        progress = peers.Progress(self._core.log.last_index + 1)
        replicator = peers.Replicator(self._core, self, member, progress)
        name = f"replicate to {member.id}"
        task = self._core.spawn(replicator.run(), name)
        self._peer_by_id[member.id] = _PeerTask(progress, task)

    def _quorum_value(self, own: float, read: _Reader) -> float:
        """Returns the highest value that a quorum of voters has reached."""
        core = self._core
        value_by_id: dict[members.MemberId, float] = {}
        for voter in core.configuration.voters():
            peer = self._peer_by_id.get(voter.id)
            known = read(peer.progress) if peer else float("-inf")
            value_by_id[voter.id] = own if voter.id == core.id else known
        return core.configuration.quorum_value(value_by_id)


if TYPE_CHECKING:
    from collections.abc import Callable

    _Reader = Callable[[peers.Progress], float]


def _match_index(progress: peers.Progress) -> float:
    return progress.match_index


def _acknowledged_ms(progress: peers.Progress) -> float:
    return progress.acknowledged_ms


__all__ = ["TRANSFER_POLL_MS", "Leadership"]
