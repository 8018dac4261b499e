"""Answers to messages from other members."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.replication import messages
from lycheering.store import errors as store_errors
from lycheering.store import snapshots

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from lycheering.replication import core as cores
    from lycheering.replication import elections
    from lycheering.replication import members
    from lycheering.store import entries


@dataclasses.dataclass
class _Arriving:
    """A snapshot of which pieces have arrived."""

    sender: members.MemberId
    term: int
    position: entries.Position
    data: bytearray


class Receiver:
    """Answers requests; every promise in a reply is durable by then."""

    def __init__(self, core: cores.Core, elects: elections.Elections) -> None:
        self._core = core
        self._elections = elects
        self._arriving: _Arriving | None = None
        self._installing = asyncio.Lock()

    async def handle(self, message: messages.Message) -> messages.Message:
        """Returns the reply to a request.

        Raises:
            TypeError: The message is no request.
        """
        core = self._core
        if isinstance(message, messages.IdentifyRequest):
            return messages.IdentifyReply(core.id, core.has_log)
        if not isinstance(message, messages.MemberRequest):
            raise TypeError(f"not a request: {type(message).__name__}")
        if message.receiver != core.id:
            return messages.RefusedReply(core.id, "another disk")
        if core.failure is not None:
            return messages.RefusedReply(core.id, str(core.failure))
        try:
            return await self._handle_request(message)
        except (OSError, store_errors.StoreError) as error:
            core.fail(error)
            return messages.RefusedReply(core.id, str(error))

    async def _handle_request(
        self, message: messages.MemberRequest
    ) -> messages.Message:
        match message:
            case messages.AppendRequest():
                return await self._append(message)
            case messages.VoteRequest():
                return await self._vote(message)
            case messages.SnapshotRequest():
                return await self._receive_snapshot(message)
            case messages.ElectNowRequest():
                return self._elect_now(message)
        raise TypeError(f"not a request: {type(message).__name__}")

    async def _vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        core = self._core
        if not self._may_vote(request):
            return messages.VoteReply(core.id, core.term, False)
        if request.is_trial:
            return messages.VoteReply(core.id, core.term, True)
        core.adopt_term(request.term)
        candidate = str(request.sender)
        core.vote = candidate
        core.election_timer_ms = core.clock.now_ms()
        await core.save_hard_state()
        granted = core.term == request.term and core.vote == candidate
        return messages.VoteReply(core.id, core.term, granted)

    def _may_vote(self, request: messages.VoteRequest) -> bool:
        core = self._core
        if request.term < core.term:
            return False
        led = core.leadership
        if led is not None and not led.has_lapsed():
            return False
        quiet_ms = core.clock.now_ms() - core.leader_contact_ms
        leader_is_heard = quiet_ms < core.settings.election_timeout_ms
        if core.has_log and leader_is_heard and not request.is_transfer:
            return False
        last = core.log.last
        theirs = request.last
        if (theirs.term, theirs.index) < (last.term, last.index):
            return False
        if request.term > core.term:
            return True
        is_free = core.vote in ("", str(request.sender))
        return is_free and not request.is_trial

    async def _append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(core.id, core.term, False, 0)
        core.follow(request.sender, request.term)
        previous = request.previous
        if request.entries and not await self._has_durable_term(request.term):
            return self._mismatch(previous.index)
        if previous.index > core.log.last_index:
            return self._mismatch(core.log.last_index)
        known_term = core.log.term_at(previous.index)
        is_committed = previous.index <= core.commit_index
        if not is_committed and known_term != previous.term:
            return self._mismatch(core.commit_index)
        self._take_entries(request.entries)
        matching = previous.index + len(request.entries)
        core.set_commit(min(request.commit_index, matching))
        await self._sync_for_a_while()
        if core.term != request.term:
            # what was synced may have been replaced since
            return self._mismatch(core.commit_index)
        durable = 0
        if core.store.hard_state.saved.term == core.term:
            durable = min(matching, core.log.synced_index)
        return messages.AppendReply(core.id, core.term, True, durable)

    async def _has_durable_term(self, term: int) -> bool:
        """Waits for a while until the term is durable.

        An entry of it must not reach the disk before. A member that died in
        between would find its log newer than its term.
        """
        core = self._core
        if core.store.hard_state.saved.term < term:
            await self._wait_for_disk(core.save_hard_state())
        return core.term == term == core.store.hard_state.saved.term

    async def _sync_for_a_while(self) -> None:
        await self._wait_for_disk(self._sync())

    async def _sync(self) -> None:
        await self._core.save_hard_state()
        await self._core.log.sync()

    async def _wait_for_disk(self, work: Coroutine[Any, Any, None]) -> None:
        # the leader's lease must not wait for a slow disk
        pause_s = self._core.settings.heartbeat_ms / clock.MS_PER_S
        try:
            async with asyncio.timeout(pause_s):
                await work
        except TimeoutError:
            return

    def _take_entries(self, received: list[entries.Entry]) -> None:
        core = self._core
        for position, entry in enumerate(received):
            if entry.index <= core.commit_index:
                continue
            if core.log.term_at(entry.index) != entry.term:
                core.append(entry.index, received[position:])
                return

    def _mismatch(self, index: int) -> messages.AppendReply:
        core = self._core
        return messages.AppendReply(core.id, core.term, False, index)

    async def _receive_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        core = self._core
        if request.term < core.term:
            return messages.SnapshotReply(core.id, core.term, 0)
        core.follow(request.sender, request.term)
        async with self._installing:
            received = await self._take_piece(request)
        return messages.SnapshotReply(core.id, core.term, received)

    async def _take_piece(self, request: messages.SnapshotRequest) -> int:
        core = self._core
        if request.position.index <= core.commit_index:
            return request.total_bytes
        arriving = self._arriving
        is_same = (
            arriving is not None
            and arriving.sender == request.sender
            and arriving.term == request.term
            and arriving.position == request.position
        )
        if arriving is None or not is_same or request.offset == 0:
            arriving = _Arriving(
                request.sender, request.term, request.position, bytearray()
            )
            self._arriving = arriving
        if request.offset == len(arriving.data):
            arriving.data += request.piece
        if len(arriving.data) < request.total_bytes:
            return len(arriving.data)
        await self._install(request, bytes(arriving.data))
        self._arriving = None
        return request.total_bytes

    async def _install(
        self, request: messages.SnapshotRequest, data: bytes
    ) -> None:
        core = self._core
        snapshot = snapshots.Snapshot(
            request.position, request.configuration, data
        )
        await core.save_hard_state()
        await core.store.snapshots.save(snapshot)
        core.install(snapshot)
        await core.log.sync()

    def _elect_now(
        self, request: messages.ElectNowRequest
    ) -> messages.ElectNowReply:
        core = self._core
        if request.term == core.term:
            self._elections.request_transfer()
        return messages.ElectNowReply(core.id, core.term)


__all__ = ["Receiver"]
