"""The calls in flight on one connection."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from lycheering.wire import channels

if TYPE_CHECKING:
    from lycheering.wire import client
    from lycheering.wire import messages


class Calls:
    """The channels of the calls that are in flight, by call id."""

    def __init__(self) -> None:
        self._channel_by_call_id: dict[int, channels.Channel] = {}
        self._short_calls: set[channels.Channel] = set()
        self._call_ids = itertools.count(1)

    def __len__(self) -> int:
        """Returns how many calls are in flight."""
        return len(self._channel_by_call_id)

    def open(self, connection: client.Connection) -> channels.Channel:
        """Returns a channel for a new call on a connection."""
        call_id = next(self._call_ids)
        channel = channels.Channel(connection, call_id)
        self._channel_by_call_id[call_id] = channel
        return channel

    def mark_short(self, channel: channels.Channel) -> None:
        """Notes a call that is not picked up on another connection."""
        self._short_calls.add(channel)

    def forget(self, call_id: int) -> None:
        """Drops a call."""
        channel = self._channel_by_call_id.pop(call_id, None)
        if channel is not None:
            self._short_calls.discard(channel)

    def put(self, call_id: int, message: messages.Message) -> bool:
        """Hands a message to its call; returns whether there is one."""
        channel = self._channel_by_call_id.get(call_id)
        if channel is None:
            return False
        channel.put(message)
        return True

    def replaced(self, incarnation: str) -> None:
        """Tells all calls that the peer answers on another connection."""
        event = channels.Replaced(incarnation)
        for channel in list(self._channel_by_call_id.values()):
            channel.put(event)

    def lose_short(self) -> None:
        """Tells short calls that their connection is lost."""
        for channel in list(self._short_calls):
            channel.put(channels.Lost())

    def end(self) -> None:
        """Tells all calls that the connection is closed for good."""
        for channel in list(self._channel_by_call_id.values()):
            channel.put(channels.Lost())
        self._channel_by_call_id.clear()


__all__ = ["Calls"]
