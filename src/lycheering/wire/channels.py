"""The frames that belong to one call on a connection."""

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
class Replaced:
    """Put into a channel when its connection was replaced.

    Attributes:
        incarnation: The incarnation of the peer now spoken to.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """Put into a channel when its connection is closed for good."""


Event = messages.Message | Replaced | Lost


class Channel:
    """The frames that belong to one call on a connection.

    A channel outlives the connection's replacement: its reader gets a
    Replaced event and picks the call up again.
    """

    def __init__(self, connection: client.Connection, call_id: int) -> None:
        self._connection = connection
        self._call_id = call_id
        self._events: collections.deque[Event] = collections.deque()
        self._signal_waiter = signal_waiter.SignalWaiter()

    def send(self, message: messages.Message, ttl_ms: float = 0.0) -> None:
        """Hands a frame to the connection.

        Args:
            message: What to say.
            ttl_ms: Time after which the peer must not act on it; 0 for
                no limit.

        Raises:
            PeerUnreachableError: If there is no live connection.
        """
        self._connection.send(message, self._call_id, ttl_ms)

    async def receive(self, timeout_ms: float) -> Event:
        """Returns the next event.

        Raises:
            CallTimeoutError: If none came in time.
        """
        if not self._events and not await self._signal_waiter.wait(timeout_ms):
            raise errors.CallTimeoutError(
                f"no frame within {timeout_ms:.0f} ms"
            )
        return self._events.popleft()

    def put(self, event: Event) -> None:
        """Adds an event; the channel is closed if too many wait."""
        if len(self._events) >= MAX_CHANNEL_FRAMES:
            self.close()
            return
        self._events.append(event)
        self._signal_waiter.signal()

    def close(self) -> None:
        """Forgets the call: later frames of it go nowhere."""
        self._signal_waiter.close()
        self._connection.forget(self._call_id)


__all__ = ["Channel", "Event", "Lost", "Replaced"]
