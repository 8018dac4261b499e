"""Replication from the leader to one other member."""

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
    from lycheering.replication import leadership
    from lycheering.replication import members

_LOG = logs.get("replication")


@dataclasses.dataclass
class Progress:
    """How far another member is.

    Attributes:
        next_index: Index to send next.
        match_index: Up to where its log is synced and agrees.
        acknowledged_ms: When the last request it answered was sent.
        is_displaced: Whether another disk answers at its address.
        wake: Set when there is something to send.
    """

    next_index: int
    match_index: int = 0
    acknowledged_ms: float = float("-inf")
    is_displaced: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Replicator:
    """Keeps one member up to date; one request at a time is on its way."""

    def __init__(
        self,
        core: cores.Core,
        led: leadership.Leadership,
        member: members.Member,
        progress: Progress,
    ) -> None:
        self._core = core
        self._led = led
        self._member = member
        self._progress = progress
        self._is_reached = True

    async def run(self) -> None:
        """Sends entries as they come, and heartbeats in between."""
        core = self._core
        progress = self._progress
        while core.leadership is self._led:
            progress.wake.clear()
            try:
                await self._send()
            except errors.PeerUnreachableError as error:
                self._note(error)
                await core.clock.sleep(core.settings.heartbeat_ms)
                continue
            self._note(None)
            if progress.match_index < core.log.last_index:
                continue
            pause_s = core.settings.heartbeat_ms / clock.MS_PER_S
            try:
                async with asyncio.timeout(pause_s):
                    await progress.wake.wait()
            except TimeoutError:
                continue

    def _note(self, error: errors.PeerUnreachableError | None) -> None:
        """Logs that the member is reached no more, or again."""
        if error is not None and self._is_reached:
            _LOG.event("member_unreached", id=self._member.id, reason=error)
        elif error is None and not self._is_reached:
            _LOG.event("member_reached", id=self._member.id)
        self._is_reached = error is None

    async def _send(self) -> None:
        log = self._core.log
        previous_index = self._progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            await self._send_snapshot()
            return
        options = self._core.settings
        sent = log.read(
            previous_index + 1,
            options.append_max_entries,
            options.append_max_bytes,
        )
        request = messages.AppendRequest(
            sender=self._core.id,
            receiver=self._member.id,
            term=self._led.term,
            previous=entries.Position(previous_index, previous_term),
            commit_index=self._core.commit_index,
            entries=sent,
        )
        reply = await self._call(request)
        if isinstance(reply, messages.AppendReply):
            self._take_append_reply(reply, previous_index + len(sent))

    def _take_append_reply(
        self, reply: messages.AppendReply, sent_index: int
    ) -> None:
        progress = self._progress
        if reply.is_matching:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, sent_index + 1)
            self._led.advance_commit()
            return
        lower = min(reply.index + 1, progress.next_index - 1)
        progress.next_index = max(lower, 1)

    async def _send_snapshot(self) -> None:
        snapshot = self._core.store.snapshots.latest
        assert snapshot is not None
        size = self._core.settings.snapshot_piece_bytes
        data = snapshot.data
        offset = 0
        while True:
            request = messages.SnapshotRequest(
                sender=self._core.id,
                receiver=self._member.id,
                term=self._led.term,
                position=snapshot.position,
                configuration=snapshot.configuration,
                offset=offset,
                total_bytes=len(data),
                piece=data[offset : offset + size],
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
        self._led.advance_commit()

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
            self._progress.is_displaced = self._is_of_another_disk(reply)
            message = f"{self._member.id} is not at {self._member.address}"
            raise errors.PeerUnreachableError(message)
        if core.leadership is not self._led:
            raise errors.PeerUnreachableError("not the leader any more")
        if reply.term > self._led.term:
            core.adopt_term(reply.term)
            raise errors.PeerUnreachableError("not the leader any more")
        self._progress.is_displaced = False
        self._progress.acknowledged_ms = sent_ms
        return reply

    def _is_of_another_disk(self, reply: messages.Message) -> bool:
        if not isinstance(reply, messages.RefusedReply):
            return False
        return reply.member_id != self._member.id


__all__ = ["Progress", "Replicator"]
