"""A session of a peer on the server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.wire import byte_budget
from lycheering.wire import messages
from lycheering.wire import view_sync

if TYPE_CHECKING:
    from lycheering.wire import server as servers

MAX_QUEUED_FRAMES = 2_000
LOAD_INTERVAL_MS = 50


class Session:
    """A session of a peer on the server.

    Attributes:
        name: The peer's name.
        role: Its role.
        incarnation: Its incarnation.
        failure_domain: Its failure domain.
        last_received_ms: Time of its last frame.
        heartbeat_ms: Heartbeat interval of the peer while it is idle, as
            agreed at the handshake or announced later; 0 if none was
            agreed.
        is_closed_by_peer: Whether the peer closed the session itself, which
            it does only while no call is in flight.
        inbox: Frames that wait for the handler.
        view_sync: Synchronizes the fleet view with the peer.
    """

    def __init__(
        self,
        server: servers.Server,
        routing_id: bytes,
        envelope: messages.Envelope,
        hello: messages.Hello,
    ) -> None:
        self.name = envelope.sender
        self.role = hello.role
        self.incarnation = envelope.sender_incarnation
        self.failure_domain = hello.failure_domain
        self.last_received_ms = 0.0
        self.is_closed_by_peer = False
        # entries announce a new interval to agents in heartbeats
        self._is_adaptive = (
            server.link.identity.role is messages.Role.AGENT
            and hello.role is messages.Role.ENTRY
        )
        max_interval_ms = server.link.settings.control_heartbeat_ms
        if self._is_adaptive:
            max_interval_ms = byte_budget.MAX_IDLE_HEARTBEAT_MS
        self.heartbeat_ms = min(hello.heartbeat_ms, max_interval_ms)
        self.inbox: asyncio.Queue[messages.Envelope] = asyncio.Queue(
            MAX_QUEUED_FRAMES
        )
        self.view_sync = view_sync.ViewSync(server.link, self.send)
        self._server = server
        self._routing_id = routing_id
        self._load_sent_ms = 0.0

    @property
    def view_revision(self) -> int:
        """The highest view revision seen in frames of the peer."""
        return self.view_sync.peer_revision

    def send(self, message: messages.Message, call_id: int = 0) -> None:
        """Sends a message to the peer.

        Args:
            message: The message.
            call_id: The call that it answers; 0 for none.

        Raises:
            PeerUnreachableError: If the peer is disconnected or reads too
                slowly.
        """
        self._server.send(self, self._routing_id, message, call_id)

    def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Updates the idle heartbeat interval that the peer announces."""
        if self._is_adaptive and heartbeat.next_ms > 0:
            max_interval_ms = byte_budget.MAX_IDLE_HEARTBEAT_MS
            self.heartbeat_ms = min(heartbeat.next_ms, max_interval_ms)

    def uses_long_interval(self, serving: set[Session]) -> bool:
        """Returns whether the long heartbeat interval applies now.

        Args:
            serving: The sessions whose peers wait for answers.
        """
        settings = self._server.link.settings
        has_long_interval = (
            self._is_adaptive and self.heartbeat_ms > settings.heartbeat_ms
        )
        return (
            has_long_interval
            and self not in serving
            and not self.view_sync.is_behind
        )

    def is_silent(self, now_ms: float, serving: set[Session]) -> bool:
        """Returns whether the peer has been silent for too long.

        Args:
            now_ms: Current time.
            serving: The sessions whose peers wait for answers.
        """
        settings = self._server.link.settings
        extra_ms = max(0.0, self.heartbeat_ms - settings.heartbeat_ms)
        if self._is_adaptive and self in serving:
            extra_ms = 0.0
        silent_ms = now_ms - self.last_received_ms
        return silent_ms >= settings.silence_ms + extra_ms

    def take_load_slot(self, now_ms: float) -> bool:
        """Returns whether the next frame should carry a load report.

        If so, the time of the report is recorded.

        Args:
            now_ms: Current time.
        """
        is_due = now_ms - self._load_sent_ms >= LOAD_INTERVAL_MS
        if is_due:
            self._load_sent_ms = now_ms
        return is_due


__all__ = ["LOAD_INTERVAL_MS", "MAX_QUEUED_FRAMES", "Session"]
