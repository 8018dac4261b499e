"""Channels that carry the messages of single calls."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lycheering import signal_waiter
from lycheering.wire import errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.wire import client

MAX_CHANNEL_FRAMES = 4_096


@dataclasses.dataclass(frozen=True)
class ConnectionReplaced:
    """Event of a channel whose connection was replaced by a new one.

    Attributes:
        incarnation: The peer's incarnation on the new connection.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """Last event of a channel whose connection is closed or lost."""


ChannelEvent = messages.Message | ConnectionReplaced | ConnectionLost


class Channel:
    """Sends and receives the messages of one call.

    A channel stays open when its connection is replaced: the reader gets a
    ConnectionReplaced event and resumes the call on the new connection.
    """

    def __init__(self, connection: client.Connection, call_id: int) -> None:
        self._connection = connection
        self._call_id = call_id
        self._events: collections.deque[ChannelEvent] = collections.deque()
        self._signal_waiter = signal_waiter.SignalWaiter()

    def send(self, message: messages.Message, ttl_ms: float = 0.0) -> None:
        """Sends a message on the connection.

        Args:
            message: The message.
            ttl_ms: Time after which the peer must not act on the message;
                0 for no limit.

        Raises:
            PeerUnreachableError: If there is no live connection.
        """
        self._connection.send(message, self._call_id, ttl_ms)

    async def receive(self, timeout_ms: float) -> ChannelEvent:
        """Waits for the next event and returns it.

        Args:
            timeout_ms: How long to wait.

        Raises:
            CallTimeoutError: If no event arrives in time.
        """
        if not self._events and not await self._signal_waiter.wait(timeout_ms):
            raise errors.CallTimeoutError(
                f"no frame within {timeout_ms:.0f} ms"
            )
        return self._events.popleft()

    def put(self, event: ChannelEvent) -> None:
        """Appends an event; closes the channel if too many are unread."""
        if len(self._events) >= MAX_CHANNEL_FRAMES:
            self.close()
            return
        self._events.append(event)
        self._signal_waiter.signal()

    def close(self) -> None:
        """Ends the call; messages that arrive later are dropped."""
        self._signal_waiter.close()
        self._connection.remove_call(self._call_id)


__all__ = ["Channel", "ChannelEvent", "ConnectionLost", "ConnectionReplaced"]
