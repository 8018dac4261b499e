"""Decides the next change of the members of the replication group."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from lycheering.replication import log
    from lycheering.replication import members

MAX_VOTERS = 7
MAX_LEARNERS = 7
# a learner that has not become a voter by then is given up, if another one can
# take its place
MAX_CHANGE_MS = 3_000
# a learner that is silent for longer is removed; it asks for admission again
LEARNER_SILENCE_MS = 30_000


@dataclasses.dataclass(frozen=True)
class ObservedMember:
    """A member as the leader has seen it for as long as it could.

    Attributes:
        id: Its identity.
        address: The address at which it listens.
        is_voter: Whether it votes.
        silent_ms: Time without an answer, as far as this leader observed it.
        match_index: Last index up to which its log is known to be synced.
        is_caught_up: Whether it has everything that was committed when the
            leader looked last.
        has_lost_disk: Whether another disk answers at its address.
    """

    id: members.MemberId
    address: str
    is_voter: bool
    silent_ms: float
    match_index: int
    is_caught_up: bool
    has_lost_disk: bool


@dataclasses.dataclass(frozen=True)
class ObservedGroup:
    """The group as the leader has seen it.

    Attributes:
        all_members: All members, voters and learners.
        change: The pending change, None for none.
        change_ms: For how long this leader has seen it pending.
    """

    all_members: tuple[ObservedMember, ...]
    change: members.MemberChange | None
    change_ms: float

    def voters(self) -> list[ObservedMember]:
        """Returns the members that vote."""
        return [member for member in self.all_members if member.is_voter]

    def learners(self) -> list[ObservedMember]:
        """Returns the members that do not vote."""
        return [member for member in self.all_members if not member.is_voter]

    def tolerated_losses(self, silence_ms: float) -> int:
        """Returns how many more voters the group can lose now."""
        voters = self.voters()
        live = sum(member.silent_ms <= silence_ms for member in voters)
        return live - (len(voters) // 2 + 1)


class MembershipObserver:
    """Measures the silence of members from when this leader could hear them.

    A member that this leader has not heard yet is not known to be silent: the
    leader may have been elected, restarted or resumed a moment ago.
    """

    def __init__(self, max_pause_ms: float) -> None:
        """Creates an observer that has seen nothing.

        Args:
            max_pause_ms: Longest time between two observations; after a
                longer one, this process did not run and observes anew.
        """
        self._max_pause_ms = max_pause_ms
        self._term = 0
        self._observed_ms = -math.inf
        self._commit_index = 0
        self._since_ms_by_id: dict[members.MemberId, float] = {}
        self._change: members.MemberChange | None = None
        self._change_since_ms = 0.0

    def observe(self, status: log.GroupStatus, now_ms: float) -> ObservedGroup:
        """Returns the group as observed by now; call it on the leader only."""
        pause_ms = now_ms - self._observed_ms
        if status.term != self._term or pause_ms > self._max_pause_ms:
            self._term = status.term
            self._since_ms_by_id.clear()
            self._commit_index = status.commit_index
            self._change = None
        if status.change is not None and status.change != self._change:
            self._change_since_ms = now_ms
        self._change = status.change
        self._since_ms_by_id = {
            member.id: self._since_ms_by_id.get(member.id, now_ms)
            for member in status.members
        }
        group = ObservedGroup(
            tuple(self._member(member, now_ms) for member in status.members),
            status.change,
            now_ms - self._change_since_ms if status.change else 0.0,
        )
        self._observed_ms = now_ms
        self._commit_index = status.commit_index
        return group

    def _member(
        self, member: log.MemberStatus, now_ms: float
    ) -> ObservedMember:
        observed_ms = now_ms - self._since_ms_by_id[member.id]
        contact_ms = member.last_contact_ms
        match_index = member.match_index or 0
        return ObservedMember(
            member.id,
            member.address,
            member.is_voter,
            min(observed_ms, math.inf if contact_ms is None else contact_ms),
            match_index,
            contact_ms is not None and match_index >= self._commit_index,
            member.has_lost_disk,
        )


class Step(enum.Enum):
    """Kind of a membership change."""

    REPLACE = "replace"
    PROMOTE = "promote"
    REMOVE = "remove"
    CANCEL = "cancel"


@dataclasses.dataclass(frozen=True)
class Decision:
    """The next change of the members.

    Attributes:
        step: What to do.
        reason: Why, as logged.
        joining: The learner that becomes a voter, None for none.
        leaving: The member to remove, None for none.
    """

    step: Step
    reason: str
    joining: ObservedMember | None = None
    leaving: ObservedMember | None = None


@dataclasses.dataclass(frozen=True)
class MembershipPolicy:
    """Decides who votes.

    A learner takes the place of a voter in one change, so the number of
    voters, hence the number of losses that they tolerate, stays the same.

    Attributes:
        wanted_voters: The number of voters up to which learners are promoted
            in pairs, as an even number of voters tolerates no more losses than
            one less.
        silence_ms: A voter that is silent for longer is replaced, if a learner
            can take its place.
        removal_doubt_ms: A member that has not heard a leader for longer
            asks whether it still is one.
    """

    wanted_voters: int
    silence_ms: float
    removal_doubt_ms: float

    def decide(
        self, group: ObservedGroup, leaving_ids: Collection[members.MemberId]
    ) -> Decision | None:
        """Returns the next change, or None.

        Args:
            group: The members as the leader sees them.
            leaving_ids: Voters that asked to be replaced, as they stop.
        """
        if group.change is not None:
            return self._decide_pending(group, group.change)
        return (
            self._replace(group, leaving_ids)
            or self._promote(group)
            or self._remove(group)
        )

    def _decide_pending(
        self, group: ObservedGroup, change: members.MemberChange
    ) -> Decision | None:
        joining = next(
            (item for item in group.all_members if item.id == change.joining),
            None,
        )
        if joining is None:
            return None
        if joining.has_lost_disk:
            return Decision(Step.CANCEL, "joining_lost_disk", joining)
        if joining.silent_ms > self.silence_ms:
            return Decision(Step.CANCEL, "joining_silent", joining)
        is_slow = group.change_ms > MAX_CHANGE_MS and not joining.is_voter
        if is_slow and any(
            item.id != joining.id for item in self._ready_learners(group)
        ):
            return Decision(Step.CANCEL, "joining_slow", joining)
        return None

    def _ready_learners(self, group: ObservedGroup) -> list[ObservedMember]:
        """Returns the learners that can vote at once, the best one first."""
        ready = [
            learner
            for learner in group.learners()
            if learner.is_caught_up
            and not learner.has_lost_disk
            and learner.silent_ms <= self.silence_ms / 2
        ]
        return sorted(ready, key=lambda item: item.match_index, reverse=True)

    def _replace(
        self, group: ObservedGroup, leaving_ids: Collection[members.MemberId]
    ) -> Decision | None:
        voters = group.voters()
        ready = self._ready_learners(group)
        for learner in ready:
            for voter in voters:
                if voter.id.instance == learner.id.instance:
                    return Decision(Step.REPLACE, "disk_lost", learner, voter)
        # the first disk of an instance must not vote beside its second one
        instances = {voter.id.instance for voter in voters}
        ready = [item for item in ready if item.id.instance not in instances]
        if not ready:
            return None
        silent = max(voters, key=lambda voter: voter.silent_ms)
        if silent.silent_ms > self.silence_ms:
            return Decision(Step.REPLACE, "silent", ready[0], silent)
        for voter in voters:
            if voter.id in leaving_ids:
                return Decision(Step.REPLACE, "stopping", ready[0], voter)
        return None

    def _promote(self, group: ObservedGroup) -> Decision | None:
        voters = group.voters()
        instances = {voter.id.instance for voter in voters}
        ready = [
            learner
            for learner in self._ready_learners(group)
            if learner.id.instance not in instances
        ]
        is_odd = len(voters) % 2 == 1
        if is_odd and len(voters) + 2 > min(self.wanted_voters, MAX_VOTERS):
            return None
        if len(ready) < 1 + is_odd:
            return None
        return Decision(Step.PROMOTE, "too_few_voters", ready[0])

    def _remove(self, group: ObservedGroup) -> Decision | None:
        surplus = self._find_surplus(group.voters())
        if surplus is not None:
            return Decision(Step.REMOVE, "surplus_silent", leaving=surplus)
        for learner in group.learners():
            if learner.has_lost_disk or learner.silent_ms > LEARNER_SILENCE_MS:
                return Decision(Step.REMOVE, "learner_silent", leaving=learner)
        return None

    def _find_surplus(
        self, voters: list[ObservedMember]
    ) -> ObservedMember | None:
        """Returns the only silent one of an even number of voters.

        Without it, the others tolerate as many losses as all of them do.
        """
        if len(voters) % 2 or len(voters) < 4:
            return None
        silent = [item for item in voters if item.silent_ms > self.silence_ms]
        return silent[0] if len(silent) == 1 else None


__all__ = [
    "LEARNER_SILENCE_MS",
    "MAX_CHANGE_MS",
    "MAX_LEARNERS",
    "MAX_VOTERS",
    "Decision",
    "MembershipObserver",
    "MembershipPolicy",
    "ObservedGroup",
    "ObservedMember",
    "Step",
]
