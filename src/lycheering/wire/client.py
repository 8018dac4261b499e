"""A connection to one peer that is re-established when it fails."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import zmq

from lycheering.telemetry import logs
from lycheering.wire import call_registry
from lycheering.wire import channels
from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import heartbeat_schedule
from lycheering.wire import messages
from lycheering.wire import peer_clock
from lycheering.wire import sockets
from lycheering.wire import view_sync

if TYPE_CHECKING:
    from lycheering.wire import api
    from lycheering.wire import byte_budget

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
PROBE_AFTER_HEARTBEATS = 2

_LOG = logs.get("wire")


class _SilenceError(errors.WireError):
    """The peer was silent for too long, or a reconnect was requested."""


class Connection:
    """A connection to one peer, replaced by a new one when it fails.

    Attributes:
        address: The peer's address.
        peer_incarnation: The peer's incarnation; empty before the first
            handshake.
        peer_load: The peer's latest load report.
        peer_load_at_ms: When it arrived, by this process's clock.
        last_used_ms: When the connection was last used for a call.
    """

    def __init__(
        self,
        address: api.Address,
        link: api.Link,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        """Creates a connection that is not started yet.

        Args:
            address: The peer's address.
            link: The state shared by all connections of the process.
            budget: The byte budget that sets the heartbeat interval while
                the connection is idle; None if it is not limited.
        """
        self.address = address
        self.peer_incarnation = ""
        self.peer_load = messages.LoadReport()
        self.peer_load_at_ms = 0.0
        self.last_used_ms = link.clock.now_ms()
        self._link = link
        self._frame_received = asyncio.Event()
        self._idle_interrupt = asyncio.Event()
        self._socket: sockets.FrameSocket | None = None
        self._view_sync: view_sync.ViewSync | None = None
        self._ready = asyncio.Event()
        self._reconnect_requested = asyncio.Event()
        self._calls = call_registry.CallRegistry()
        self._heartbeats = heartbeat_schedule.HeartbeatSchedule(
            link.settings, link.clock, budget
        )
        self._peer_clock = peer_clock.PeerClock()
        self._task: asyncio.Task[None] | None = None
        self._closing = False

    @property
    def is_connected(self) -> bool:
        """Whether the handshake on the current connection is complete."""
        return self._ready.is_set()

    @property
    def silent_ms(self) -> float:
        """How long the peer has been silent although a frame is expected."""
        return self._heartbeats.silent_ms

    @property
    def idle_heartbeat_ms(self) -> float:
        """The agreed heartbeat interval while no call is in flight."""
        return self._heartbeats.idle_heartbeat_ms

    @property
    def is_busy(self) -> bool:
        """Whether calls are in flight."""
        return len(self._calls) > 0

    @property
    def peer_revision(self) -> int:
        """The highest view revision seen in frames of the peer."""
        return (
            self._view_sync.peer_revision if self._view_sync is not None else 0
        )

    def start(self) -> None:
        """Starts to connect."""
        self._task = asyncio.create_task(
            self._run(), name=f"wire:{self.address.name}"
        )

    async def close(self) -> None:
        """Closes the connection; its channels get a ConnectionLost event."""
        self._closing = True
        if self._ready.is_set():
            with contextlib.suppress(errors.PeerUnreachableError):
                self.send(messages.Bye())
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._calls.end_all()

    async def wait_ready(self, timeout_ms: float) -> None:
        """Waits until the handshake with the peer is complete.

        Args:
            timeout_ms: How long to wait.

        Raises:
            PeerUnreachableError: If it isn't complete in time.
        """
        if self._ready.is_set():
            return
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._ready.wait()
        except TimeoutError as error:
            raise errors.PeerUnreachableError(self.address.name) from error

    async def probe(self, timeout_ms: float) -> None:
        """Checks that the peer is alive and replaces the connection if not.

        Sends no heartbeat if a frame of the peer arrived recently.

        Args:
            timeout_ms: How long to wait for a frame of the peer.

        Raises:
            PeerUnreachableError: If there is no connection.
        """
        since_frame_ms = (
            self._link.clock.now_ms() - self._heartbeats.last_received_ms
        )
        if (
            since_frame_ms
            < PROBE_AFTER_HEARTBEATS * self._link.settings.heartbeat_ms
        ):
            return
        self.send(self._heartbeats.make_heartbeat(is_busy=True))
        self._frame_received.clear()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._frame_received.wait()
        except TimeoutError:
            self.reconnect()

    def reconnect(self) -> None:
        """Replaces the connection at once, as its peer seems to be silent.

        Its channels get a ConnectionReplaced event after the handshake on the
        new connection.
        """
        if self._ready.is_set():
            self._ready.clear()
            self._reconnect_requested.set()

    def open_channel(self) -> channels.Channel:
        """Opens a channel for a new call and returns it."""
        if not self.is_busy:
            self._heartbeats.expect_frame()
        channel = self._calls.open(self)
        self._idle_interrupt.set()
        self.last_used_ms = self._link.clock.now_ms()
        return channel

    def remove_call(self, call_id: int) -> None:
        """Removes a call; its channel gets no further events."""
        self._calls.remove(call_id)

    async def call(
        self,
        message: messages.Message,
        timeout_ms: float | None = None,
    ) -> messages.Message:
        """Sends a message and returns the reply.

        Args:
            message: The message.
            timeout_ms: Timeout for the connection and the reply; the call
                timeout of the settings if None.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: If the message was not sent.
            CallTimeoutError: If no reply arrived, but the peer may have
                executed the call.
            CallFailedError: If the peer replied with a failure.
        """
        if timeout_ms is None:
            timeout_ms = self._link.settings.call_timeout_ms
        deadline_ms = self._link.clock.now_ms() + timeout_ms
        await self.wait_ready(timeout_ms)
        remaining_ms = max(1.0, deadline_ms - self._link.clock.now_ms())
        channel = self.send_call(message, remaining_ms)
        try:
            event = await channel.receive(remaining_ms)
        finally:
            channel.close()
        if isinstance(event, messages.Failure):
            raise errors.CallFailedError(event)
        if isinstance(
            event, channels.ConnectionReplaced | channels.ConnectionLost
        ):
            raise errors.CallTimeoutError(f"{self.address.name}: lost")
        return event

    def send_call(
        self, message: messages.Message, ttl_ms: float
    ) -> channels.Channel:
        """Sends a message and returns the channel for its reply.

        The channel gets a ConnectionLost event as soon as the current
        connection is lost. The caller must close the channel.

        Args:
            message: The message.
            ttl_ms: Time after which the peer must not act on the message.

        Raises:
            PeerUnreachableError: If the message was not sent.
        """
        channel = self.open_channel()
        self._calls.mark_not_resumable(channel)
        try:
            channel.send(message, ttl_ms)
        except errors.PeerUnreachableError:
            channel.close()
            raise
        return channel

    def send(
        self,
        message: messages.Message,
        call_id: int = 0,
        ttl_ms: float = 0.0,
    ) -> None:
        """Sends a message on the current connection.

        Args:
            message: The message.
            call_id: The call that it belongs to; 0 for none.
            ttl_ms: Time after which the peer must not act on the message.

        Raises:
            PeerUnreachableError: If there is no live connection or its send
                queue is full.
        """
        if not self._ready.is_set():
            raise errors.PeerUnreachableError(self.address.name)
        self._send(message, call_id, ttl_ms)

    def peer_time_ms(self, own_time_ms: float) -> float:
        """Returns the earliest time on the peer's clock at a local time.

        Args:
            own_time_ms: Time by this process's clock.
        """
        return self._peer_clock.earliest_time_ms(own_time_ms)

    def _send(
        self,
        message: messages.Message,
        call_id: int = 0,
        ttl_ms: float = 0.0,
    ) -> None:
        socket = self._socket
        if socket is None:
            raise errors.PeerUnreachableError(self.address.name)
        now_ms = self._link.clock.now_ms()
        expires_ms = self.peer_time_ms(now_ms + ttl_ms) if ttl_ms else 0.0
        data = codec.encode(self._envelope(message, call_id, expires_ms))
        socket.send([data], self.address.name)
        self._heartbeats.note_sent()

    def _envelope(
        self, message: messages.Message, call_id: int, expires_ms: float
    ) -> messages.Envelope:
        # after Hello, the peer's session knows the sender
        identity = self._link.identity
        is_hello = isinstance(message, messages.Hello)
        return messages.Envelope(
            messages.PROTOCOL_VERSION,
            identity.name if is_hello else "",
            identity.incarnation if is_hello else "",
            self.peer_incarnation,
            self._link.view.revision(),
            call_id,
            expires_ms,
            message,
        )

    async def _run(self) -> None:
        backoff_ms: float = FIRST_BACKOFF_MS
        while True:
            try:
                await self._run_session()
            except* (errors.WireError, zmq.ZMQError) as group:
                reason = type(group.exceptions[0]).__name__
                self._link.counters.increment("wire.replaced")
                _LOG.event(
                    "connection_replaced",
                    peer=self.address.name,
                    reason=reason,
                )
            except* Exception as group:
                # an unexpected error over one frame must not end this task, or
                # the connection would never be established again
                self._link.counters.increment("wire.failed_connection")
                _LOG.error(
                    "connection_failed",
                    peer=self.address.name,
                    error=repr(group.exceptions[0])[:200],
                )
            if self._closing:
                # an error raised during cancellation hides the cancellation
                return
            was_ready = self._ready.is_set()
            self._ready.clear()
            self._calls.fail_not_resumable()
            if was_ready:
                backoff_ms = FIRST_BACKOFF_MS
            if self._reconnect_requested.is_set():
                self._reconnect_requested.clear()
                continue
            pause_ms = backoff_ms * random.uniform(0.5, 1.5)
            await self._link.clock.sleep(pause_ms)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)

    async def _run_session(self) -> None:
        socket = sockets.connect(self._link, self.address)
        self._socket = socket
        self._view_sync = view_sync.ViewSync(
            self._link, self._send, peer_has_teams=True
        )
        try:
            await self._handshake(socket)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_frames(socket))
                group.create_task(self._watch_disconnect(socket))
                group.create_task(self._run_timers())
                group.create_task(self._wait_for_reconnect())
        finally:
            self._socket = None
            self._view_sync.close()
            socket.close()

    def _hello(self) -> messages.Hello:
        identity = self._link.identity
        requested_ms = self._heartbeats.requested_interval_ms()
        if self.address.is_control:
            requested_ms = self._link.settings.control_heartbeat_ms
        return messages.Hello(
            identity.role, identity.failure_domain, requested_ms
        )

    async def _handshake(self, socket: sockets.FrameSocket) -> None:
        previous_incarnation = self.peer_incarnation
        self.peer_incarnation = ""
        data = codec.encode(self._envelope(self._hello(), 0, 0.0))
        self.peer_incarnation = previous_incarnation
        try:
            async with asyncio.timeout(self._link.settings.silence_ms / 1_000):
                await socket.send_when_connected([data])
                first, *later_frames = await socket.receive()
        except TimeoutError as error:
            raise _SilenceError(self.address.name) from error
        envelope = self._decode(first)
        if not isinstance(envelope.message, messages.Welcome):
            raise errors.MalformedFrameError("the first frame is not a Welcome")
        self._apply_welcome(envelope, envelope.message)
        for frame in later_frames:
            self._receive_frame(frame)

    def _apply_welcome(
        self, envelope: messages.Envelope, welcome: messages.Welcome
    ) -> None:
        self._heartbeats.reset(welcome.heartbeat_ms)
        self.peer_incarnation = envelope.sender_incarnation
        self._add_clock_reading(welcome.now_ms)
        self._ready.set()
        self._accept(envelope)
        self._calls.notify_replaced(self.peer_incarnation)

    async def _read_frames(self, socket: sockets.FrameSocket) -> None:
        while True:
            for frame in await socket.receive():
                self._receive_frame(frame)

    def _receive_frame(self, frame: sockets.Frame) -> None:
        envelope = self._decode(frame)
        if envelope.sender_incarnation != self.peer_incarnation:
            raise errors.PeerRestartedError(self.address.name)
        self._heartbeats.note_received()
        self._frame_received.set()
        self._accept(envelope)
        if not self._can_wait_for_heartbeat:
            self._idle_interrupt.set()

    def _decode(self, frame: sockets.Frame) -> messages.Envelope:
        try:
            if len(frame) != 1:
                raise errors.MalformedFrameError(
                    f"expected 1 message part, got {len(frame)}"
                )
            sockets.check_size(frame[0], self._link.settings)
            return codec.decode(frame[0])
        except errors.MalformedFrameError:
            self._link.counters.increment("wire.malformed")
            raise

    def _accept(self, envelope: messages.Envelope) -> None:
        if envelope.load is not None:
            self.peer_load = envelope.load
            self.peer_load_at_ms = self._link.clock.now_ms()
        assert self._view_sync is not None
        for admitted in self._view_sync.process_frame(envelope):
            self._dispatch(admitted)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        message = envelope.message
        if isinstance(message, messages.HeartbeatReply):
            self._add_clock_reading(message.now_ms)
            self._heartbeats.apply_announced()
        elif isinstance(message, messages.HelloRequired | messages.Bye):
            raise errors.PeerUnreachableError(self.address.name)
        else:
            self._dispatch_to_call(envelope)

    def _dispatch_to_call(self, envelope: messages.Envelope) -> None:
        message = envelope.message
        if (
            isinstance(message, messages.Failure)
            and message.reason is messages.Reason.EXPIRED
        ):
            # The estimate of the peer's clock may be too early. The reply to
            # a heartbeat gives a new reading.
            self._send(self._heartbeats.make_heartbeat(is_busy=True))
        if envelope.call_id and not self._calls.put(envelope.call_id, message):
            self._link.counters.increment("wire.late_frame")

    def _add_clock_reading(self, sent_at_ms: float) -> None:
        now_ms = self._link.clock.now_ms()
        self._peer_clock.add_reading(self.peer_incarnation, sent_at_ms, now_ms)

    async def _watch_disconnect(self, socket: sockets.FrameSocket) -> None:
        events = socket.monitor(zmq.EVENT_DISCONNECTED)
        try:
            await events.recv_multipart()
        finally:
            socket.socket.disable_monitor()
        raise errors.PeerUnreachableError(self.address.name)

    async def _run_timers(self) -> None:
        settings = self._link.settings
        while True:
            if self._can_wait_for_heartbeat:
                await self._wait_for_heartbeat()
            else:
                await self._link.clock.sleep(settings.heartbeat_ms / 2)
            if self._heartbeats.is_silent():
                self._link.counters.increment("wire.silent")
                raise _SilenceError(self.address.name)
            if self._heartbeats.is_heartbeat_due(is_busy=self.is_busy):
                self._send(
                    self._heartbeats.make_heartbeat(is_busy=self.is_busy)
                )
            assert self._view_sync is not None
            is_idle = self._heartbeats.uses_long_interval(is_busy=self.is_busy)
            if is_idle and not self._view_sync.is_behind:
                # revisions are compared when the next frame is exchanged
                continue
            for admitted in self._view_sync.tick():
                self._dispatch(admitted)

    @property
    def _can_wait_for_heartbeat(self) -> bool:
        """Whether nothing needs to be done before the next heartbeat."""
        if (
            self._heartbeats.is_frame_expected
            or not self._heartbeats.uses_long_interval(is_busy=self.is_busy)
        ):
            return False
        return self._view_sync is not None and not self._view_sync.is_behind

    async def _wait_for_heartbeat(self) -> None:
        self._idle_interrupt.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._heartbeats.until_heartbeat_ms() / 1_000
            ):
                await self._idle_interrupt.wait()

    async def _wait_for_reconnect(self) -> None:
        await self._reconnect_requested.wait()
        self._link.counters.increment("wire.renewed")
        raise _SilenceError(self.address.name)


__all__ = ["Connection"]
