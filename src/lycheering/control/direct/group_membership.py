"""Lets control instances join the replication group without an operator."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import peer_calls
from lycheering.replication import core
from lycheering.replication import errors
from lycheering.replication import members
from lycheering.telemetry import logs
from lycheering.wire import errors as wire_errors

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import replica
    from lycheering.control import transport
    from lycheering.replication import log

JOIN_INTERVAL_MS = 500
JOIN_TIMEOUT_MS = 5_000
CHECK_INTERVAL_MS = 1_000
# in a group with an even number of voters, one that is silent for longer than
# this is removed
SURPLUS_VOTER_SILENCE_MS = 8_000

_LOG = logs.get("members")


def find_surplus_voter(status: log.GroupStatus) -> members.MemberId | None:
    """Returns a silent voter that can be removed without a loss of safety.

    A group with an even number of voters tolerates no more failures than one
    with a voter less. Nothing is returned if more than one voter is silent.
    """
    voters = [member for member in status.members if member.is_voter]
    if len(voters) % 2 or len(voters) < 4 or status.change is not None:
        return None
    silent = [
        member
        for member in voters
        if member.last_contact_ms is None
        or member.last_contact_ms > SURPLUS_VOTER_SILENCE_MS
    ]
    return silent[0].id if len(silent) == 1 else None


class GroupMembership(app_api.Part):
    """Joins the group as a member and admits other instances to it."""

    def __init__(
        self,
        group: replica.Replica,
        wire_transport: transport.WireTransport,
        known_peers: tuple[members.PeerAddress, ...],
        own: members.PeerAddress,
        time: clock.Clock,
        *,
        is_founder: bool,
    ) -> None:
        """Initializes the part.

        Args:
            group: The replicated log.
            wire_transport: Sends calls to other members.
            known_peers: Control instances to send join calls to.
            own: The address of this instance.
            time: The clock.
            is_founder: Whether this instance is a founding member of the group,
                which never sends a join call.
        """
        self._group = group
        self._transport = wire_transport
        self._known_peers = known_peers
        self._own = own
        self._clock = time
        self._is_founder = is_founder
        self._tasks = app_api.TaskOwner()
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Starts the tasks that join the group and remove surplus voters."""
        self._tasks.spawn_with_restarts(self._join_group, "control:join")
        self._tasks.spawn_with_restarts(
            self._remove_surplus_voters, "control:surplus"
        )

    async def stop(self) -> None:
        """Stops both tasks."""
        await self._tasks.cancel_all()

    def _is_member(self) -> bool:
        status = self._group.log.status()
        return any(member.id == status.id for member in status.members)

    async def _join_group(self) -> None:
        while True:
            await self._clock.sleep(JOIN_INTERVAL_MS)
            if self._is_founder or self._is_member():
                continue
            for peer in self._known_peers:
                if peer.instance != self._own.instance:
                    await self._call_join(peer)
                if self._is_member():
                    _LOG.event("joined", by=peer.instance)
                    break

    async def _call_join(self, peer: members.PeerAddress) -> None:
        call = peer_calls.JoinCall(self._own.instance, self._own.address)
        try:
            await self._transport.call_peer(peer, call, JOIN_TIMEOUT_MS)
        except wire_errors.WireError as error:
            _LOG.event("join_failed", peer=peer.instance, error=error)

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
        """Admits an instance on the leader, as a voter of the group.

        A member of the same instance with another disk is replaced, as that
        disk was lost.
        """
        peer = members.PeerAddress(call.instance, call.address)
        new_member_id = await self._group.identify(peer)
        async with self._lock:
            status = self._group.log.status()
            member_by_id = {member.id: member for member in status.members}
            if (
                new_member_id in member_by_id
                and member_by_id[new_member_id].is_voter
            ):
                return peer_calls.Replaced(str(new_member_id), "", 0)
            previous_ids = [
                member.id
                for member in status.members
                if member.id.instance == call.instance
                and member.id != new_member_id
            ]
            _LOG.event(
                "member_admission_started",
                joining=new_member_id,
                replaces=previous_ids[0] if previous_ids else "",
            )
            if previous_ids:
                report = await self._group.log.replace(previous_ids[0], peer)
            else:
                report = await self._group.log.add(peer)
        return peer_calls.Replaced(
            str(report.joined), str(report.left or ""), report.synced_index
        )

    async def _remove_surplus_voters(self) -> None:
        """Removes a silent voter whenever the number of voters is even."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                continue
            status = self._group.log.status()
            if status.role is not core.Role.LEADER or self._lock.locked():
                continue
            surplus = find_surplus_voter(status)
            if surplus is None:
                continue
            _LOG.event("surplus_voter_removal_started", id=surplus)
            try:
                await self._group.log.remove(surplus)
            except errors.ReplicationError as error:
                _LOG.warning(
                    "surplus_voter_removal_failed", id=surplus, error=error
                )


__all__ = ["SURPLUS_VOTER_SILENCE_MS", "GroupMembership", "find_surplus_voter"]
