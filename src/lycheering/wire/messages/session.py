"""The messages that open, keep alive and close a session."""

from __future__ import annotations

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import view
from lycheering.wire.messages import common


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Opens a session; sent as the first frame of each connection.

    Attributes:
        role: The sender's role.
        failure_domain: The sender's failure domain.
        heartbeat_ms: Requested heartbeat interval while nothing is in flight;
            0 for the receiver's default.
    """

    role: common.Role
    failure_domain: str
    heartbeat_ms: float = 0.0


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers Hello.

    Attributes:
        now_ms: Current time by the sender's clock, which decides when frames
            to the sender expire.
        heartbeat_ms: Heartbeat interval while nothing is in flight, at most
            the requested one; 0 for the receiver's default.
    """

    now_ms: float
    heartbeat_ms: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a peer for a reply, to check that it is alive.

    Attributes:
        next_ms: Maximum time until the sender's next frame while nothing is
            in flight; 0 if it is unchanged.
    """

    next_ms: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers Heartbeat.

    Attributes:
        now_ms: Current time by the sender's clock, which decides when frames
            to the sender expire.
    """

    now_ms: float


class HelloRequired(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells a peer that its session is unknown and must be reopened."""


class Failure(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers a call that failed.

    Attributes:
        reason: Why the call failed.
        detail: Human-readable explanation.
        retry_after_ms: Time after which to retry; 0 if a retry is of no use.
        leader: Name of the control instance to call instead; empty if not
            known.
    """

    reason: common.Reason
    detail: str = ""
    retry_after_ms: float = 0.0
    leader: str = ""


class Done(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a call that succeeded without a result."""


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Closes a session deliberately."""


class ViewFetch(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for the receiver's fleet view.

    Attributes:
        since: The view revision that the sender has.
        whole: Whether the sender needs the whole view, not the changes after
            its revision.
        with_teams: Whether the sender needs the teams.
        digest: Digest of the whole view of which the sender has some parts;
            empty for none.
        part: Index of the next part of that view to send.
    """

    since: int
    whole: bool = False
    with_teams: bool = True
    digest: str = ""
    part: int = 0


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Carries changes of the fleet view.

    Attributes:
        numbered: Some or all of the changes after the receiver's revision.
        snapshot: The whole view, for use within a process; peers get it in
            parts instead.
    """

    numbered: tuple[changes.NumberedChange, ...] = ()
    snapshot: view.ViewSnapshot | None = None


class ViewLater(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Tells a peer to ask for the whole view again later.

    Attributes:
        retry_after_ms: Time after which to ask again.
    """

    retry_after_ms: float


class ViewNotice(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Notifies a peer of a newer view, whose revision the envelope holds."""


__all__ = [
    "Bye",
    "Done",
    "Failure",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "HelloRequired",
    "ViewFetch",
    "ViewLater",
    "ViewNotice",
    "ViewUpdate",
    "Welcome",
]
