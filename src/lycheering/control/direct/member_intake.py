"""Takes control instances into the group without an operator."""

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
# a voter beyond an odd number that is silent for so long makes room
SURPLUS_SILENCE_MS = 8_000

_LOG = logs.get("members")


def surplus_voter(status: log.GroupStatus) -> members.MemberId | None:
    """Returns a silent voter without which the group is as safe.

    An even number of voters bears no more losses than one less does.
    """
    voters = [member for member in status.members if member.is_voter]
    if len(voters) % 2 or len(voters) < 4 or status.change is not None:
        return None
    silent = [
        member
        for member in voters
        if member.last_contact_ms is None
        or member.last_contact_ms > SURPLUS_SILENCE_MS
    ]
    return silent[0].id if len(silent) == 1 else None


class MemberIntake(app_api.Part):
    """Asks to be taken in where this instance is none, and takes others in."""

    def __init__(
        self,
        group: replica.Replica,
        carrier: transport.WireTransport,
        known: tuple[members.PeerAddress, ...],
        own: members.PeerAddress,
        time: clock.Clock,
        *,
        founds: bool,
    ) -> None:
        """Prepares the part.

        Args:
            group: The replicated log.
            carrier: Carries calls to other members.
            known: Control instances to ask.
            own: This instance.
            time: The clock.
            founds: Whether this instance is one that founds the group.
        """
        self._group = group
        self._transport = carrier
        self._known = known
        self._own = own
        self._clock = time
        self._founds = founds
        self._tasks = app_api.TaskOwner()
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Begins to look after this instance's own membership."""
        self._tasks.spawn_lasting(self._join, "control:join")
        self._tasks.spawn_lasting(self._watch, "control:surplus")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    def _is_member(self) -> bool:
        status = self._group.log.status()
        return any(member.id == status.id for member in status.members)

    async def _join(self) -> None:
        while True:
            await self._clock.sleep(JOIN_INTERVAL_MS)
            if self._founds or self._is_member():
                continue
            for peer in self._known:
                if peer.instance != self._own.instance:
                    await self._ask(peer)
                if self._is_member():
                    _LOG.event("joined", by=peer.instance)
                    break

    async def _ask(self, peer: members.PeerAddress) -> None:
        call = peer_calls.JoinCall(self._own.instance, self._own.address)
        try:
            await self._transport.call_peer(peer, call, JOIN_TIMEOUT_MS)
        except wire_errors.WireError as error:
            _LOG.event("join_failed", peer=peer.instance, error=error)

    async def take_in_anywhere(
        self, call: peer_calls.JoinCall
    ) -> peer_calls.Replaced:
        """Takes an instance in, through the leader if that is another.

        Raises:
            ReplicationError: If it is not taken in yet; it may ask again.
        """
        leader = await self._group.find_leader()
        if leader is None:
            return await self._take_in(call)
        answer = await self._group.call_leader(leader, call, JOIN_TIMEOUT_MS)
        if not isinstance(answer, peer_calls.Replaced):
            raise errors.OutcomeUnknownError("no reply to a join")
        return answer

    async def _take_in(self, call: peer_calls.JoinCall) -> peer_calls.Replaced:
        peer = members.PeerAddress(call.instance, call.address)
        newcomer = await self._group.identify(peer)
        async with self._lock:
            status = self._group.log.status()
            known = {member.id: member for member in status.members}
            if newcomer in known and known[newcomer].is_voter:
                return peer_calls.Replaced(str(newcomer), "", 0)
            former = [
                member.id
                for member in status.members
                if member.id.instance == call.instance and member.id != newcomer
            ]
            _LOG.event(
                "member_taken_in",
                joining=newcomer,
                replaces=former[0] if former else "",
            )
            if former:
                report = await self._group.log.replace(former[0], peer)
            else:
                report = await self._group.log.add(peer)
        return peer_calls.Replaced(
            str(report.joined), str(report.left or ""), report.synced_index
        )

    async def _watch(self) -> None:
        """Lets a silent voter go that an even number does not need."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            if not self._group.is_leader():
                continue
            status = self._group.log.status()
            if status.role is not core.Role.LEADER or self._lock.locked():
                continue
            surplus = surplus_voter(status)
            if surplus is None:
                continue
            _LOG.event("surplus_voter_leaves", id=surplus)
            try:
                await self._group.log.remove(surplus)
            except errors.ReplicationError as error:
                _LOG.warning("surplus_voter_stays", id=surplus, error=error)


__all__ = ["SURPLUS_SILENCE_MS", "MemberIntake", "surplus_voter"]
