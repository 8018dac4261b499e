"""Errors of the inner protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.wire import messages


class WireError(Exception):
    """Base class of the errors of the inner protocol."""


class MalformedFrameError(WireError):
    """A frame is invalid or has another protocol version."""


class PeerUnreachableError(WireError):
    """A frame could not be sent, as there is no live connection or it is full.

    Whether earlier frames arrived is unknown.
    """


class CallTimeoutError(WireError):
    """No reply arrived in time; the peer may have executed the call."""


class PeerRestartedError(WireError):
    """The peer has restarted: its incarnation differs from the earlier one."""


class CallFailedError(WireError):
    """The peer replied that the call failed.

    Attributes:
        failure: The peer's reply.
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
