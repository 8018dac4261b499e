"""The calls in flight on one connection."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from lycheering.wire import channels

if TYPE_CHECKING:
    from lycheering.wire import client
    from lycheering.wire import messages


class CallRegistry:
    """Registry of the calls in flight and their channels."""

    def __init__(self) -> None:
        self._channel_by_call_id: dict[int, channels.Channel] = {}
        self._not_resumable: set[channels.Channel] = set()
        self._call_ids = itertools.count(1)

    def __len__(self) -> int:
        """Returns the number of calls in flight."""
        return len(self._channel_by_call_id)

    def open(self, connection: client.Connection) -> channels.Channel:
        """Creates and returns a channel for a new call on a connection."""
        call_id = next(self._call_ids)
        channel = channels.Channel(connection, call_id)
        self._channel_by_call_id[call_id] = channel
        return channel

    def mark_not_resumable(self, channel: channels.Channel) -> None:
        """Marks a call that can't be resumed on another connection."""
        self._not_resumable.add(channel)

    def remove(self, call_id: int) -> None:
        """Removes a call."""
        channel = self._channel_by_call_id.pop(call_id, None)
        if channel is not None:
            self._not_resumable.discard(channel)

    def put(self, call_id: int, message: messages.Message) -> bool:
        """Puts a message into its call's channel.

        Returns:
            False if there is no such call.
        """
        channel = self._channel_by_call_id.get(call_id)
        if channel is None:
            return False
        channel.put(message)
        return True

    def notify_replaced(self, incarnation: str) -> None:
        """Notifies all calls that the connection was replaced by a new one.

        Args:
            incarnation: The peer's incarnation on the new connection.
        """
        event = channels.ConnectionReplaced(incarnation)
        for channel in list(self._channel_by_call_id.values()):
            channel.put(event)

    def fail_not_resumable(self) -> None:
        """Ends the calls that can't be resumed, as their connection is lost."""
        for channel in list(self._not_resumable):
            channel.put(channels.ConnectionLost())

    def end_all(self) -> None:
        """Ends all calls, as the connection is closed and not replaced."""
        for channel in list(self._channel_by_call_id.values()):
            channel.put(channels.ConnectionLost())
        self._channel_by_call_id.clear()


__all__ = ["CallRegistry"]
