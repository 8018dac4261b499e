"""What can go wrong between two processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.wire import messages


class WireError(Exception):
    """The base of all errors of the inner protocol."""


class MalformedFrameError(WireError):
    """A frame can't be read, or speaks another version."""


class PeerUnreachableError(WireError):
    """A frame could not be handed to the connection.

    Nothing is known of whether earlier frames arrived.
    """


class CallTimeoutError(WireError):
    """No reply came in time; the call may have been acted on."""


class PeerRestartedError(WireError):
    """The peer is another incarnation than the one spoken to before."""


class CallFailedError(WireError):
    """The peer answered that it could not do the call.

    Attributes:
        failure: What the peer answered.
    """

    def __init__(self, failure: messages.Failure) -> None:
        super().__init__(f"{failure.reason}: {failure.detail}")
        self.failure = failure


__all__ = [
    "CallFailedError",
    "CallTimeoutError",
    "MalformedFrameError",
    "PeerRestartedError",
    "PeerUnreachableError",
    "WireError",
]
