"""The frames that belong to one call on a connection."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

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
        self._events: asyncio.Queue[Event] = asyncio.Queue(MAX_CHANNEL_FRAMES)

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
        if not self._events.empty():
            return self._events.get_nowait()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._events.get()
        except TimeoutError as error:
            raise errors.CallTimeoutError(
                f"no frame within {timeout_ms:.0f} ms"
            ) from error

    def put(self, event: Event) -> None:
        """Adds an event; the channel is closed if too many wait."""
        try:
            self._events.put_nowait(event)
        except asyncio.QueueFull:
            self.close()

    def close(self) -> None:
        """Forgets the call: later frames of it go nowhere."""
        self._connection.forget(self._call_id)


__all__ = ["Channel", "Event", "Lost", "Replaced"]
