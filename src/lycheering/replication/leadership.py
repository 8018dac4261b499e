"""The work of a member as the leader of one term."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.replication import errors
from lycheering.replication import members
from lycheering.replication import messages
from lycheering.replication import replicator
from lycheering.store import entries

if TYPE_CHECKING:
    from lycheering.replication import core as cores

TRANSFER_POLL_MS = 5.0


@dataclasses.dataclass
class _PeerTask:
    """The task that replicates to one other member, and its progress."""

    progress: replicator.Progress
    task: asyncio.Task[None]


class Leadership:
    """Replicates and commits entries while this member leads one term.

    Attributes:
        term: The term.
        first_index: Index of the first entry of the term.
        is_transferring: Whether leadership is being handed to another member.
    """

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self.term = core.term
        self.first_index = core.log.last_index + 1
        self.is_transferring = False
        self._started_ms = core.clock.now_ms()
        self._peer_by_id: dict[members.MemberId, _PeerTask] = {}
        self._future_by_index: dict[int, asyncio.Future[bytes]] = {}

    def start(self) -> None:
        """Appends the first entry of the term and starts replication."""
        self.refresh_peers()
        self._append(entries.EntryKind.NO_OPERATION, b"")

    def stop(self) -> None:
        """Cancels all tasks; pending proposals end with an unknown outcome."""
        for peer in self._peer_by_id.values():
            peer.task.cancel()
        self._peer_by_id = {}
        for future in self._future_by_index.values():
            if not future.done():
                message = "the leader stepped down"
                future.set_exception(errors.OutcomeUnknownError(message))
                # marks the error as retrieved, as the proposer may have
                # stopped waiting
                future.exception()
        self._future_by_index = {}

    def propose(self, command: bytes) -> asyncio.Future[bytes]:
        """Appends a command.

        Returns:
            A future of the state machine's result.

        Raises:
            UnavailableError: Too many proposals are pending.
        """
        if (
            len(self._future_by_index)
            >= self._core.settings.max_pending_proposals
        ):
            raise errors.UnavailableError("too many proposals are pending")
        return self._append(entries.EntryKind.COMMAND, command)

    def can_propose_configuration(self) -> bool:
        """Returns whether the next configuration may be proposed.

        That requires that the configuration in use and an entry of this term
        are committed.
        """
        core = self._core
        required_index = max(core.history.latest.index, self.first_index)
        return core.commit_index >= required_index

    def propose_configuration(
        self, configuration: members.Configuration
    ) -> asyncio.Future[bytes]:
        """Appends a configuration that differs by at most one member.

        Returns:
            A future that is done when the configuration is applied.

        Raises:
            MemberChangeError: The previous configuration is not committed yet.
        """
        if not self.can_propose_configuration():
            message = "the previous configuration is not committed"
            raise errors.MemberChangeError(message)
        identified = configuration.with_group_id(self._core.id.disk_id)
        return self._append(
            entries.EntryKind.CONFIGURATION, identified.encode()
        )

    def resolve(self, index: int, result: bytes) -> None:
        """Hands the result of an entry to its proposer."""
        future = self._future_by_index.pop(index, None)
        if future is not None and not future.done():
            future.set_result(result)

    def has_pending_proposals(self) -> bool:
        """Returns whether any proposal has no result yet."""
        return bool(self._future_by_index)

    def progress(
        self, member_id: members.MemberId
    ) -> replicator.Progress | None:
        """Returns the replication progress of another member, if known."""
        peer = self._peer_by_id.get(member_id)
        return peer.progress if peer else None

    def refresh_peers(self) -> None:
        """Starts and cancels replication tasks to match the configuration."""
        core = self._core
        other_by_id = {
            member.id: member
            for member in core.configuration.members
            if member.id != core.id
        }
        for member_id in list(self._peer_by_id):
            if member_id not in other_by_id:
                self._peer_by_id.pop(member_id).task.cancel()
        for member_id, member in other_by_id.items():
            if member_id not in self._peer_by_id:
                self._start_peer(member)

    def advance_commit(self) -> None:
        """Raises the commit index to what a quorum has synced.

        Only an entry of this term may be committed by counting: an older one
        on a quorum can still be replaced by another leader.
        """
        core = self._core
        if core.leadership is not self:
            return
        index = self._quorum_value(core.log.synced_index, _match_index)
        if index <= core.commit_index:
            return
        if core.log.term_at(int(index)) == self.term:
            core.raise_commit_index(int(index))

    async def transfer(self) -> bool:
        """Hands leadership to the voter whose log is the most up to date.

        Returns:
            Whether a voter was asked to start an election.
        """
        others = [
            voter
            for voter in self._core.configuration.voters()
            if voter.id in self._peer_by_id
        ]
        if not others:
            return False
        most_caught_up = max(
            others, key=lambda v: self._peer_by_id[v.id].progress.match_index
        )
        return await self.transfer_to(most_caught_up)

    async def transfer_to(self, voter: members.Member) -> bool:
        """Steps down and asks a voter that has the whole log to be elected.

        Returns:
            Whether the voter was asked.
        """
        core = self._core
        self.is_transferring = True
        try:
            if not await self._wait_until_caught_up(voter):
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

    async def _wait_until_caught_up(self, voter: members.Member) -> bool:
        """Waits until no proposal is pending and a voter has the whole log.

        Returns:
            Whether that came about within an election timeout.
        """
        core = self._core
        deadline_ms = core.clock.now_ms() + core.settings.election_timeout_ms
        progress = self.progress(voter.id)
        if progress is None:
            return False
        while core.clock.now_ms() < deadline_ms:
            if core.leadership is not self:
                return False
            has_whole_log = progress.match_index >= core.log.last_index
            if has_whole_log and not self._future_by_index:
                return True
            await core.clock.sleep(TRANSFER_POLL_MS)
        return False

    def lease_end_ms(self) -> float:
        """Returns the time before which no other member can be elected."""
        now_ms = self._core.clock.now_ms()
        quorum_ack_ms = self._quorum_value(now_ms, _acknowledged_ms)
        return quorum_ack_ms + self._core.settings.lease_ms

    def has_lease(self) -> bool:
        """Returns whether reads of the local state are current."""
        if self._core.leadership is not self or self.is_transferring:
            return False
        return self._core.clock.now_ms() < self.lease_end_ms()

    def has_lapsed(self) -> bool:
        """Returns whether the lease has expired, so that it must step down.

        A new leader has one lease period to reach a quorum.
        """
        now_ms = self._core.clock.now_ms()
        initial_lease_end_ms = self._started_ms + self._core.settings.lease_ms
        return now_ms >= max(initial_lease_end_ms, self.lease_end_ms())

    def _append(
        self, kind: entries.EntryKind, data: bytes
    ) -> asyncio.Future[bytes]:
        core = self._core
        index = core.log.last_index + 1
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_index[index] = future
        core.append(index, [entries.Entry(index, self.term, kind, data)])
        for peer in self._peer_by_id.values():
            peer.progress.wake.set()
        return future

    def _start_peer(self, member: members.Member) -> None:
        progress = replicator.Progress(self._core.log.last_index + 1)
        peer_replicator = replicator.Replicator(
            self._core, self, member, progress
        )
        name = f"replicate to {member.id}"
        task = self._core.spawn(peer_replicator.run(), name)
        self._peer_by_id[member.id] = _PeerTask(progress, task)

    def _quorum_value(
        self, own_value: float, read_value: _ProgressReader
    ) -> float:
        """Returns the highest value that a quorum of voters has reached.

        Args:
            own_value: The value of this member.
            read_value: Reads the value of another member.
        """
        core = self._core
        value_by_id: dict[members.MemberId, float] = {}
        for voter in core.configuration.voters():
            peer = self._peer_by_id.get(voter.id)
            peer_value = read_value(peer.progress) if peer else float("-inf")
            value_by_id[voter.id] = (
                own_value if voter.id == core.id else peer_value
            )
        return core.configuration.quorum_value(value_by_id)


if TYPE_CHECKING:
    from collections.abc import Callable

    _ProgressReader = Callable[[replicator.Progress], float]


def _match_index(progress: replicator.Progress) -> float:
    return progress.match_index


def _acknowledged_ms(progress: replicator.Progress) -> float:
    return progress.acknowledged_ms


__all__ = ["TRANSFER_POLL_MS", "Leadership"]
