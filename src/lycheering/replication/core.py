"""The state of one member of the group, shared by the member's tasks."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from lycheering.replication import errors
from lycheering.replication import members
from lycheering.replication import waiters
from lycheering.store import hard_state
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from lycheering import clock
    from lycheering.replication import api
    from lycheering.replication import leadership as leaderships
    from lycheering.replication import settings
    from lycheering.store import entries
    from lycheering.store import snapshots
    from lycheering.store import storage

_LOG = logs.get("replication")


class Role(enum.Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """The state of one member.

    Several tasks share it, and any of them may change it while another one
    awaits. After each await a task therefore checks again whatever it relies
    on.

    Attributes:
        id: Identity of this member.
        term: The highest term seen.
        vote: The member it voted for in that term, empty for none.
        role: Its role in that term.
        leader_id: The leader of that term, None if unknown.
        leader_contact_ms: When it last received a message of a leader.
        election_wait_start_ms: Since when it has waited for a leader; once
            the wait exceeds a random election timeout, it starts an election.
        commit_index: Last index known to be synced on a quorum.
        applied_index: Last index applied to the state machine.
        leadership: Its work as the leader, None if it is not the leader.
        committed: Set when there may be entries to apply.
        applied: Tasks that wait for an index to be applied.
        failure: The error that stopped this member for good, None if it works.
    """

    def __init__(
        self,
        store: storage.Storage,
        address: members.PeerAddress,
        machine: api.StateMachine,
        transport: api.Transport,
        time: clock.Clock,
        options: settings.ReplicationSettings,
    ) -> None:
        self.store = store
        self.log = store.log
        self.address = address
        self.machine = machine
        self.transport = transport
        self.clock = time
        self.settings = options
        self.id = members.MemberId(address.instance, store.disk_id)
        self.term = store.hard_state.saved.term
        self.vote = store.hard_state.saved.vote
        self.role = Role.FOLLOWER
        self.leader_id: members.MemberId | None = None
        # This member may have answered a leader right before a restart. The
        # assumed contact withholds its vote for restart_vote_delay_ms.
        self.election_wait_start_ms = time.now_ms()
        assumed_silence_ms = (
            options.election_timeout_ms - options.restart_vote_delay_ms
        )
        self.leader_contact_ms = (
            self.election_wait_start_ms - assumed_silence_ms
        )
        self.leadership: leaderships.Leadership | None = None
        self.committed = asyncio.Event()
        self.applied = waiters.IndexWaiters()
        self.failure: Exception | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.history = members.ConfigurationHistory(
            members.IndexedConfiguration(0, members.Configuration())
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._load()

    @property
    def configuration(self) -> members.Configuration:
        """The configuration in use, committed or not."""
        return self.history.latest.configuration

    @property
    def has_log(self) -> bool:
        """Whether this disk has ever been part of a group."""
        return self.log.last_index > 0 or self.term > 0

    def spawn(
        self, work: Coroutine[Any, Any, None], name: str
    ) -> asyncio.Task[None]:
        """Starts a task; if the task fails, the member stops for good."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def cancel_tasks(self) -> None:
        """Cancels all tasks of this member and waits for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def append(
        self, first_index: int, new_entries: list[entries.Entry]
    ) -> None:
        """Adds entries to the log, replacing all from the first index on."""
        self.log.append(first_index, new_entries)
        has_changed = self.history.add(new_entries)
        if has_changed and self.leadership is not None:
            self.leadership.refresh_peers()

    def raise_commit_index(self, index: int) -> None:
        """Raises the commit index to one known to be synced on a quorum."""
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()

    def adopt_term(self, term: int) -> None:
        """Moves to a term, if it is higher than the current one."""
        if term <= self.term:
            return
        self.step_down("higher_term")
        self.term = term
        self.vote = ""
        self.leader_id = None

    def follow(self, leader_id: members.MemberId, term: int) -> None:
        """Records contact with the leader of a term, and follows it."""
        self.adopt_term(term)
        if self.role is not Role.FOLLOWER:
            self.step_down("other_leader")
        if self.leader_id != leader_id:
            _LOG.event("leader_found", leader=leader_id, term=term)
        self.leader_id = leader_id
        self.leader_contact_ms = self.clock.now_ms()
        self.election_wait_start_ms = self.leader_contact_ms

    def step_down(self, reason: str) -> None:
        """Becomes a follower, ending its leadership or candidacy."""
        leadership = self.leadership
        self.role = Role.FOLLOWER
        self.leadership = None
        self.election_wait_start_ms = self.clock.now_ms()
        if leadership is None:
            return
        _LOG.event("stepped_down", term=self.term, reason=reason)
        self.leader_id = None
        leadership.stop()

    async def save_hard_state(self) -> None:
        """Writes term and vote to disk."""
        state = hard_state.HardState(self.term, self.vote)
        await self.store.hard_state.save(state)

    def require_leadership(self) -> leaderships.Leadership:
        """Returns the leadership, if this member may act as the leader now.

        Raises:
            UnavailableError: The member has stopped.
            NotLeaderError: It is not the leader, or its lease has expired.
        """
        if self.failure is not None:
            raise errors.UnavailableError(str(self.failure))
        leadership = self.leadership
        if leadership is not None and leadership.has_lapsed():
            self.step_down("lease_lapsed")
            leadership = None
        if leadership is None or leadership.is_transferring:
            raise errors.NotLeaderError(self.leader_hint())
        return leadership

    def leader_hint(self) -> members.PeerAddress | None:
        """Returns the leader's address, or None if unknown or this member."""
        leader = self.configuration.find(self.leader_id)
        if leader is None or leader.id == self.id:
            return None
        return leader.peer

    def install_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Replaces state and log with a snapshot that is on this disk."""
        position = snapshot.position
        if position.index <= self.commit_index:
            return
        self.log.reset(position)
        self._restore(snapshot)
        self.applied.advance(position.index)

    def fail(self, error: Exception) -> None:
        """Stops this member for good: it no longer votes or serves."""
        if self.failure is None:
            self.failure = error
            _LOG.error("member_failed", id=self.id, error=repr(error))
        self.step_down("failed")

    def _load(self) -> None:
        latest = self.store.snapshots.latest
        if latest is not None:
            self._restore(latest)
        first = self.commit_index + 1
        tail = [
            self.log.entry(index)
            for index in range(first, self.log.last_index + 1)
        ]
        self.history.add(tail)

    def _restore(self, snapshot: snapshots.Snapshot) -> None:
        index = snapshot.position.index
        configuration = members.Configuration.decode(snapshot.configuration)
        self.history.reset(members.IndexedConfiguration(index, configuration))
        self.machine.restore(snapshot.data)
        self.commit_index = index
        self.applied_index = index

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            self.fail(error)


__all__ = ["Core", "Role"]
