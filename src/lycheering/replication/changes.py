"""Membership changes of the group, carried out one step at a time."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.replication import bootstrap
from lycheering.replication import errors
from lycheering.replication import members
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores
    from lycheering.replication import leadership as leaderships

_LOG = logs.get("replication")


@dataclasses.dataclass(frozen=True)
class ChangeReport:
    """The outcome of a completed membership change.

    Attributes:
        joined: The member that was added as a voter, None for none.
        left: The member that was removed, None for none.
        synced_index: Last log index that the added member had on its disk when
            the change completed.
    """

    joined: members.MemberId | None
    left: members.MemberId | None
    synced_index: int


@dataclasses.dataclass(frozen=True)
class _CatchUpRound:
    """One round of waiting for a new member to catch up.

    Attributes:
        leadership: The leadership during which the round began.
        configuration_index: Log index of the configuration in use then.
        target_index: Commit index at the beginning, which the new member has
            to sync.
        began_ms: When the round began.
    """

    leadership: leaderships.Leadership
    configuration_index: int
    target_index: int
    began_ms: float

    def belongs_to(
        self, leadership: leaderships.Leadership, index: int
    ) -> bool:
        return (
            self.leadership is leadership and self.configuration_index == index
        )


class MemberChanges:
    """Carries out the pending change of the configuration, on the leader.

    Each step is a log entry of its own, so a new leader resumes a change
    where the previous one stopped.
    """

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self._catch_up_round: _CatchUpRound | None = None

    async def run(self) -> None:
        """Takes the next step of a pending change when its conditions hold."""
        core = self._core
        while core.failure is None:
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
            leadership = core.leadership
            change = core.configuration.change
            if leadership is None or change is None:
                continue
            try:
                await self._step(leadership, change)
            except errors.ReplicationError as error:
                _LOG.event("member_change_waiting", reason=error)

    async def begin(
        self,
        joining: members.PeerAddress | None,
        leaving: members.MemberId | None,
    ) -> members.MemberChange:
        """Commits a change as pending, unless it already is.

        Args:
            joining: Address of the instance to add as a voter, None for none.
            leaving: The member to remove, None for none.

        Returns:
            The change, with the identity of the new member.

        Raises:
            MemberChangeError: The change is not possible now.
            NotLeaderError: This member is not the leader.
            PeerUnreachableError: The new member did not answer.
        """
        core = self._core
        core.require_leadership()
        newcomer = await self._identify_newcomer(joining)
        leadership = await self._wait_until_proposable()
        change = members.MemberChange(
            newcomer.id if newcomer else None, leaving
        )
        configuration = core.configuration
        if configuration.change == change:
            return change
        if _replaces_lost_newcomer(configuration.change, change):
            await self.cancel()
            leadership = await self._wait_until_proposable()
            configuration = core.configuration
        if configuration.change is not None:
            raise errors.MemberChangeError(
                "another membership change is pending"
            )
        if _is_complete(configuration, change):
            return change
        _check_change(configuration, change)
        started = configuration.with_change(change)
        if newcomer is not None and configuration.find(newcomer.id) is None:
            started = started.with_learner(newcomer)
        _LOG.event(
            "member_change_started", joining=change.joining, leaving=leaving
        )
        await leadership.propose_configuration(started)
        return change

    async def add_learner(self, joining: members.PeerAddress) -> None:
        """Adds a member that receives the log and does not vote.

        Returns once that is committed, at once if it already is a member.

        Raises:
            MemberChangeError: Another change is pending, or another disk of
                the instance is a learner already.
            NotLeaderError: This member is not the leader.
            OutcomeUnknownError: It may or may not have been added.
            PeerUnreachableError: The instance did not answer.
        """
        core = self._core
        core.require_leadership()
        newcomer = await self._identify_newcomer(joining)
        assert newcomer is not None
        leadership = await self._wait_until_proposable()
        configuration = core.configuration
        if configuration.find(newcomer.id) is not None:
            return
        if configuration.change is not None:
            raise errors.MemberChangeError(
                "another membership change is pending"
            )
        for member in configuration.members:
            is_same = member.id.instance == newcomer.id.instance
            if is_same and not member.is_voter:
                raise errors.MemberChangeError(f"{member.id} is a learner")
        _LOG.event("learner_added", id=newcomer.id)
        await leadership.propose_configuration(
            configuration.with_learner(newcomer)
        )

    async def finish(self, change: members.MemberChange) -> ChangeReport:
        """Waits until a change is complete.

        Raises:
            NotLeaderError: This member is no longer the leader.
            MemberChangeError: The change was cancelled.
            NewcomerLostError: The new member lost its disk.
        """
        core = self._core
        while True:
            leadership = core.require_leadership()
            latest = core.history.latest
            is_committed = latest.index <= core.commit_index
            if is_committed and latest.configuration.change != change:
                break
            self._check_newcomer(leadership, change)
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
        if not _is_complete(latest.configuration, change):
            raise errors.MemberChangeError(
                "the membership change was cancelled"
            )
        index = self._synced_index(core.require_leadership(), change.joining)
        return ChangeReport(change.joining, change.leaving, index)

    def _check_newcomer(
        self, leadership: leaderships.Leadership, change: members.MemberChange
    ) -> None:
        if change.joining is None:
            return
        progress = leadership.progress(change.joining)
        if progress is not None and progress.has_different_disk:
            raise errors.NewcomerLostError(str(change.joining))

    async def cancel(self) -> None:
        """Cancels the pending change, and removes the member it was adding.

        Raises:
            NotLeaderError: This member is not the leader.
        """
        core = self._core
        leadership = await self._wait_until_proposable()
        change = core.configuration.change
        if change is None:
            return
        _LOG.event("member_change_cancelled", joining=change.joining)
        remaining = core.configuration.without(change.joining)
        await leadership.propose_configuration(remaining)

    async def _wait_until_proposable(self) -> leaderships.Leadership:
        """Waits until the leader may propose another configuration.

        Returns:
            The leadership of this member.

        Raises:
            NotLeaderError: This member is not, or no longer, the leader.
        """
        core = self._core
        leadership = core.require_leadership()
        while not leadership.can_propose_configuration():
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
            leadership = core.require_leadership()
        return leadership

    async def _identify_newcomer(
        self, joining: members.PeerAddress | None
    ) -> members.Member | None:
        if joining is None:
            return None
        found = await bootstrap.identify(self._core, joining)
        configuration = self._core.configuration
        is_known = configuration.find(found.member_id) is not None
        # a member that was removed may come back with its log
        is_of_group = found.group_id == configuration.group_id != ""
        # a term without an entry may be that of a leader whose admission of
        # this member got lost
        is_empty = not (found.has_log and found.has_entries)
        if not (is_empty or is_known or is_of_group):
            raise errors.MemberChangeError(
                f"{found.member_id} already holds the log of a group"
            )
        return members.Member(found.member_id, joining.address, False)

    async def _step(
        self, leadership: leaderships.Leadership, change: members.MemberChange
    ) -> None:
        core = self._core
        configuration = core.configuration
        if not leadership.can_propose_configuration():
            return
        if change.leaving == core.id:
            await self._transfer_leadership(leadership)
            return
        joining = change.joining
        if joining is not None:
            if not self._has_caught_up(leadership, joining):
                return
            if not configuration.is_voter(joining):
                await leadership.propose_configuration(
                    configuration.with_voter(joining)
                )
                _LOG.event("member_promoted", id=joining)
                return
        await leadership.propose_configuration(
            configuration.without(change.leaving)
        )
        _LOG.event(
            "member_change_finished", joined=joining, left=change.leaving
        )

    def _has_caught_up(
        self, leadership: leaderships.Leadership, joining: members.MemberId
    ) -> bool:
        """Returns whether a new member syncs entries as fast as they arrive.

        That is so when it synced everything that was committed at the
        beginning of a round in less than an election timeout. Waiting for the
        very last entry might never end under load.
        """
        core = self._core
        now_ms = core.clock.now_ms()
        entry_index = core.history.latest.index
        current_round = self._catch_up_round
        if current_round is None or not current_round.belongs_to(
            leadership, entry_index
        ):
            current_round = _CatchUpRound(
                leadership, entry_index, core.commit_index, now_ms
            )
            self._catch_up_round = current_round
        if self._synced_index(leadership, joining) < current_round.target_index:
            return False
        self._catch_up_round = None
        return (
            now_ms - current_round.began_ms < core.settings.election_timeout_ms
        )

    def _synced_index(
        self,
        leadership: leaderships.Leadership,
        member_id: members.MemberId | None,
    ) -> int:
        if member_id is None or member_id == self._core.id:
            return self._core.log.synced_index
        progress = leadership.progress(member_id)
        return progress.match_index if progress else 0

    async def _transfer_leadership(
        self, leadership: leaderships.Leadership
    ) -> None:
        for voter in self._core.configuration.voters():
            if voter.id == self._core.id:
                continue
            if await leadership.transfer_to(voter):
                return


def _replaces_lost_newcomer(
    pending: members.MemberChange | None, requested: members.MemberChange
) -> bool:
    """Returns whether a request repeats a change after losing a disk.

    The instance that is being added then has a new disk, hence a new identity.
    """
    if pending is None or pending.joining is None or requested.joining is None:
        return False
    is_same = pending.leaving == requested.leaving
    return is_same and pending.joining.instance == requested.joining.instance


def _check_change(
    configuration: members.Configuration, change: members.MemberChange
) -> None:
    leaving = change.leaving
    if leaving is not None and configuration.find(leaving) is None:
        raise errors.MemberChangeError(f"{leaving} is not a member")
    joining = change.joining
    if joining is None:
        return
    if configuration.is_voter(joining):
        raise errors.MemberChangeError(f"{joining} already votes")
    # an instance that is listed twice would count twice in a quorum
    for member in configuration.members:
        is_same = member.id.instance == joining.instance
        if is_same and member.id not in (joining, leaving):
            message = f"{joining.instance} is already a member, as {member.id}"
            raise errors.MemberChangeError(message)


def _is_complete(
    configuration: members.Configuration, change: members.MemberChange
) -> bool:
    if configuration.change is not None:
        return False
    joined = change.joining is None or configuration.is_voter(change.joining)
    left = configuration.find(change.leaving) is None
    return joined and left


__all__ = ["ChangeReport", "MemberChanges"]
