"""This instance's member of the replicated log, with typed commands."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import commands
from lycheering.control import machine
from lycheering.control import peer_calls
from lycheering.control import transport
from lycheering.replication import api as replication_api
from lycheering.replication import core
from lycheering.replication import errors
from lycheering.replication import log
from lycheering.replication import members
from lycheering.replication import messages as replication_messages
from lycheering.replication import settings as replication_settings
from lycheering.store import storage
from lycheering.telemetry import logs
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering import clock
    from lycheering.settings import model
    from lycheering.wire import api as wire_api

PROPOSE_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 1_000
APPLY_POLL_MS = 5
LEADER_WAIT_MS = 100

_LOG = logs.get("control")


class ReplicatedMachine(machine.ControlMachine, replication_api.StateMachine):
    """The state machine with the interface that the replicated log needs."""


class Replica(app_api.Part):
    """One member of the group of control instances.

    Attributes:
        machine: The state machine that committed commands are applied to.
    """

    def __init__(
        self,
        settings: model.Settings,
        state: ReplicatedMachine,
        wire_transport: transport.WireTransport,
        time: clock.Clock,
        listening_port: Callable[[], int],
        has_recent_message: Callable[[str], bool],
    ) -> None:
        """Prepares the member.

        Args:
            settings: The process's settings.
            state: The state machine that commands are applied to.
            wire_transport: Sends messages to other members.
            time: The clock.
            listening_port: Returns the port that this instance listens on.
            has_recent_message: Returns whether another instance sent a
                message recently.
        """
        self.machine = state
        self._settings = settings
        self._transport = wire_transport
        self._clock = time
        self._listening_port = listening_port
        self._has_recent_message = has_recent_message
        self._founders: list[members.PeerAddress] = []
        self._log: log.ReplicatedLog | None = None

    @property
    def log(self) -> log.ReplicatedLog:
        """The replicated log, once started."""
        if self._log is None:
            raise errors.UnavailableError("the replicated log is not started")
        return self._log

    async def start(self) -> None:
        """Opens the data folder and starts the replicated log."""
        assert self._settings.log_store is not None
        folder = pathlib.Path(self._settings.log_store.data_folder)
        store = storage.Storage(folder)
        self._founders = self._find_founders(store)
        self._log = log.ReplicatedLog(
            store,
            self._own_address(),
            self._founders,
            self.machine,
            self._transport,
            self._clock,
            self._options(self._settings.log_store),
        )
        self._log.start()

    async def drain(self) -> None:
        """Transfers leadership, so that the group needs no election timeout."""
        if self.is_leader() and len(self.peers()) > 1:
            transferred = await self.log.transfer_leadership()
            _LOG.event("leadership_handed_over", done=transferred)

    async def stop(self) -> None:
        """Stops the replicated log and closes the data folder."""
        if self._log is not None:
            await self._log.stop()

    def _own_address(self) -> members.PeerAddress:
        instance = self._settings.instance
        # the members may reach this instance by another port than it listens on
        for peer in self._settings.control_peers():
            if peer.instance == instance.name:
                address = f"{peer.ip}:{peer.port}"
                return members.PeerAddress(instance.name, address)
        port = self._listening_port()
        return members.PeerAddress(instance.name, f"{instance.ip}:{port}")

    def is_founder(self) -> bool:
        """Returns whether this instance creates the group with others."""
        return self._own_address() in self._founders

    def _find_founders(
        self, store: storage.Storage
    ) -> list[members.PeerAddress]:
        """Returns the founders of a new group, empty for one that exists.

        They are kept on the disk: a founder that is killed before the group
        exists is no longer started for the first time, and still creates it.
        """
        assert self._settings.log_store is not None
        saved = [
            members.PeerAddress(*text.split("@", 1))
            for text in store.load_founders()
        ]
        if self._settings.log_store.join:
            return saved
        founders = self._configured_members()
        if self._own_address() in founders and founders != saved:
            store.save_founders(
                [f"{peer.instance}@{peer.address}" for peer in founders]
            )
        return founders

    def _configured_members(self) -> list[members.PeerAddress]:
        return [
            members.PeerAddress(peer.instance, f"{peer.ip}:{peer.port}")
            for peer in self._settings.control_peers()
        ]

    def _options(
        self, store_settings: model.LogStoreSettings
    ) -> replication_settings.ReplicationSettings:
        return replication_settings.ReplicationSettings(
            election_timeout_ms=store_settings.election_timeout_ms,
            lease_ms=store_settings.leader_lease_ms,
            snapshot_entries=store_settings.snapshot_entries,
            snapshot_bytes=store_settings.snapshot_bytes,
            retained_bytes=store_settings.snapshot_bytes // 2,
        )

    def is_leader(self) -> bool:
        """Returns whether this instance may act as leader now."""
        if self._log is None:
            return False
        try:
            self._log.check_lease()
        except errors.ReplicationError:
            return False
        return True

    def leader_name(self) -> str:
        """Returns the name of the known leader, or an empty string."""
        if self._log is None:
            return ""
        status = self._log.status()
        if status.role == core.Role.LEADER:
            return status.id.instance
        hint = self._live_leader_hint()
        return hint.instance if hint is not None else ""

    def _live_leader_hint(self) -> members.PeerAddress | None:
        hint = self.log.leader_hint()
        # a leader sends heartbeats; without recent ones it leads no more
        if hint is None or not self._has_recent_message(hint.instance):
            return None
        return hint

    def wire_address(self, peer: members.PeerAddress) -> wire_api.Address:
        """Returns the address by which to connect to another instance."""
        return self._transport.address(peer)

    def peers(self) -> list[members.PeerAddress]:
        """Returns the addresses of all members, this one included."""
        known = self._log.status().members if self._log is not None else []
        if not known:
            return self._founders
        return [
            members.PeerAddress(member.id.instance, member.address)
            for member in known
        ]

    async def handle(self, data: bytes) -> bytes:
        """Handles a message of the replicated log and returns the reply."""
        message = replication_messages.decode(data)
        reply = await self.log.handle(message)
        return replication_messages.encode(reply)

    async def propose(self, command: commands.Command) -> commands.Reply:
        """Commits a command; only on the leader.

        Raises:
            NotLeaderError: If this instance does not lead; the command was
                not proposed.
            UnavailableError: If the command can't be committed now; it has no
                effect.
            OutcomeUnknownError: If the command may or may not take effect.
        """
        data = await self.propose_encoded(commands.encode(command))
        return commands.decode_reply(data)

    async def propose_encoded(self, command: bytes) -> bytes:
        """Commits an encoded command and returns the encoded reply."""
        return await self.log.propose(command, PROPOSE_TIMEOUT_MS)

    async def propose_via_leader(
        self, command: commands.Command
    ) -> commands.Reply:
        """Commits a command, forwarding it if another instance leads.

        Raises:
            UnavailableError: If the command can't be committed now; it has no
                effect.
            OutcomeUnknownError: If the command may or may not take effect.
        """
        data = commands.encode(command)
        leader = await self.find_remote_leader()
        if leader is None:
            reply = await self.propose_encoded(data)
            return commands.decode_reply(reply)
        answer = await self.call_leader(leader, peer_calls.ProposeCall(data))
        if not isinstance(answer, peer_calls.Proposed):
            raise errors.OutcomeUnknownError(
                "the reply does not answer the proposal"
            )
        return commands.decode_reply(answer.reply)

    async def wait_until_current(self) -> None:
        """Waits until the local state is as new as the leader's.

        Raises:
            ReplicationError: If the leader or its quorum can't be reached.
        """
        leader = await self.find_remote_leader()
        if leader is None:
            await self.log.read_barrier(READ_TIMEOUT_MS)
            return
        answer = await self.call_leader(leader, peer_calls.ReadIndexCall())
        if not isinstance(answer, peer_calls.ReadIndex):
            raise errors.UnavailableError("the reply has no read index")
        await self._wait_applied(answer.index)

    async def read_index(self) -> int:
        """Returns the log index of a current state; only on the leader."""
        await self.log.read_barrier(READ_TIMEOUT_MS)
        return self.log.status().applied_index

    async def identify(self, peer: members.PeerAddress) -> members.MemberId:
        """Returns the identity of the member at an address.

        Raises:
            PeerUnreachableError: If no member answered.
        """
        reply = await self._transport.call(
            peer, replication_messages.IdentifyRequest(), READ_TIMEOUT_MS
        )
        if not isinstance(reply, replication_messages.IdentifyReply):
            raise errors.PeerUnreachableError(peer.address)
        return reply.member_id

    async def find_remote_leader(self) -> members.PeerAddress | None:
        """Returns the member that leads, or None if this instance leads.

        Raises:
            UnavailableError: If this instance knows no leader.
        """
        deadline_ms = self._clock.now_ms() + LEADER_WAIT_MS
        while True:
            if self.is_leader():
                return None
            hint = self._live_leader_hint()
            if hint is not None:
                return hint
            if self._clock.now_ms() >= deadline_ms:
                raise errors.UnavailableError("no leader is known")
            await self._clock.sleep(APPLY_POLL_MS)

    async def call_leader(
        self,
        leader: members.PeerAddress,
        call: peer_calls.PeerMessage,
        timeout_ms: float = PROPOSE_TIMEOUT_MS,
    ) -> peer_calls.PeerMessage:
        """Sends a call to another member that leads.

        Raises:
            UnavailableError: If the call had no effect.
            MemberChangeError: If the call was refused.
            OutcomeUnknownError: If the call may have had an effect.
        """
        try:
            return await self._transport.call_peer(leader, call, timeout_ms)
        except wire_errors.CallFailedError as error:
            failure = error.failure
            text = failure.detail or failure.reason
            if failure.reason in (
                messages.Reason.NOT_LEADER,
                messages.Reason.NO_QUORUM,
            ):
                raise errors.UnavailableError(text) from error
            if failure.reason == messages.Reason.BAD_REQUEST:
                raise errors.MemberChangeError(text) from error
            raise errors.OutcomeUnknownError(text) from error
        except wire_errors.PeerUnreachableError as error:
            raise errors.UnavailableError(str(error)) from error
        except wire_errors.WireError as error:
            raise errors.OutcomeUnknownError(str(error)) from error

    async def _wait_applied(self, index: int) -> None:
        deadline_ms = self._clock.now_ms() + READ_TIMEOUT_MS
        while self.log.status().applied_index < index:
            if self._clock.now_ms() >= deadline_ms:
                raise errors.UnavailableError(
                    "the local state has not caught up with the leader"
                )
            await self._clock.sleep(APPLY_POLL_MS)


__all__ = [
    "PROPOSE_TIMEOUT_MS",
    "READ_TIMEOUT_MS",
    "ReplicatedMachine",
    "Replica",
]
