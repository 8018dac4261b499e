"""Changes of the members, one step after another."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.replication import bootstrap
from lycheering.replication import errors
from lycheering.replication import members
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores
    from lycheering.replication import leadership

_LOG = logs.get("replication")


@dataclasses.dataclass(frozen=True)
class ChangeReport:
    """A change of the members that is over.

    Attributes:
        joined: Who joined; it votes and has synced the log to the index.
        left: Who left.
        synced_index: Up to where the newcomer had synced the log when the
            other left.
    """

    joined: members.MemberId | None
    left: members.MemberId | None
    synced_index: int


@dataclasses.dataclass(frozen=True)
class _Round:
    """One round of waiting for a newcomer to catch up."""

    led: leadership.Leadership
    configuration_index: int
    target_index: int
    began_ms: float

    def is_of(self, led: leadership.Leadership, index: int) -> bool:
        return self.led is led and self.configuration_index == index


class MemberChanges:
    """Drives the change named in the configuration while this member leads.

    Each step is an entry of its own, so a new leader goes on where the old
    one stopped.
    """

    def __init__(self, core: cores.Core) -> None:
        self._core = core
        self._round: _Round | None = None

    async def run(self) -> None:
        """Takes the next step whenever it is due."""
        core = self._core
        while core.failure is None:
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
            led = core.leadership
            change = core.configuration.change
            if led is None or change is None:
                continue
            try:
                await self._step(led, change)
            except errors.ReplicationError as error:
                _LOG.event("member_change_waits", reason=error)

    async def begin(
        self,
        joining: members.PeerAddress | None,
        leaving: members.MemberId | None,
    ) -> members.MemberChange:
        """Commits that a change is under way, unless it is already.

        Raises:
            MemberChangeError: The change is not possible now.
            NotLeaderError: This member does not lead.
            PeerUnreachableError: The newcomer did not answer.
        """
        core = self._core
        core.require_leadership()
        newcomer = await self._newcomer(joining)
        led = await self._settled()
        change = members.MemberChange(
            newcomer.id if newcomer else None, leaving
        )
        configuration = core.configuration
        if configuration.change == change:
            return change
        if _lost_newcomer(configuration.change, change):
            await self.cancel()
            led = await self._settled()
            configuration = core.configuration
        if configuration.change is not None:
            raise errors.MemberChangeError("another change is under way")
        if _is_over(configuration, change):
            return change
        _check_new_change(configuration, change)
        started = members.Configuration(configuration.members, change)
        if newcomer is not None:
            started = configuration.with_learner(newcomer, change)
        _LOG.event(
            "member_change_started", joining=change.joining, leaving=leaving
        )
        await led.propose_configuration(started)
        return change

    async def finish(self, change: members.MemberChange) -> ChangeReport:
        """Waits until a change is over.

        Raises:
            NotLeaderError: This member stopped leading meanwhile.
            MemberChangeError: The change was cancelled.
            NewcomerLostError: The newcomer has lost its disk.
        """
        core = self._core
        while True:
            led = core.require_leadership()
            latest = core.history.latest
            is_committed = latest.index <= core.commit_index
            if is_committed and latest.configuration.change != change:
                break
            self._check_newcomer(led, change)
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
        if not _is_over(latest.configuration, change):
            raise errors.MemberChangeError("the change was cancelled")
        index = self._synced_index(core.require_leadership(), change.joining)
        return ChangeReport(change.joining, change.leaving, index)

    def _check_newcomer(
        self, led: leadership.Leadership, change: members.MemberChange
    ) -> None:
        if change.joining is None:
            return
        progress = led.progress(change.joining)
        if progress is not None and progress.is_displaced:
            raise errors.NewcomerLostError(str(change.joining))

    async def cancel(self) -> None:
        """Gives up the change under way; the newcomer leaves again.

        Raises:
            NotLeaderError: This member does not lead.
        """
        core = self._core
        led = await self._settled()
        change = core.configuration.change
        if change is None:
            return
        _LOG.event("member_change_cancelled", joining=change.joining)
        rest = core.configuration.without(change.joining)
        await led.propose_configuration(rest)

    async def _settled(self) -> leadership.Leadership:
        """Returns the leadership once it may propose another configuration.

        Raises:
            NotLeaderError: This member does not lead (any more).
        """
        core = self._core
        led = core.require_leadership()
        while not led.is_settled():
            await core.clock.sleep(core.settings.heartbeat_ms / 2)
            led = core.require_leadership()
        return led

    async def _newcomer(
        self, joining: members.PeerAddress | None
    ) -> members.Member | None:
        if joining is None:
            return None
        found = await bootstrap.identify(self._core, joining)
        is_known = self._core.configuration.find(found.member_id) is not None
        if found.has_log and not is_known:
            raise errors.MemberChangeError(
                f"{found.member_id} holds the log of a group"
            )
        return members.Member(found.member_id, joining.address, False)

    async def _step(
        self, led: leadership.Leadership, change: members.MemberChange
    ) -> None:
        core = self._core
        configuration = core.configuration
        if not led.is_settled():
            return
        if change.leaving == core.id:
            await self._hand_over(led)
            return
        joining = change.joining
        if joining is not None:
            if not self._has_caught_up(led, joining):
                return
            if not configuration.is_voter(joining):
                await led.propose_configuration(
                    configuration.with_voter(joining)
                )
                _LOG.event("member_promoted", id=joining)
                return
        await led.propose_configuration(configuration.without(change.leaving))
        _LOG.event(
            "member_change_finished", joined=joining, left=change.leaving
        )

    def _has_caught_up(
        self, led: leadership.Leadership, joining: members.MemberId
    ) -> bool:
        """Returns whether a newcomer syncs as fast as entries come.

        It has then synced all that was committed when the round began, and
        the round was short. Waiting for the very last entry could take for
        ever under load.
        """
        core = self._core
        now_ms = core.clock.now_ms()
        entry_index = core.history.latest.index
        current = self._round
        if current is None or not current.is_of(led, entry_index):
            current = _Round(led, entry_index, core.commit_index, now_ms)
            self._round = current
        if self._synced_index(led, joining) < current.target_index:
            return False
        self._round = None
        return now_ms - current.began_ms < core.settings.election_timeout_ms

    def _synced_index(
        self, led: leadership.Leadership, member_id: members.MemberId | None
    ) -> int:
        if member_id is None or member_id == self._core.id:
            return self._core.log.synced_index
        progress = led.progress(member_id)
        return progress.match_index if progress else 0

    async def _hand_over(self, led: leadership.Leadership) -> None:
        for voter in self._core.configuration.voters():
            if voter.id == self._core.id:
                continue
            if await led.transfer_to(voter):
                return


def _lost_newcomer(
    current: members.MemberChange | None, wanted: members.MemberChange
) -> bool:
    """Returns whether the newcomer of a change comes again with a new disk."""
    if current is None or current.joining is None or wanted.joining is None:
        return False
    is_same = current.leaving == wanted.leaving
    return is_same and current.joining.instance == wanted.joining.instance


def _check_new_change(
    configuration: members.Configuration, change: members.MemberChange
) -> None:
    leaving = change.leaving
    if leaving is not None and configuration.find(leaving) is None:
        raise errors.MemberChangeError(f"{leaving} is no member")
    joining = change.joining
    if joining is None:
        return
    # listed twice, an instance would count twice in a quorum
    for member in configuration.members:
        is_same = member.id.instance == joining.instance
        if member.id == joining or (is_same and member.id != leaving):
            message = f"{joining.instance} is a member already, as {member.id}"
            raise errors.MemberChangeError(message)


def _is_over(
    configuration: members.Configuration, change: members.MemberChange
) -> bool:
    if configuration.change is not None:
        return False
    joined = change.joining is None or configuration.is_voter(change.joining)
    left = configuration.find(change.leaving) is None
    return joined and left


__all__ = ["ChangeReport", "MemberChanges"]
