"""What the replicated log needs from its surroundings."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.replication import members
    from lycheering.replication import messages


class StateMachine(abc.ABC):
    """State that all members reach by applying the same commands.

    Every method runs in the event loop without a pause, and gives the same
    result on every member.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command.

        Args:
            index: Index of its entry; grows from call to call.
            command: What was proposed.

        Returns:
            The result, for whoever proposed it.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the state by one that a snapshot returned."""


class Transport(abc.ABC):
    """Carries messages to other members."""

    @abc.abstractmethod
    async def call(
        self,
        peer: members.PeerAddress,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message:
        """Sends a request and waits for its reply.

        Args:
            peer: Whom to send it to.
            message: The request.
            timeout_ms: How long to wait.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No reply came in time.
        """


__all__ = ["StateMachine", "Transport"]
