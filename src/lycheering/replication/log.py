"""The replicated log as the rest of the program uses it."""

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
    """What the leader knows of a member.

    Attributes:
        id: Its identity.
        address: Where it listens.
        is_voter: Whether it votes.
        match_index: Up to where its log is synced, None on a follower.
        last_contact_ms: How long ago it was sent a message that it answered,
            None when unknown.
    """

    id: members.MemberId
    address: str
    is_voter: bool
    match_index: int | None
    last_contact_ms: float | None


@dataclasses.dataclass(frozen=True)
class GroupStatus:
    """The group as this member sees it.

    Attributes:
        id: Identity of this member.
        role: What it does.
        term: Its term.
        leader_id: Who leads, as far as known.
        commit_index: Last index known to be on a quorum.
        applied_index: Last index that the state machine has taken.
        last_index: Last index of its log.
        synced_index: Last durable index of its log.
        change: The change of members under way.
        members: The members.
        failure: Why this member stopped for good.
    """

    id: members.MemberId
    role: cores.Role
    term: int
    leader_id: members.MemberId | None
    commit_index: int
    applied_index: int
    last_index: int
    synced_index: int
    change: members.MemberChange | None
    members: list[MemberStatus]
    failure: str


class ReplicatedLog:
    """One member of a group that applies the same commands everywhere."""

    def __init__(
        self,
        store: storage.Storage,
        address: members.PeerAddress,
        initial: list[members.PeerAddress],
        machine: api.StateMachine,
        transport: api.Transport,
        time: clock.Clock,
        options: settings.ReplicationSettings,
        randomness: random.Random | None = None,
    ) -> None:
        """Loads the member; it takes no part before it is started.

        Args:
            store: Its open data folder, which stop closes.
            address: Where it listens.
            initial: The members of a new group, the same list on each.
            machine: What the commands are applied to.
            transport: Carries messages to other members.
            time: The clock.
            options: Settings.
            randomness: Source of the election timeouts.
        """
        core = cores.Core(store, address, machine, transport, time, options)
        self._core = core
        chosen = randomness or random.Random()
        self._elections = elections.Elections(core, chosen)
        self._receiver = receiver.Receiver(core, self._elections)
        self._applier = applier.Applier(core)
        self._bootstrap = bootstrap.Bootstrap(core, initial)
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
        """Ends all tasks and closes the data folder."""
        self._core.step_down("stopped")
        await self._core.cancel_tasks()
        await self._core.store.close()

    async def handle(self, message: messages.Message) -> messages.Message:
        """Returns the reply to another member's request."""
        return await self._receiver.handle(message)

    async def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Commits a command and returns the state machine's result.

        Args:
            command: The command.
            timeout_ms: How long to wait.

        Raises:
            NotLeaderError: This member does not lead; nothing was appended.
            UnavailableError: Nothing was appended.
            OutcomeUnknownError: It may or may not take effect.
        """
        result = self._core.require_leadership().propose(command)
        try:
            async with asyncio.timeout(timeout_ms / clock.MS_PER_S):
                return await result
        except TimeoutError as error:
            message = f"no quorum within {timeout_ms} ms"
            raise errors.OutcomeUnknownError(message) from error

    async def read_barrier(self, timeout_ms: float) -> None:
        """Waits until the state holds all that was committed before.

        Read the state right after it, without an await in between; check the
        lease again after any await.

        Raises:
            NotLeaderError: This member does not lead.
            UnavailableError: The state did not get there in time.
        """
        core = self._core
        led = core.require_leadership()
        # only an entry of its own term tells a leader what is committed
        index = max(core.commit_index, led.first_index)
        if core.applied_index < index:
            try:
                async with asyncio.timeout(timeout_ms / clock.MS_PER_S):
                    await core.applied.wait(index)
            except TimeoutError as error:
                message = f"not caught up within {timeout_ms} ms"
                raise errors.UnavailableError(message) from error
        self.check_lease()

    def check_lease(self) -> None:
        """Checks that the state read now is current.

        Raises:
            NotLeaderError: Another member may lead by now.
            UnavailableError: The member has stopped.
        """
        led = self._core.require_leadership()
        if not led.has_lease() or self._core.applied_index < led.first_index:
            raise errors.NotLeaderError(None)

    async def transfer_leadership(self) -> bool:
        """Hands the leadership to the voter that is furthest.

        Returns:
            Whether another member was asked to take over.
        """
        led = self._core.leadership
        if led is None:
            return False
        return await led.transfer()

    async def replace(
        self, old: members.MemberId, new: members.PeerAddress
    ) -> changes.ChangeReport:
        """Replaces a member by an instance with an empty disk.

        May be called again, on any leader, until it returns.

        Returns:
            The report, once the newcomer has synced the whole log and votes,
            and the old member has left.

        Raises:
            NotLeaderError: This member does not lead (any more).
            MemberChangeError: The change is not possible now.
            NewcomerLostError: The newcomer has another disk now.
            PeerUnreachableError: The newcomer did not answer.
        """
        change = await self._changes.begin(new, old)
        return await self._changes.finish(change)

    async def add(self, new: members.PeerAddress) -> changes.ChangeReport:
        """Adds a voter; see replace."""
        change = await self._changes.begin(new, None)
        return await self._changes.finish(change)

    async def remove(self, old: members.MemberId) -> changes.ChangeReport:
        """Removes a member; see replace."""
        change = await self._changes.begin(None, old)
        return await self._changes.finish(change)

    async def cancel_change(self) -> None:
        """Gives up the change of members under way.

        Raises:
            NotLeaderError: This member does not lead.
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
        """Returns where another member that leads listens, if known."""
        return self._core.leader_hint()

    def _member_status(self, member: members.Member) -> MemberStatus:
        core = self._core
        match_index: int | None = None
        contact_ms: float | None = None
        led = core.leadership
        progress = led.progress(member.id) if led else None
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
        )

    def _on_synced(self) -> None:
        core = self._core
        if core.log.failure is not None:
            core.fail(core.log.failure)
        elif core.leadership is not None:
            core.leadership.advance_commit()


__all__ = ["GroupStatus", "MemberStatus", "ReplicatedLog"]
