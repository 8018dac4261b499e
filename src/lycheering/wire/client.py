"""A connection to one peer, replaced by a new one when it goes silent."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import zmq

from lycheering.telemetry import logs
from lycheering.wire import calls
from lycheering.wire import channels
from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import pace
from lycheering.wire import peer_clock
from lycheering.wire import sockets
from lycheering.wire import view_gate

if TYPE_CHECKING:
    from lycheering.wire import api
    from lycheering.wire import byte_budget

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
PROBE_HEARTBEATS = 2

_LOG = logs.get("wire")


class _SilenceError(errors.WireError):
    """Nothing came for longer than a live peer may be silent."""


class Connection:
    """A connection to one peer.

    Attributes:
        address: Where the peer listens.
        peer_incarnation: The peer's incarnation; empty before the first
            welcome.
        peer_load: The load that the peer reported last.
        peer_load_at_ms: When it did, by this process's clock.
        last_used_ms: When it was last sent a request.
    """

    def __init__(
        self,
        address: api.Address,
        link: api.Link,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        """Makes a connection that is not started yet.

        Args:
            address: Where the peer listens.
            link: What connections of this process share.
            budget: What heartbeats may take while nothing is in flight, if
                that is bounded.
        """
        self.address = address
        self.peer_incarnation = ""
        self.peer_load = messages.LoadReport()
        self.peer_load_at_ms = 0.0
        self.last_used_ms = link.clock.now_ms()
        self._link = link
        self._heard = asyncio.Event()
        self._stir = asyncio.Event()
        self._socket: sockets.FrameSocket | None = None
        self._gate: view_gate.ViewGate | None = None
        self._ready = asyncio.Event()
        self._renewal = asyncio.Event()
        self._calls = calls.Calls()
        self._pace = pace.Pace(link.settings, link.clock, budget)
        self._peer_clock = peer_clock.PeerClock()
        self._task: asyncio.Task[None] | None = None
        self._closing = False

    @property
    def connected(self) -> bool:
        """Whether the peer has answered on the present connection."""
        return self._ready.is_set()

    @property
    def silent_ms(self) -> float:
        """Time that the peer has been silent though it should not be."""
        return self._pace.quiet_ms

    @property
    def idle_heartbeat_ms(self) -> float:
        """Time between heartbeats while no call is in flight, as agreed."""
        return self._pace.idle_heartbeat_ms

    @property
    def busy(self) -> bool:
        """Whether calls are in flight."""
        return len(self._calls) > 0

    @property
    def peer_revision(self) -> int:
        """The view revision that the peer was last seen to have."""
        return self._gate.peer_revision if self._gate is not None else 0

    def start(self) -> None:
        """Begins to connect."""
        self._task = asyncio.create_task(
            self._run(), name=f"wire:{self.address.name}"
        )

    async def close(self) -> None:
        """Closes the connection; its channels get Lost."""
        self._closing = True
        if self._ready.is_set():
            with contextlib.suppress(errors.PeerUnreachableError):
                self.send(messages.Bye())
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._calls.end()

    async def ready(self, timeout_ms: float) -> None:
        """Returns once the peer has answered.

        Raises:
            PeerUnreachableError: If it did not in time.
        """
        if self._ready.is_set():
            return
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._ready.wait()
        except TimeoutError as error:
            raise errors.PeerUnreachableError(self.address.name) from error

    async def probe(self, timeout_ms: float) -> None:
        """Has a connection replaced whose peer gives no sign of life.

        One that was heard of lately is not asked for any.

        Args:
            timeout_ms: Time for the sign of life.

        Raises:
            PeerUnreachableError: If there is no connection.
        """
        unheard_ms = self._link.clock.now_ms() - self._pace.received_ms
        if unheard_ms < PROBE_HEARTBEATS * self._link.settings.heartbeat_ms:
            return
        self.send(self._pace.heartbeat(busy=True))
        self._heard.clear()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._heard.wait()
        except TimeoutError:
            self.renew()

    def renew(self) -> None:
        """Has a connection that seems silent replaced at once.

        Its channels get Replaced once the peer answers on the new one.
        """
        if self._ready.is_set():
            self._ready.clear()
            self._renewal.set()

    def open(self) -> channels.Channel:
        """Returns a channel for a new call."""
        if not self.busy:
            self._pace.expect_answer()
        channel = self._calls.open(self)
        self._stir.set()
        self.last_used_ms = self._link.clock.now_ms()
        return channel

    def forget(self, call_id: int) -> None:
        """Drops a channel."""
        self._calls.forget(call_id)

    async def call(
        self,
        message: messages.Message,
        timeout_ms: float | None = None,
    ) -> messages.Message:
        """Sends a message and returns the reply.

        Args:
            message: The message.
            timeout_ms: Time for connection and reply; the settings' call
                timeout when None.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: If the message was not sent.
            CallTimeoutError: If it may have been acted on.
            CallFailedError: If the peer could not do it.
        """
        if timeout_ms is None:
            timeout_ms = self._link.settings.call_timeout_ms
        deadline_ms = self._link.clock.now_ms() + timeout_ms
        await self.ready(timeout_ms)
        left_ms = max(1.0, deadline_ms - self._link.clock.now_ms())
        channel = self.ask(message, left_ms)
        try:
            event = await channel.receive(left_ms)
        finally:
            channel.close()
        if isinstance(event, messages.Failure):
            raise errors.CallFailedError(event)
        if isinstance(event, channels.Replaced | channels.Lost):
            raise errors.CallTimeoutError(f"{self.address.name}: lost")
        return event

    def ask(self, message: messages.Message, ttl_ms: float) -> channels.Channel:
        """Sends a message and returns the channel that its reply comes on.

        The channel gets Lost as soon as the present connection is. The
        caller closes it.

        Args:
            message: The message.
            ttl_ms: Time after which the peer must not act on it.

        Raises:
            PeerUnreachableError: If the message was not sent.
        """
        channel = self.open()
        self._calls.mark_short(channel)
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
        """Hands a frame to the present connection.

        Args:
            message: What to say.
            call_id: The call that it belongs to.
            ttl_ms: Time after which the peer must not act on it.

        Raises:
            PeerUnreachableError: If there is no live connection, or too
                many frames wait in it.
        """
        if not self._ready.is_set():
            raise errors.PeerUnreachableError(self.address.name)
        self._send(message, call_id, ttl_ms)

    def peer_time_ms(self, own_time_ms: float) -> float:
        """Returns a time of this process by the peer's clock, or earlier."""
        return self._peer_clock.time_ms(own_time_ms)

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
        self._pace.sent()

    def _envelope(
        self, message: messages.Message, call_id: int, expires_ms: float
    ) -> messages.Envelope:
        # the session knows who sends after the hello
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
                await self._serve()
            except* (errors.WireError, zmq.ZMQError) as group:
                reason = type(group.exceptions[0]).__name__
                self._link.counters.increment("wire.replaced")
                _LOG.event(
                    "connection_replaced",
                    peer=self.address.name,
                    reason=reason,
                )
            except* Exception as group:
                # a fault in what one frame led to must not end the connection
                self._link.counters.increment("wire.failed_connection")
                _LOG.error(
                    "connection_failed",
                    peer=self.address.name,
                    error=repr(group.exceptions[0])[:200],
                )
            if self._closing:
                # a failure that comes with the cancellation replaces it
                return
            was_ready = self._ready.is_set()
            self._ready.clear()
            self._calls.lose_short()
            if was_ready:
                backoff_ms = FIRST_BACKOFF_MS
            if self._renewal.is_set():
                self._renewal.clear()
                continue
            pause_ms = backoff_ms * random.uniform(0.5, 1.5)
            await self._link.clock.sleep(pause_ms)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)

    async def _serve(self) -> None:
        socket = sockets.connect(self._link, self.address)
        self._socket = socket
        self._gate = view_gate.ViewGate(self._link, self._send, asks_teams=True)
        try:
            await self._greet(socket)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(socket))
                group.create_task(self._monitor(socket))
                group.create_task(self._watch())
                group.create_task(self._await_renewal())
        finally:
            self._socket = None
            self._gate.close()
            socket.close()

    def _hello(self) -> messages.Hello:
        identity = self._link.identity
        wished_ms = self._pace.wish_ms()
        if self.address.is_control:
            wished_ms = self._link.settings.control_heartbeat_ms
        return messages.Hello(identity.role, identity.failure_domain, wished_ms)

    async def _greet(self, socket: sockets.FrameSocket) -> None:
        before = self.peer_incarnation
        self.peer_incarnation = ""
        data = codec.encode(self._envelope(self._hello(), 0, 0.0))
        self.peer_incarnation = before
        try:
            async with asyncio.timeout(self._link.settings.silence_ms / 1_000):
                await socket.send_when_connected([data])
                first, *others = await socket.receive()
        except TimeoutError as error:
            raise _SilenceError(self.address.name) from error
        envelope = self._decode(first)
        if not isinstance(envelope.message, messages.Welcome):
            raise errors.MalformedFrameError("no welcome")
        self._welcomed(envelope, envelope.message)
        for frame in others:
            self._received(frame)

    def _welcomed(
        self, envelope: messages.Envelope, welcome: messages.Welcome
    ) -> None:
        self._pace.welcomed(welcome.heartbeat_ms)
        self.peer_incarnation = envelope.sender_incarnation
        self._read_peer_clock(welcome.now_ms)
        self._ready.set()
        self._accept(envelope)
        self._calls.replaced(self.peer_incarnation)

    async def _read(self, socket: sockets.FrameSocket) -> None:
        while True:
            for frame in await socket.receive():
                self._received(frame)

    def _received(self, frame: sockets.Frame) -> None:
        envelope = self._decode(frame)
        if envelope.sender_incarnation != self.peer_incarnation:
            raise errors.PeerRestartedError(self.address.name)
        self._pace.received()
        self._heard.set()
        self._accept(envelope)
        if not self._rests:
            self._stir.set()

    def _decode(self, frame: sockets.Frame) -> messages.Envelope:
        try:
            if len(frame) != 1:
                raise errors.MalformedFrameError(f"{len(frame)} parts")
            sockets.check_size(frame[0], self._link.settings)
            return codec.decode(frame[0])
        except errors.MalformedFrameError:
            self._link.counters.increment("wire.malformed")
            raise

    def _accept(self, envelope: messages.Envelope) -> None:
        if envelope.load is not None:
            self.peer_load = envelope.load
            self.peer_load_at_ms = self._link.clock.now_ms()
        assert self._gate is not None
        for admitted in self._gate.admit(envelope):
            self._dispatch(admitted)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        message = envelope.message
        if isinstance(message, messages.HeartbeatReply):
            self._read_peer_clock(message.now_ms)
            self._pace.confirm()
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
            # perhaps only by what is known of the peer's clock
            self._send(self._pace.heartbeat(busy=True))
        if envelope.call_id and not self._calls.put(envelope.call_id, message):
            self._link.counters.increment("wire.late_frame")

    def _read_peer_clock(self, told_ms: float) -> None:
        now_ms = self._link.clock.now_ms()
        self._peer_clock.read(self.peer_incarnation, told_ms, now_ms)

    async def _monitor(self, socket: sockets.FrameSocket) -> None:
        events = socket.monitor(zmq.EVENT_DISCONNECTED)
        try:
            await events.recv_multipart()
        finally:
            socket.socket.disable_monitor()
        raise errors.PeerUnreachableError(self.address.name)

    async def _watch(self) -> None:
        settings = self._link.settings
        while True:
            if self._rests:
                await self._rest()
            else:
                await self._link.clock.sleep(settings.heartbeat_ms / 2)
            if self._pace.is_silent():
                self._link.counters.increment("wire.silent")
                raise _SilenceError(self.address.name)
            if self._pace.heartbeat_due(busy=self.busy):
                self._send(self._pace.heartbeat(busy=self.busy))
            assert self._gate is not None
            idles = self._pace.idles(busy=self.busy)
            if idles and not self._gate.is_behind:
                # the next frame shows what the peer lacks
                continue
            for admitted in self._gate.tick():
                self._dispatch(admitted)

    @property
    def _rests(self) -> bool:
        """Whether nothing is due before the next heartbeat."""
        if self._pace.is_asked or not self._pace.idles(busy=self.busy):
            return False
        return self._gate is not None and not self._gate.is_behind

    async def _rest(self) -> None:
        self._stir.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pace.rest_ms() / 1_000):
                await self._stir.wait()

    async def _await_renewal(self) -> None:
        await self._renewal.wait()
        self._link.counters.increment("wire.renewed")
        raise _SilenceError(self.address.name)


__all__ = ["Connection"]
