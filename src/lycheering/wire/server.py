"""Accepts connections of peers and runs one task for each session."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import zmq
import zmq.utils.monitor

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.telemetry import rate_limited_warning
from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import session as sessions
from lycheering.wire import sockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.wire import api

MAX_SESSIONS = 5_000
CLOSE_LINGER_MS = 200

_LOG = logs.get("wire")


# so that handlers can refer to it as server.Session
Session = sessions.Session


class Server(app_api.Part):
    """Listens for peers and manages their sessions.

    Attributes:
        link: The state shared by all connections of the process.
        port: The port; after the start, the one actually bound.
        session_by_routing_id: The open sessions.
    """

    def __init__(
        self,
        link: api.Link,
        ip: str,
        handler: api.SessionHandler,
        load: Callable[[], messages.LoadReport] | None = None,
    ) -> None:
        self.link = link
        self.port = link.settings.port
        self.session_by_routing_id: dict[bytes, Session] = {}
        self._ip = ip
        self._handler = handler
        self._report_load = load
        self._socket: sockets.FrameSocket | None = None
        self._tasks = app_api.TaskOwner()
        self._handshake_warning = rate_limited_warning.RateLimitedWarning(
            _LOG, "refused_handshake", link.clock
        )
        self._malformed_warning = rate_limited_warning.RateLimitedWarning(
            _LOG, "malformed_frame", link.clock
        )

    async def start(self) -> None:
        """Binds the port and starts to accept sessions."""
        settings = self.link.settings
        socket = zmq.Socket(self.link.context, zmq.ROUTER)
        sockets.configure(socket, settings, self._ip)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        host = f"[{self._ip}]" if ":" in self._ip else self._ip
        self.link.security.secure_server(socket)
        port = settings.port or "*"
        socket.bind(f"tcp://{host}:{port}")
        endpoint = socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.port = int(endpoint.rpartition(":")[2])
        self._socket = sockets.FrameSocket(socket)
        self._tasks.spawn_with_restarts(self._read_frames, "wire:server")
        self._tasks.spawn_with_restarts(self._watch_sessions, "wire:watch")
        self._tasks.spawn(self._watch_handshakes(self._socket), "wire:monitor")
        _LOG.event("listening", ip=self._ip, port=self.port)

    async def stop(self) -> None:
        """Sends Bye to all peers and closes the port."""
        for session in list(self.session_by_routing_id.values()):
            try:
                session.send(messages.Bye())
            except errors.PeerUnreachableError:
                continue
        await asyncio.sleep(0)
        await self._tasks.cancel_all()
        if self._socket is not None:
            # lets queued frames be sent before the socket closes
            self._socket.close(CLOSE_LINGER_MS)
            self._socket = None
        self.link.security.close()

    async def _watch_handshakes(self, socket: sockets.FrameSocket) -> None:
        event_mask = (
            zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
            | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
            | zmq.EVENT_DISCONNECTED
        )
        events = socket.monitor(event_mask)
        try:
            while True:
                parts = await events.recv_multipart()
                event = zmq.utils.monitor.parse_monitor_message(parts)
                if event["event"] == zmq.EVENT_DISCONNECTED:
                    self.link.counters.increment("wire.disconnected")
                    continue
                self.link.counters.increment("wire.refused_handshake")
                self._handshake_warning.warn(port=self.port)
        finally:
            socket.socket.disable_monitor()

    def push_view(self) -> None:
        """Pushes changes of the fleet view to all peers with an older view.

        Idle peers with a long heartbeat interval are skipped; they get the
        changes when their next frame arrives.
        """
        serving = self._handler.serving()
        for session in list(self.session_by_routing_id.values()):
            if session.uses_long_interval(serving):
                continue
            try:
                session.view_sync.push_changes()
            except errors.PeerUnreachableError:
                continue

    def send(
        self,
        session: Session,
        routing_id: bytes,
        message: messages.Message,
        call_id: int,
    ) -> None:
        """Sends a message on the connection of a session.

        Raises:
            PeerUnreachableError: If the peer is not connected or its send
                queue is full.
        """
        socket = self._socket
        if socket is None:
            raise errors.PeerUnreachableError(session.name)
        load = None
        if self._report_load is not None and session.take_load_slot(
            self.link.clock.now_ms()
        ):
            load = self._report_load()
        # after Welcome, the client knows the server's identity
        is_welcome = isinstance(message, messages.Welcome)
        envelope = messages.Envelope(
            messages.PROTOCOL_VERSION,
            self.link.identity.name if is_welcome else "",
            self.link.identity.incarnation,
            session.incarnation if is_welcome else "",
            self.link.view.revision(),
            call_id,
            0.0,
            message,
            load,
        )
        parts = [routing_id, codec.encode(envelope)]
        socket.send(parts, session.name)

    async def _read_frames(self) -> None:
        socket = self._socket
        assert socket is not None
        while True:
            for parts in await socket.receive():
                self._receive_frame(socket, parts)

    def _receive_frame(
        self, socket: sockets.FrameSocket, parts: sockets.Frame
    ) -> None:
        try:
            if len(parts) != 2:
                raise errors.MalformedFrameError(
                    f"expected 2 message parts, got {len(parts)}"
                )
            sockets.check_size(parts[1], self.link.settings)
            envelope = codec.decode(parts[1])
            self._accept(socket, parts[0], envelope)
        except errors.MalformedFrameError as error:
            self.link.counters.increment("wire.malformed")
            self._malformed_warning.warn(detail=str(error)[:200])
        except errors.PeerUnreachableError as error:
            self._drop_session(parts[0], str(error))
        except Exception as error:
            # an unexpected error over one peer's frame must not stop the
            # reading of other peers' frames
            self.link.counters.increment("wire.failed_frame")
            _LOG.error("frame_failed", error=repr(error)[:200])
            self._drop_session(parts[0], "unexpected error")

    def _accept(
        self,
        socket: sockets.FrameSocket,
        routing_id: bytes,
        envelope: messages.Envelope,
    ) -> None:
        message = envelope.message
        if isinstance(message, messages.Hello):
            self._welcome(routing_id, envelope, message)
            return
        session = self.session_by_routing_id.get(routing_id)
        own_incarnation = self.link.identity.incarnation
        if session is None or envelope.receiver_incarnation != own_incarnation:
            self.link.counters.increment("wire.stray_frame")
            self._require_hello(socket, routing_id, envelope)
            return
        session.last_received_ms = self.link.clock.now_ms()
        if isinstance(message, messages.Bye):
            session.is_closed_by_peer = True
            self._drop_session(routing_id, "bye")
            return
        for admitted in session.view_sync.process_frame(envelope):
            self._enqueue(routing_id, session, admitted)

    def _enqueue(
        self,
        routing_id: bytes,
        session: Session,
        envelope: messages.Envelope,
    ) -> None:
        if isinstance(envelope.message, messages.Heartbeat):
            session.apply_heartbeat(envelope.message)
            now_ms = self.link.clock.now_ms()
            session.send(messages.HeartbeatReply(now_ms))
            return
        try:
            session.inbox.put_nowait(envelope)
        except asyncio.QueueFull:
            self.link.counters.increment("wire.inbox_full")
            self._drop_session(routing_id, "inbox full")

    def _welcome(
        self,
        routing_id: bytes,
        envelope: messages.Envelope,
        hello: messages.Hello,
    ) -> None:
        if len(self.session_by_routing_id) >= MAX_SESSIONS:
            self.link.counters.count_refusal("sessions")
            return
        session = Session(self, routing_id, envelope, hello)
        session.last_received_ms = self.link.clock.now_ms()
        self.session_by_routing_id[routing_id] = session
        now_ms = self.link.clock.now_ms()
        session.send(messages.Welcome(now_ms, session.heartbeat_ms))
        session.view_sync.note_hello(envelope.view_revision)
        self._handler.opened(session)
        self._tasks.spawn(
            self._run_session(routing_id, session), f"wire:{session.name}"
        )

    def _require_hello(
        self,
        socket: sockets.FrameSocket,
        routing_id: bytes,
        envelope: messages.Envelope,
    ) -> None:
        reply = messages.Envelope(
            messages.PROTOCOL_VERSION,
            self.link.identity.name,
            self.link.identity.incarnation,
            envelope.sender_incarnation,
            0,
            0,
            0.0,
            messages.HelloRequired(),
        )
        parts = [routing_id, codec.encode(reply)]
        socket.send(parts, envelope.sender)

    async def _run_session(self, routing_id: bytes, session: Session) -> None:
        try:
            while self.session_by_routing_id.get(routing_id) is session:
                envelope = await session.inbox.get()
                if isinstance(envelope.message, messages.Bye):
                    break
                await self._handle(session, envelope)
        except errors.PeerUnreachableError as error:
            self._drop_session(routing_id, str(error))
        finally:
            self.session_by_routing_id.pop(routing_id, None)
            session.view_sync.close()
            await self._handler.closed(session)

    async def _handle(
        self, session: Session, envelope: messages.Envelope
    ) -> None:
        expires_ms = envelope.expires_ms
        if expires_ms and self.link.clock.now_ms() >= expires_ms:
            self.link.counters.count_refusal(messages.Reason.EXPIRED)
            if envelope.call_id:
                failure = messages.Failure(messages.Reason.EXPIRED)
                session.send(failure, envelope.call_id)
            return
        try:
            await self._handler.handle(session, envelope)
        except errors.PeerUnreachableError:
            raise
        except Exception as error:
            self.link.counters.increment("wire.handler_failed")
            kind = type(envelope.message).__name__
            _LOG.error("handler_failed", message=kind, error=repr(error))
            if envelope.call_id:
                failure = messages.Failure(
                    messages.Reason.INTERNAL, type(error).__name__
                )
                session.send(failure, envelope.call_id)

    def _drop_session(self, routing_id: bytes, reason: str) -> None:
        session = self.session_by_routing_id.pop(routing_id, None)
        if session is None:
            return
        _LOG.event("session_closed", peer=session.name, reason=reason)
        # wakes the session's task, which ends as its session is dropped
        while session.inbox.full():
            session.inbox.get_nowait()
        session.inbox.put_nowait(
            messages.Envelope(
                messages.PROTOCOL_VERSION,
                session.name,
                session.incarnation,
                self.link.identity.incarnation,
                0,
                0,
                0.0,
                messages.Bye(),
            )
        )

    async def _watch_sessions(self) -> None:
        settings = self.link.settings
        while True:
            await self.link.clock.sleep(settings.heartbeat_ms)
            now_ms = self.link.clock.now_ms()
            serving = self._handler.serving()
            for routing_id, session in list(self.session_by_routing_id.items()):
                if session.is_silent(now_ms, serving):
                    self.link.counters.increment("wire.silent_session")
                    self._drop_session(routing_id, "silent")
                elif not session.uses_long_interval(serving):
                    self._tick_view(routing_id, session)

    def _tick_view(self, routing_id: bytes, session: Session) -> None:
        try:
            for admitted in session.view_sync.tick():
                self._enqueue(routing_id, session, admitted)
        except errors.PeerUnreachableError as error:
            self._drop_session(routing_id, str(error))


__all__ = ["Server", "Session"]
