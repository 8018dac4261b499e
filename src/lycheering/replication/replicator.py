"""Replication of the log from the leader to one other member."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.replication import errors
from lycheering.replication import messages
from lycheering.store import entries
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores
    from lycheering.replication import leadership as leaderships
    from lycheering.replication import members

_LOG = logs.get("replication")


@dataclasses.dataclass
class Progress:
    """Replication progress of another member.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index up to which its log is synced and agrees with
            the leader's.
        acknowledged_ms: When the last request that it answered was sent.
        has_different_disk: Whether a member with another disk answers at its
            address.
        wake: Set when there are entries to send.
    """

    next_index: int
    match_index: int = 0
    acknowledged_ms: float = float("-inf")
    has_different_disk: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Replicator:
    """Keeps one member up to date, with one request in flight at a time."""

    def __init__(
        self,
        core: cores.Core,
        leadership: leaderships.Leadership,
        member: members.Member,
        progress: Progress,
    ) -> None:
        self._core = core
        self._leadership = leadership
        self._member = member
        self._progress = progress
        self._is_reachable = True

    async def run(self) -> None:
        """Sends entries as they are appended, and heartbeats in between."""
        core = self._core
        progress = self._progress
        while core.leadership is self._leadership:
            progress.wake.clear()
            try:
                await self._send()
            except errors.PeerUnreachableError as error:
                self._log_reachability(error)
                await core.clock.sleep(core.settings.heartbeat_ms)
                continue
            self._log_reachability(None)
            if progress.match_index < core.log.last_index:
                continue
            pause_s = core.settings.heartbeat_ms / clock.MS_PER_S
            try:
                async with asyncio.timeout(pause_s):
                    await progress.wake.wait()
            except TimeoutError:
                continue

    def _log_reachability(
        self, error: errors.PeerUnreachableError | None
    ) -> None:
        """Logs when the member becomes unreachable or reachable again."""
        if error is not None and self._is_reachable:
            _LOG.event("member_unreachable", id=self._member.id, reason=error)
        elif error is None and not self._is_reachable:
            _LOG.event("member_reachable", id=self._member.id)
        self._is_reachable = error is None

    async def _send(self) -> None:
        log = self._core.log
        previous_index = self._progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            await self._send_snapshot()
            return
        options = self._core.settings
        batch = log.read(
            previous_index + 1,
            options.append_max_entries,
            options.append_max_bytes,
        )
        request = messages.AppendRequest(
            sender=self._core.id,
            receiver=self._member.id,
            term=self._leadership.term,
            previous=entries.Position(previous_index, previous_term),
            commit_index=self._core.commit_index,
            entries=batch,
        )
        reply = await self._call(request)
        if isinstance(reply, messages.AppendReply):
            self._handle_append_reply(reply, previous_index + len(batch))

    def _handle_append_reply(
        self, reply: messages.AppendReply, sent_index: int
    ) -> None:
        progress = self._progress
        if reply.is_matching:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, sent_index + 1)
            self._leadership.advance_commit()
            return
        retry_index = min(reply.index + 1, progress.next_index - 1)
        progress.next_index = max(retry_index, 1)

    async def _send_snapshot(self) -> None:
        snapshot = self._core.store.snapshots.latest
        assert snapshot is not None
        piece_bytes = self._core.settings.snapshot_piece_bytes
        data = snapshot.data
        offset = 0
        while True:
            request = messages.SnapshotRequest(
                sender=self._core.id,
                receiver=self._member.id,
                term=self._leadership.term,
                position=snapshot.position,
                configuration=snapshot.configuration,
                offset=offset,
                total_bytes=len(data),
                piece=data[offset : offset + piece_bytes],
            )
            reply = await self._call(request)
            if not isinstance(reply, messages.SnapshotReply):
                return
            offset = reply.received_bytes
            if offset >= len(data):
                break
        index = snapshot.position.index
        _LOG.event("snapshot_sent", to=self._member.id, index=index)
        self._progress.match_index = max(self._progress.match_index, index)
        self._progress.next_index = index + 1
        self._leadership.advance_commit()

    async def _call(
        self, request: messages.MemberRequest
    ) -> messages.MemberReply:
        core = self._core
        sent_ms = core.clock.now_ms()
        reply = await core.transport.call(
            self._member.peer, request, core.settings.call_timeout_ms
        )
        if (
            not isinstance(reply, messages.MemberReply)
            or reply.sender != self._member.id
        ):
            self._progress.has_different_disk = self._is_from_another_disk(
                reply
            )
            message = (
                f"{self._member.id} does not answer at {self._member.address}"
            )
            raise errors.PeerUnreachableError(message)
        if core.leadership is not self._leadership:
            raise errors.PeerUnreachableError("no longer the leader")
        if reply.term > self._leadership.term:
            core.adopt_term(reply.term)
            raise errors.PeerUnreachableError("no longer the leader")
        self._progress.has_different_disk = False
        self._progress.acknowledged_ms = sent_ms
        return reply

    def _is_from_another_disk(self, reply: messages.Message) -> bool:
        if not isinstance(reply, messages.RefusedReply):
            return False
        return reply.member_id != self._member.id


__all__ = ["Progress", "Replicator"]
