"""Lets control instances join and leave the group without an operator."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.app import api as app_api
from lycheering.control import peer_calls
from lycheering.control.direct import membership_plan
from lycheering.replication import errors
from lycheering.replication import members
from lycheering.telemetry import logs
from lycheering.wire import errors as wire_errors

if TYPE_CHECKING:
    from lycheering.control import replica
    from lycheering.control import transport
    from lycheering.telemetry import counters

JOIN_INTERVAL_MS = 500
JOIN_TIMEOUT_MS = 1_500
CHECK_INTERVAL_MS = 100
# a check that comes later finds that this process did not run meanwhile
MAX_CHECK_PAUSE_MS = 500
LEAVE_TIMEOUT_MS = 1_500
LEAVE_POLL_MS = 50
VOTERS_GAUGE = "members.voters"
LEARNERS_GAUGE = "members.learners"
TOLERATED_LOSSES_GAUGE = "members.tolerated_losses"

_LOG = logs.get("members")


class GroupMembership(app_api.Part):
    """Joins the group as a member and admits other instances to it."""

    def __init__(
        self,
        group: replica.Replica,
        wire_transport: transport.WireTransport,
        known_peers: tuple[members.PeerAddress, ...],
        own: members.PeerAddress,
        policy: membership_plan.MembershipPolicy,
        time: clock.Clock,
        metrics: counters.Counters,
    ) -> None:
        """Initializes the part.

        Args:
            group: The replicated log.
            wire_transport: Sends calls to other members.
            known_peers: Control instances to send join calls to.
            own: The address of this instance.
            policy: Decides on changes of the members.
            time: The clock.
            metrics: The gauges of the group.
        """
        self._group = group
        self._transport = wire_transport
        self._known_peers = known_peers
        self._own = own
        self._policy = policy
        self._clock = time
        self._metrics = metrics
        self._observer = membership_plan.MembershipObserver(MAX_CHECK_PAUSE_MS)
        self._leaving_ids: set[members.MemberId] = set()
        self._join_error_by_instance: dict[str, str] = {}
        self._tasks = app_api.TaskOwner()
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Starts the tasks that join the group and change its members."""
        self._tasks.spawn_with_restarts(self._join_group, "control:join")
        self._tasks.spawn_with_restarts(self._change_members, "control:members")

    async def drain(self) -> None:
        """Hands the vote of this instance to a learner, if there is one."""
        status = self._group.log.status()
        voter_ids = {item.id for item in status.members if item.is_voter}
        if status.id not in voter_ids or len(voter_ids) == len(status.members):
            return
        call = peer_calls.LeaveCall(str(status.id))
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / clock.MS_PER_S):
                await self._leave(call)
        except (TimeoutError, errors.ReplicationError) as error:
            _LOG.warning("leave_failed", id=status.id, error=repr(error))

    async def stop(self) -> None:
        """Stops both tasks."""
        await self._tasks.cancel_all()

    def _needs_admission(self) -> bool:
        """Returns whether this instance is no member, or may have been removed.

        A member that is removed gets no further entries, so its own log does
        not tell; it only hears no leader any more.
        """
        status = self._group.log.status()
        if not status.members:
            return not self._group.is_founder()
        if all(member.id != status.id for member in status.members):
            return True
        return status.leader_contact_ms > self._policy.removal_doubt_ms

    async def _join_group(self) -> None:
        while True:
            await self._clock.sleep(JOIN_INTERVAL_MS)
            if not self._needs_admission():
                continue
            known = {peer.instance: peer for peer in self._group.peers()}
            known |= {peer.instance: peer for peer in self._known_peers}
            known.pop(self._own.instance, None)
            for peer in known.values():
                if await self._call_join(peer):
                    break

    async def _call_join(self, peer: members.PeerAddress) -> bool:
        """Asks an instance for admission; returns whether that succeeded."""
        status = self._group.log.status()
        call = peer_calls.JoinCall(self._own.instance, self._own.address)
        try:
            await self._transport.call_peer(peer, call, JOIN_TIMEOUT_MS)
        except wire_errors.WireError as error:
            self._log_failed_join(peer, str(error))
            return False
        self._join_error_by_instance.clear()
        _LOG.event(
            "joined",
            by=peer.instance,
            entries=status.last_index,
            leader_silent_ms=round(status.leader_contact_ms),
        )
        return True

    def _log_failed_join(self, peer: members.PeerAddress, error: str) -> None:
        """Logs why an instance does not admit this one, if that is new."""
        if self._join_error_by_instance.get(peer.instance) != error:
            _LOG.event("join_failed", peer=peer.instance, error=error)
        self._join_error_by_instance[peer.instance] = error

    async def _leave(self, call: peer_calls.LeaveCall) -> None:
        """Returns once this instance does not vote any more."""
        while True:
            try:
                leader = await self._group.find_remote_leader()
                if leader is not None:
                    await self._group.call_leader(
                        leader, call, LEAVE_TIMEOUT_MS
                    )
                    return
                # a leader that is to be replaced hands over leadership first
                self._leaving_ids.add(self._group.log.status().id)
            except errors.UnavailableError:
                pass
            await self._clock.sleep(LEAVE_POLL_MS)

    async def release(self, call: peer_calls.LeaveCall) -> peer_calls.Replaced:
        """Replaces a voter that stops; only on the leader.

        Raises:
            ReplicationError: If the voter was not replaced.
        """
        deadline_ms = self._clock.now_ms() + LEAVE_TIMEOUT_MS
        while True:
            self._group.log.check_lease()
            status = self._group.log.status()
            id_by_name = {
                str(item.id): item.id
                for item in status.members
                if item.is_voter
            }
            if call.voter not in id_by_name and status.change is None:
                return peer_calls.Replaced("", call.voter, 0)
            if call.voter in id_by_name:
                self._leaving_ids.add(id_by_name[call.voter])
            if self._clock.now_ms() > deadline_ms:
                raise errors.UnavailableError("no learner took its place")
            await self._clock.sleep(LEAVE_POLL_MS)

    async def admit_anywhere(
        self, call: peer_calls.JoinCall
    ) -> peer_calls.Replaced:
        """Admits an instance, through the leader if that is another instance.

        Raises:
            ReplicationError: If it was not admitted; it may call again.
        """
        leader = await self._group.find_remote_leader()
        if leader is None:
            return await self._admit_here(call)
        answer = await self._group.call_leader(leader, call, JOIN_TIMEOUT_MS)
        if not isinstance(answer, peer_calls.Replaced):
            raise errors.OutcomeUnknownError("no reply to a join")
        return answer

    async def _admit_here(
        self, call: peer_calls.JoinCall
    ) -> peer_calls.Replaced:
        """Admits an instance on the leader, as a learner of the group."""
        peer = members.PeerAddress(call.instance, call.address)
        joining_id = await self._group.identify(peer)
        async with self._lock:
            self._group.log.check_lease()
            status = self._group.log.status()
            if all(member.id != joining_id for member in status.members):
                await self._add_learner(peer, joining_id)
        return peer_calls.Replaced(str(joining_id), "", 0)

    async def _add_learner(
        self, peer: members.PeerAddress, joining_id: members.MemberId
    ) -> None:
        status = self._group.log.status()
        learners = [item for item in status.members if not item.is_voter]
        for learner in learners:
            if learner.id.instance == joining_id.instance:
                # its disk was lost; the next call finds it removed
                await self._group.log.begin_change(None, learner.id)
                raise errors.UnavailableError(f"{learner.id} is being removed")
        if len(learners) >= membership_plan.MAX_LEARNERS:
            raise errors.MemberChangeError("too many members that do not vote")
        _LOG.event("member_admission_started", joining=joining_id)
        await self._group.log.add_learner(peer)

    async def _change_members(self) -> None:
        """Carries out the policy's decisions while this instance leads."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                self._leaving_ids.clear()
                self._withdraw_gauges()
                continue
            status = self._group.log.status()
            observed = self._observer.observe(status, self._clock.now_ms())
            self._publish(observed)
            decision = self._policy.decide(observed, self._leaving_ids)
            if decision is None or self._lock.locked():
                continue
            async with self._lock:
                await self._carry_out(decision)

    def _publish(self, observed: membership_plan.ObservedGroup) -> None:
        tolerated = observed.tolerated_losses(self._policy.silence_ms)
        self._metrics.set_gauge(VOTERS_GAUGE, len(observed.voters()))
        self._metrics.set_gauge(LEARNERS_GAUGE, len(observed.learners()))
        self._metrics.set_gauge(TOLERATED_LOSSES_GAUGE, tolerated)

    def _withdraw_gauges(self) -> None:
        """Removes the gauges that only the leader knows."""
        for name in (VOTERS_GAUGE, LEARNERS_GAUGE, TOLERATED_LOSSES_GAUGE):
            self._metrics.remove_gauge(name)

    async def _carry_out(self, decision: membership_plan.Decision) -> None:
        joining = decision.joining
        leaving = decision.leaving
        _LOG.event(
            "member_change_decided",
            step=decision.step.value,
            reason=decision.reason,
            joining=joining.id if joining else "",
            joining_silent_ms=round(joining.silent_ms) if joining else "",
            leaving=leaving.id if leaving else "",
            leaving_silent_ms=round(leaving.silent_ms) if leaving else "",
        )
        log = self._group.log
        try:
            if decision.step is membership_plan.Step.CANCEL:
                await log.cancel_change()
                return
            peer = None
            if joining is not None:
                peer = members.PeerAddress(joining.id.instance, joining.address)
            await log.begin_change(peer, leaving.id if leaving else None)
        except errors.ReplicationError as error:
            _LOG.warning(
                "member_change_failed",
                step=decision.step.value,
                error=repr(error),
            )


__all__ = ["GroupMembership"]
