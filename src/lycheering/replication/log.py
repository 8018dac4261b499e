"""Public interface of the replicated log."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.replication import applier
from lycheering.replication import bootstrap
from lycheering.replication import changes
from lycheering.replication import core as cores
from lycheering.replication import elections
from lycheering.replication import errors
from lycheering.replication import receiver
from lycheering.replication import settings

if TYPE_CHECKING:
    from lycheering.replication import api
    from lycheering.replication import members
    from lycheering.replication import messages
    from lycheering.store import storage


@dataclasses.dataclass(frozen=True)
class MemberStatus:
    """One member's status, as another member or the member itself knows it.

    Attributes:
        id: Its identity.
        address: The address at which it listens.
        is_voter: Whether it votes.
        match_index: Last index up to which its log is known to be synced and
            to agree with the leader's; None on a follower, unless its own.
        last_contact_ms: Time since the last request was sent that it answered;
            None when unknown.
        has_lost_disk: Whether a member with another disk answers at its
            address.
    """

    id: members.MemberId
    address: str
    is_voter: bool
    match_index: int | None
    last_contact_ms: float | None
    has_lost_disk: bool = False


@dataclasses.dataclass(frozen=True)
class GroupStatus:
    """The group as this member sees it.

    Attributes:
        id: Identity of this member.
        role: Its role in the term.
        term: The highest term it has seen.
        leader_id: The leader of the term, None if unknown.
        leader_contact_ms: Time since it last heard a leader; 0 on a leader.
        commit_index: Last index known to be synced on a quorum.
        applied_index: Last index applied to the state machine.
        last_index: Last index of its log.
        synced_index: Last index of its log that is on its disk.
        change: The pending membership change, None for none.
        members: Status of each member.
        failure: The error that stopped this member for good, or empty.
    """

    id: members.MemberId
    role: cores.Role
    term: int
    leader_id: members.MemberId | None
    leader_contact_ms: float
    commit_index: int
    applied_index: int
    last_index: int
    synced_index: int
    change: members.MemberChange | None
    members: list[MemberStatus]
    failure: str


class ReplicatedLog:
    """One member of a group whose members all apply the same commands."""

    def __init__(
        self,
        store: storage.Storage,
        address: members.PeerAddress,
        initial_members: list[members.PeerAddress],
        machine: api.StateMachine,
        transport: api.Transport,
        time: clock.Clock,
        options: settings.ReplicationSettings,
        randomness: random.Random | None = None,
    ) -> None:
        """Loads the member from disk; `start` makes it join the group.

        Args:
            store: Its open data folder, which `stop` closes.
            address: The address at which it listens.
            initial_members: The members of a new group, the same list on each.
            machine: The state machine that commands are applied to.
            transport: Sends requests to other members.
            time: The clock.
            options: Settings.
            randomness: Source of random election timeouts.
        """
        core = cores.Core(store, address, machine, transport, time, options)
        self._core = core
        random_source = randomness or random.Random()
        self._elections = elections.Elections(core, random_source)
        self._receiver = receiver.Receiver(core, self._elections)
        self._applier = applier.Applier(core)
        self._bootstrap = bootstrap.Bootstrap(core, initial_members)
        self._changes = changes.MemberChanges(core)

    def start(self) -> None:
        """Starts the member's tasks."""
        core = self._core
        core.log.on_synced = self._on_synced
        core.spawn(self._elections.run(), "elections")
        core.spawn(self._applier.run(), "applier")
        core.spawn(self._bootstrap.run(), "bootstrap")
        core.spawn(self._changes.run(), "member changes")

    async def stop(self) -> None:
        """Cancels the member's tasks and closes the data folder."""
        self._core.step_down("stopped")
        await self._core.cancel_tasks()
        await self._core.store.close()

    async def handle(self, message: messages.Message) -> messages.Message:
        """Handles a request of another member and returns the reply."""
        return await self._receiver.handle(message)

    async def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Commits a command and returns the state machine's result.

        Args:
            command: The command.
            timeout_ms: Longest wait for the result, in ms.

        Raises:
            NotLeaderError: This member is not the leader; nothing was appended.
            UnavailableError: The member cannot serve; nothing was appended.
            OutcomeUnknownError: The command may or may not be committed.
        """
        result = self._core.require_leadership().propose(command)
        try:
            async with asyncio.timeout(timeout_ms / clock.MS_PER_S):
                return await result
        except TimeoutError as error:
            message = f"no result within {timeout_ms} ms"
            raise errors.OutcomeUnknownError(message) from error

    async def read_barrier(self, timeout_ms: float) -> None:
        """Waits until everything committed before this call is applied.

        The caller reads the state right after it, without an await in between.
        After any await it calls `check_lease` before it reads again.

        Raises:
            NotLeaderError: This member is not the leader.
            UnavailableError: The entries were not applied in time.
        """
        core = self._core
        leadership = core.require_leadership()
        # A new leader knows the commit index only once an entry of its own
        # term is committed.
        index = max(core.commit_index, leadership.first_index)
        if core.applied_index < index:
            try:
                async with asyncio.timeout(timeout_ms / clock.MS_PER_S):
                    await core.applied.wait(index)
            except TimeoutError as error:
                message = f"state not up to date within {timeout_ms} ms"
                raise errors.UnavailableError(message) from error
        self.check_lease()

    @property
    def term(self) -> int:
        """The highest term that this member knows."""
        return self._core.term

    def check_lease(self) -> None:
        """Checks that a read of the state is current at this moment.

        Raises:
            NotLeaderError: Another member may be the leader by now.
            UnavailableError: The member has stopped.
        """
        leadership = self._core.require_leadership()
        if (
            not leadership.has_lease()
            or self._core.applied_index < leadership.first_index
        ):
            raise errors.NotLeaderError(None)

    async def transfer_leadership(self) -> bool:
        """Hands leadership to the voter whose log is the most up to date.

        Returns:
            Whether another member was asked to start an election.
        """
        leadership = self._core.leadership
        if leadership is None:
            return False
        return await leadership.transfer()

    async def replace(
        self, old: members.MemberId, new: members.PeerAddress
    ) -> changes.ChangeReport:
        """Replaces a member with an instance that has an empty disk.

        Idempotent: if it fails, the caller may repeat it on any leader until
        it returns.

        Returns:
            The report, once the new member has caught up with the log and
            votes, and the old member is removed.

        Raises:
            NotLeaderError: This member is not, or no longer, the leader.
            MemberChangeError: The change is not possible now, or was cancelled.
            NewcomerLostError: The new member lost its disk.
            PeerUnreachableError: The new member did not answer.
        """
        change = await self._changes.begin(new, old)
        return await self._changes.finish(change)

    async def add(self, new: members.PeerAddress) -> changes.ChangeReport:
        """Adds a voter; see `replace`."""
        change = await self._changes.begin(new, None)
        return await self._changes.finish(change)

    async def begin_change(
        self,
        joining: members.PeerAddress | None,
        leaving: members.MemberId | None,
    ) -> members.MemberChange:
        """Commits a membership change as pending and does not wait for its end.

        Raises:
            NotLeaderError: This member is not the leader.
            MemberChangeError: The change is not possible now.
            OutcomeUnknownError: It may or may not be pending.
            PeerUnreachableError: The new member did not answer.
        """
        return await self._changes.begin(joining, leaving)

    async def add_learner(self, new: members.PeerAddress) -> None:
        """Adds a member that receives the log and does not vote.

        It becomes a voter by `add`, or by `replace` in the place of another.

        Raises:
            NotLeaderError: This member is not the leader.
            MemberChangeError: The change is not possible now.
            OutcomeUnknownError: It may or may not have been added.
            PeerUnreachableError: The new member did not answer.
        """
        await self._changes.add_learner(new)

    async def remove(self, old: members.MemberId) -> changes.ChangeReport:
        """Removes a member; see `replace`."""
        change = await self._changes.begin(None, old)
        return await self._changes.finish(change)

    async def cancel_change(self) -> None:
        """Cancels the pending membership change, if there is one.

        Raises:
            NotLeaderError: This member is not the leader.
        """
        await self._changes.cancel()

    def status(self) -> GroupStatus:
        """Returns the group as this member sees it."""
        core = self._core
        failure = core.failure or core.log.failure
        return GroupStatus(
            id=core.id,
            role=core.role,
            term=core.term,
            leader_id=core.leader_id,
            leader_contact_ms=self._leader_contact_ms(),
            commit_index=core.commit_index,
            applied_index=core.applied_index,
            last_index=core.log.last_index,
            synced_index=core.log.synced_index,
            change=core.configuration.change,
            members=[
                self._member_status(m) for m in core.configuration.members
            ],
            failure=str(failure) if failure else "",
        )

    def leader_hint(self) -> members.PeerAddress | None:
        """Returns the leader's address, or None if unknown or this member."""
        return self._core.leader_hint()

    def _leader_contact_ms(self) -> float:
        core = self._core
        if core.leadership is not None:
            return 0.0
        return core.clock.now_ms() - core.leader_contact_ms

    def _member_status(self, member: members.Member) -> MemberStatus:
        core = self._core
        match_index: int | None = None
        contact_ms: float | None = None
        leadership = core.leadership
        progress = leadership.progress(member.id) if leadership else None
        if member.id == core.id:
            match_index = core.log.synced_index
            contact_ms = 0.0
        elif progress is not None:
            match_index = progress.match_index
            contact_ms = core.clock.now_ms() - progress.acknowledged_ms
        if contact_ms == float("inf"):
            contact_ms = None
        return MemberStatus(
            member.id,
            member.address,
            member.is_voter,
            match_index,
            contact_ms,
            progress is not None and progress.has_different_disk,
        )

    def _on_synced(self) -> None:
        core = self._core
        if core.log.failure is not None:
            core.fail(core.log.failure)
        elif core.leadership is not None:
            core.leadership.advance_commit()


__all__ = ["GroupStatus", "MemberStatus", "ReplicatedLog"]
