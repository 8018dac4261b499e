"""The state of one member, shared by its tasks."""

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
    from lycheering.replication import leadership
    from lycheering.replication import settings
    from lycheering.store import entries
    from lycheering.store import snapshots
    from lycheering.store import storage

_LOG = logs.get("replication")


class Role(enum.Enum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """The state of one member.

    It changes only between two awaits of the tasks that share it, so each of
    them checks after an await what it relies on.

    Attributes:
        id: Identity of this member.
        term: The highest term seen.
        vote: Whom it voted for in that term, empty for nobody.
        role: What it does.
        leader_id: Who leads the term, as far as known.
        leader_contact_ms: When it last heard a leader.
        election_timer_ms: Since when it has waited for a leader.
        commit_index: Last index known to be on a quorum.
        applied_index: Last index the state machine has taken.
        leadership: What it does as a leader.
        committed: Set when there may be something to apply.
        failure: Why this member stopped for good, if so.
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
        # it may have heard a leader right before it was restarted
        self.election_timer_ms = time.now_ms()
        guarded_ms = options.election_timeout_ms - options.start_guard_ms
        self.leader_contact_ms = self.election_timer_ms - guarded_ms
        self.leadership: leadership.Leadership | None = None
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
        """The members in use, committed or not."""
        return self.history.latest.configuration

    @property
    def has_log(self) -> bool:
        """Whether this disk has ever taken part in a group."""
        return self.log.last_index > 0 or self.term > 0

    def spawn(
        self, work: Coroutine[Any, Any, None], name: str
    ) -> asyncio.Task[None]:
        """Starts a task of this member, which stops the member if it fails."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def cancel_tasks(self) -> None:
        """Ends all tasks of this member."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def append(self, first_index: int, added: list[entries.Entry]) -> None:
        """Puts entries into the log, and drops all that followed."""
        self.log.append(first_index, added)
        is_other = self.history.add(added)
        if is_other and self.leadership is not None:
            self.leadership.refresh_peers()

    def set_commit(self, index: int) -> None:
        """Takes over an index known to be on a quorum."""
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()

    def adopt_term(self, term: int) -> None:
        """Follows a higher term."""
        if term <= self.term:
            return
        self.step_down("higher_term")
        self.term = term
        self.vote = ""
        self.leader_id = None

    def follow(self, leader_id: members.MemberId, term: int) -> None:
        """Takes a message of the term's leader as a sign of life."""
        self.adopt_term(term)
        if self.role is not Role.FOLLOWER:
            self.step_down("other_leader")
        if self.leader_id != leader_id:
            _LOG.event("leader_found", leader=leader_id, term=term)
        self.leader_id = leader_id
        self.leader_contact_ms = self.clock.now_ms()
        self.election_timer_ms = self.leader_contact_ms

    def step_down(self, reason: str) -> None:
        """Stops leading or standing for election."""
        led = self.leadership
        self.role = Role.FOLLOWER
        self.leadership = None
        self.election_timer_ms = self.clock.now_ms()
        if led is None:
            return
        _LOG.event("stepped_down", term=self.term, reason=reason)
        self.leader_id = None
        led.stop()

    async def save_hard_state(self) -> None:
        """Makes term and vote durable."""
        state = hard_state.HardState(self.term, self.vote)
        await self.store.hard_state.save(state)

    def require_leadership(self) -> leadership.Leadership:
        """Returns the leadership, if this member may act as leader now.

        Raises:
            UnavailableError: The member has stopped.
            NotLeaderError: It does not lead, or its lease has run out.
        """
        if self.failure is not None:
            raise errors.UnavailableError(str(self.failure))
        led = self.leadership
        if led is not None and led.has_lapsed():
            self.step_down("lease_lapsed")
            led = None
        if led is None or led.is_transferring:
            raise errors.NotLeaderError(self.leader_hint())
        return led

    def leader_hint(self) -> members.PeerAddress | None:
        """Returns where another member that leads listens, if known."""
        leader = self.configuration.find(self.leader_id)
        if leader is None or leader.id == self.id:
            return None
        return leader.peer

    def install(self, snapshot: snapshots.Snapshot) -> None:
        """Replaces state and log by a snapshot that is durable here."""
        position = snapshot.position
        if position.index <= self.commit_index:
            return
        self.log.reset(position)
        self._restore(snapshot)
        self.applied.advance(position.index)

    def fail(self, error: Exception) -> None:
        """Stops this member for good; it neither votes nor serves."""
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

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            self.fail(error)


__all__ = ["Core", "Role"]
