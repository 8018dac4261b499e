"""Interfaces that a user of the replicated log implements."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.replication import members
    from lycheering.replication import messages


class StateMachine(abc.ABC):
    """State that every member builds by applying the same commands.

    The methods are deterministic: each returns the same result on every
    member. They run synchronously in the event loop.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command.

        Args:
            index: Log index of the command, higher than in earlier calls.
            command: The command as it was proposed.

        Returns:
            The result, which is handed to the proposer.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the state with one that `snapshot` returned."""


class Transport(abc.ABC):
    """Sends requests to other members."""

    @abc.abstractmethod
    async def call(
        self,
        peer: members.PeerAddress,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message:
        """Sends a request and waits for its reply.

        Args:
            peer: Address of the member to call.
            message: The request.
            timeout_ms: Longest wait for the reply, in ms.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No reply arrived in time.
        """


__all__ = ["StateMachine", "Transport"]
