"""Handling of requests from other members."""

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
class _PartialSnapshot:
    """A snapshot that is being received in pieces."""

    sender: members.MemberId
    term: int
    position: entries.Position
    data: bytearray


class Receiver:
    """Answers requests; whatever a reply promises is on disk before it."""

    def __init__(
        self, core: cores.Core, member_elections: elections.Elections
    ) -> None:
        self._core = core
        self._elections = member_elections
        self._partial_snapshot: _PartialSnapshot | None = None
        self._install_lock = asyncio.Lock()

    async def handle(self, message: messages.Message) -> messages.Message:
        """Handles a request and returns the reply.

        Raises:
            TypeError: The message is not a request.
        """
        core = self._core
        if isinstance(message, messages.IdentifyRequest):
            return messages.IdentifyReply(
                core.id,
                core.has_log,
                core.configuration.group_id,
                has_entries=core.log.last_index > 0,
            )
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
                return self._request_election(message)
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
        core.election_wait_start_ms = core.clock.now_ms()
        await core.save_hard_state()
        is_granted = core.term == request.term and core.vote == candidate
        return messages.VoteReply(core.id, core.term, is_granted)

    def _may_vote(self, request: messages.VoteRequest) -> bool:
        core = self._core
        if request.term < core.term:
            return False
        leadership = core.leadership
        if leadership is not None and not leadership.has_lapsed():
            return False
        since_contact_ms = core.clock.now_ms() - core.leader_contact_ms
        has_recent_leader = since_contact_ms < core.settings.election_timeout_ms
        if core.has_log and has_recent_leader and not request.is_transfer:
            return False
        last = core.log.last
        candidate_last = request.last
        if (candidate_last.term, candidate_last.index) < (
            last.term,
            last.index,
        ):
            return False
        if request.term > core.term:
            return True
        is_vote_available = core.vote in ("", str(request.sender))
        return is_vote_available and not request.is_trial

    async def _append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(core.id, core.term, False, 0)
        core.follow(request.sender, request.term)
        previous = request.previous
        if request.entries and not await self._wait_for_durable_term(
            request.term
        ):
            return self._mismatch(previous.index)
        if previous.index > core.log.last_index:
            return self._mismatch(core.log.last_index)
        local_term = core.log.term_at(previous.index)
        is_committed = previous.index <= core.commit_index
        if not is_committed and local_term != previous.term:
            return self._mismatch(core.commit_index)
        self._append_new_entries(request.entries)
        matching_index = previous.index + len(request.entries)
        core.raise_commit_index(min(request.commit_index, matching_index))
        await self._sync_within_heartbeat()
        if core.term != request.term:
            # a newer leader may have replaced the entries in the meantime
            return self._mismatch(core.commit_index)
        durable_index = 0
        if core.store.hard_state.saved.term == core.term:
            durable_index = min(matching_index, core.log.synced_index)
        return messages.AppendReply(core.id, core.term, True, durable_index)

    async def _wait_for_durable_term(self, term: int) -> bool:
        """Writes a term to disk, waiting for at most a heartbeat interval.

        An entry of the term must not reach the disk before the term itself:
        after a crash in between, the log would be newer than the stored term.

        Returns:
            Whether the term is the current one and on disk.
        """
        core = self._core
        if core.store.hard_state.saved.term < term:
            await self._wait_up_to_heartbeat(core.save_hard_state())
        return core.term == term == core.store.hard_state.saved.term

    async def _sync_within_heartbeat(self) -> None:
        await self._wait_up_to_heartbeat(self._sync())

    async def _sync(self) -> None:
        await self._core.save_hard_state()
        await self._core.log.sync()

    async def _wait_up_to_heartbeat(
        self, work: Coroutine[Any, Any, None]
    ) -> None:
        # a reply that waits for a slow disk would let the leader's lease expire
        pause_s = self._core.settings.heartbeat_ms / clock.MS_PER_S
        try:
            async with asyncio.timeout(pause_s):
                await work
        except TimeoutError:
            return

    def _append_new_entries(
        self, received_entries: list[entries.Entry]
    ) -> None:
        core = self._core
        for position, entry in enumerate(received_entries):
            if entry.index <= core.commit_index:
                continue
            if core.log.term_at(entry.index) != entry.term:
                core.append(entry.index, received_entries[position:])
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
        async with self._install_lock:
            received_bytes = await self._add_piece(request)
        return messages.SnapshotReply(core.id, core.term, received_bytes)

    async def _add_piece(self, request: messages.SnapshotRequest) -> int:
        core = self._core
        if request.position.index <= core.commit_index:
            return request.total_bytes
        partial = self._partial_snapshot
        is_same = (
            partial is not None
            and partial.sender == request.sender
            and partial.term == request.term
            and partial.position == request.position
        )
        if partial is None or not is_same or request.offset == 0:
            partial = _PartialSnapshot(
                request.sender, request.term, request.position, bytearray()
            )
            self._partial_snapshot = partial
        if request.offset == len(partial.data):
            partial.data += request.piece
        if len(partial.data) < request.total_bytes:
            return len(partial.data)
        await self._install_received(request, bytes(partial.data))
        self._partial_snapshot = None
        return request.total_bytes

    async def _install_received(
        self, request: messages.SnapshotRequest, data: bytes
    ) -> None:
        core = self._core
        snapshot = snapshots.Snapshot(
            request.position, request.configuration, data
        )
        await core.save_hard_state()
        await core.store.snapshots.save(snapshot)
        core.install_snapshot(snapshot)
        await core.log.sync()

    def _request_election(
        self, request: messages.ElectNowRequest
    ) -> messages.ElectNowReply:
        core = self._core
        if request.term == core.term:
            self._elections.request_transfer(request.term)
        return messages.ElectNowReply(core.id, core.term)


__all__ = ["Receiver"]
