"""A peer's connection, as the server sees it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheering.wire import byte_budget
from lycheering.wire import messages
from lycheering.wire import view_gate

if TYPE_CHECKING:
    from lycheering.wire import server as servers

MAX_SESSION_FRAMES = 2_000
LOAD_INTERVAL_MS = 50


class Session:
    """A peer's connection, as the server sees it.

    Attributes:
        name: The peer's name.
        role: Its role.
        incarnation: Its incarnation.
        failure_domain: The failure domain it is in.
        last_received_ms: When its last frame came.
        heartbeat_ms: Time between its heartbeats while it is idle, where
            that was agreed or told since; 0 elsewhere.
        said_bye: Whether it closed the connection itself, which it does
            only while no call is in flight.
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
        self.said_bye = False
        # an entry tells its agents anew whenever it goes slower
        self._adapts = (
            server.link.identity.role is messages.Role.AGENT
            and hello.role is messages.Role.ENTRY
        )
        most_ms = server.link.settings.control_heartbeat_ms
        if self._adapts:
            most_ms = byte_budget.MAX_IDLE_HEARTBEAT_MS
        self.heartbeat_ms = min(hello.heartbeat_ms, most_ms)
        self.inbox: asyncio.Queue[messages.Envelope] = asyncio.Queue(
            MAX_SESSION_FRAMES
        )
        self.gate = view_gate.ViewGate(server.link, self.send)
        self._server = server
        self._routing_id = routing_id
        self._load_sent_ms = 0.0

    @property
    def view_revision(self) -> int:
        """The view revision that the peer was last seen to have."""
        return self.gate.peer_revision

    def send(self, message: messages.Message, call_id: int = 0) -> None:
        """Hands a frame to the peer's connection.

        Args:
            message: What to say.
            call_id: The call that it answers.

        Raises:
            PeerUnreachableError: If the peer is gone or reads too slowly.
        """
        self._server.send(self, self._routing_id, message, call_id)

    def heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Learns when to expect the peer's next frame while it is idle."""
        if self._adapts and heartbeat.next_ms > 0:
            most_ms = byte_budget.MAX_IDLE_HEARTBEAT_MS
            self.heartbeat_ms = min(heartbeat.next_ms, most_ms)

    def rests(self, serving: set[Session]) -> bool:
        """Returns whether the peer may be silent for longer now.

        Args:
            serving: The sessions that wait for answers.
        """
        settings = self._server.link.settings
        is_slow = self._adapts and self.heartbeat_ms > settings.heartbeat_ms
        return is_slow and self not in serving and not self.gate.is_behind

    def is_silent(self, now_ms: float, serving: set[Session]) -> bool:
        """Returns whether the peer is taken for gone.

        Args:
            now_ms: The time.
            serving: The sessions that wait for answers.
        """
        settings = self._server.link.settings
        slower_ms = max(0.0, self.heartbeat_ms - settings.heartbeat_ms)
        if self._adapts and self in serving:
            slower_ms = 0.0
        silent_ms = now_ms - self.last_received_ms
        return silent_ms >= settings.silence_ms + slower_ms

    def load_due(self, now_ms: float) -> bool:
        """Returns whether the next frame should carry the load."""
        due = now_ms - self._load_sent_ms >= LOAD_INTERVAL_MS
        if due:
            self._load_sent_ms = now_ms
        return due


__all__ = ["LOAD_INTERVAL_MS", "MAX_SESSION_FRAMES", "Session"]
