"""The calls in flight on one connection."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from lycheering.wire import channels

if TYPE_CHECKING:
    from lycheering.wire import client
    from lycheering.wire import messages


class OpenCalls:
    """Pairs frames with the calls that they belong to.

    Calls outlive the replacement of their connection, but for short ones.
    """

    def __init__(self, connection: client.Connection) -> None:
        self._connection = connection
        self._channel_by_call_id: dict[int, channels.Channel] = {}
        self._short_calls: set[channels.Channel] = set()
        self._call_ids = itertools.count(1)

    def __bool__(self) -> bool:
        return bool(self._channel_by_call_id)

    def open(self) -> channels.Channel:
        """Returns a channel for a new call."""
        call_id = next(self._call_ids)
        channel = channels.Channel(self._connection, call_id)
        self._channel_by_call_id[call_id] = channel
        return channel

    def shorten(self, channel: channels.Channel) -> None:
        """Has a call end with the present connection."""
        self._short_calls.add(channel)

    def forget(self, call_id: int) -> None:
        """Drops a channel."""
        channel = self._channel_by_call_id.pop(call_id, None)
        if channel is not None:
            self._short_calls.discard(channel)

    def put(self, call_id: int, message: messages.Message) -> bool:
        """Hands a message to its call; returns False if that is over."""
        channel = self._channel_by_call_id.get(call_id)
        if channel is None:
            return False
        channel.put(message)
        return True

    def replaced(self, incarnation: str) -> None:
        """Tells all calls of a new connection to the peer."""
        replaced = channels.Replaced(incarnation)
        for channel in list(self._channel_by_call_id.values()):
            channel.put(replaced)

    def end_short(self) -> None:
        """Ends the calls that are not picked up on another connection."""
        for channel in list(self._short_calls):
            channel.put(channels.Lost())

    def end_all(self) -> None:
        """Ends all calls."""
        for channel in list(self._channel_by_call_id.values()):
            channel.put(channels.Lost())
        self._channel_by_call_id.clear()


__all__ = ["OpenCalls"]
