"""Replaces members of the group of control instances."""

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


class MemberReplacements:
    """Replaces members, or cancels a replacement, through the leader."""

    def __init__(self, group: replica.Replica) -> None:
        self._group = group

    async def replace_via_leader(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        """Replaces a member, forwarding the call if another instance leads.

        Raises:
            ReplicationError: If the replacement is not complete; the call may
                be repeated.
        """
        leader = await self._group.find_remote_leader()
        if leader is None:
            return await self.replace(call)
        answer = await self._group.call_leader(leader, call, REPLACE_TIMEOUT_MS)
        if not isinstance(answer, peer_calls.Replaced):
            raise errors.OutcomeUnknownError(
                "the reply does not answer the replacement"
            )
        return answer

    async def replace(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        """Replaces a member; only on the leader.

        The new member may have the instance name and address of the old one,
        since identities are tied to the disk. A repeated call continues the
        replacement.
        """
        async with asyncio.timeout(REPLACE_TIMEOUT_MS / clock.MS_PER_S):
            while True:
                try:
                    return await self._replace_once(call)
                except errors.NewcomerLostError as error:
                    _LOG.event("joining_member_lost", id=error)

    async def _replace_once(
        self, call: peer_calls.ReplaceCall
    ) -> peer_calls.Replaced:
        new_address = members.PeerAddress(call.new, call.address)
        new_member = await self._group.identify(new_address)
        status = self._group.log.status()
        ids = [member.id for member in status.members]
        leaving = [
            member_id
            for member_id in ids
            if member_id.instance == call.old and member_id != new_member
        ]
        if not leaving and new_member in ids:
            index = status.synced_index
            return peer_calls.Replaced(str(new_member), "", index)
        if not leaving:
            raise errors.MemberChangeError(f"{call.old} is not a member")
        report = await self._group.log.replace(leaving[0], new_address)
        return peer_calls.Replaced(
            str(report.joined), str(report.left), report.synced_index
        )

    async def cancel_change_via_leader(
        self, call: peer_calls.CancelChangeCall
    ) -> peer_calls.ChangeCancelled:
        """Cancels a member change, forwarding the call if another leads.

        Raises:
            ReplicationError: If the change is not cancelled; the call may be
                repeated.
        """
        leader = await self._group.find_remote_leader()
        if leader is None:
            return await self.cancel_change(call)
        answer = await self._group.call_leader(leader, call)
        if not isinstance(answer, peer_calls.ChangeCancelled):
            raise errors.OutcomeUnknownError(
                "the reply does not answer the cancellation"
            )
        return answer

    async def cancel_change(
        self, call: peer_calls.CancelChangeCall
    ) -> peer_calls.ChangeCancelled:
        """Cancels a member change; only on the leader.

        A repeated call finds the new member removed and returns the same.
        """
        status = self._group.log.status()
        change = status.change
        is_member = any(str(item.id) == call.joining for item in status.members)
        if change is not None and str(change.joining) == call.joining:
            await self._group.log.cancel_change()
        elif is_member:
            message = f"{call.joining} is not being added by a member change"
            raise errors.MemberChangeError(message)
        else:
            self._group.log.check_lease()
        return peer_calls.ChangeCancelled(call.joining)


__all__ = ["REPLACE_TIMEOUT_MS", "MemberReplacements"]
