"""Replacing members of the group of control instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.control import peer_calls
from lycheering.replication import errors
from lycheering.replication import members
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.control import replica

REPLACE_TIMEOUT_MS = 60_000

_LOG = logs.get("control")


class MemberRepairs:
    """Replaces members, or gives that up, on whichever instance leads."""

    def __init__(self, group: replica.Replica) -> None:
        self._group = group

    async def replace_anywhere(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        """Replaces a member, through the leader if that is another.

        Raises:
            ReplicationError: If the repair is not over; it may be asked
                for again.
        """
        leader = await self._group.find_leader()
        if leader is None:
            return await self.replace(call)
        answer = await self._group.call_leader(leader, call, REPLACE_TIMEOUT_MS)
        if not isinstance(answer, peer_calls.Replaced):
            raise errors.OutcomeUnknownError("no reply to a replacement")
        return answer

    async def replace(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        """Replaces a member; only on the leader.

        The newcomer may have the instance and address of the old member,
        since identities are tied to the disk. Asked for again, it goes on.
        """
        async with asyncio.timeout(REPLACE_TIMEOUT_MS / clock.MS_PER_S):
            while True:
                try:
                    return await self._replace_once(call)
                except errors.NewcomerLostError as error:
                    _LOG.event("newcomer_lost", id=error)

    async def _replace_once(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        new = members.PeerAddress(call.new, call.address)
        newcomer = await self._group.identify(new)
        status = self._group.log.status()
        ids = [member.id for member in status.members]
        leaving = [
            member_id
            for member_id in ids
            if member_id.instance == call.old and member_id != newcomer
        ]
        if not leaving and newcomer in ids:
            index = status.synced_index
            return peer_calls.Replaced(str(newcomer), "", index)
        if not leaving:
            raise errors.MemberChangeError(f"{call.old} is no member")
        report = await self._group.log.replace(leaving[0], new)
        return peer_calls.Replaced(
            str(report.joined), str(report.left), report.synced_index
        )

    async def cancel_change_anywhere(
        self, call: peer_calls.CancelChangeCall
    ) -> peer_calls.ChangeCancelled:
        """Gives up a change of members, through the leader if another.

        Raises:
            ReplicationError: If it is not given up; it may be asked for again.
        """
        leader = await self._group.find_leader()
        if leader is None:
            return await self.cancel_change(call)
        answer = await self._group.call_leader(leader, call)
        if not isinstance(answer, peer_calls.ChangeCancelled):
            raise errors.OutcomeUnknownError("no reply to a cancellation")
        return answer

    async def cancel_change(
        self, call: peer_calls.CancelChangeCall
    ) -> peer_calls.ChangeCancelled:
        """Gives up a change of members; only on the leader.

        Asked for again, it finds the newcomer gone and says the same.
        """
        status = self._group.log.status()
        change = status.change
        is_known = any(str(item.id) == call.joining for item in status.members)
        if change is not None and str(change.joining) == call.joining:
            await self._group.log.cancel_change()
        elif is_known:
            message = f"{call.joining} joins by no change under way"
            raise errors.MemberChangeError(message)
        else:
            self._group.log.check_lease()
        return peer_calls.ChangeCancelled(call.joining)


__all__ = ["REPLACE_TIMEOUT_MS", "MemberRepairs"]
