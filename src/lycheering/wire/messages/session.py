"""The messages that open, keep and end a session."""

from __future__ import annotations

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import view
from lycheering.wire.messages import common


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Opens a session; the first frame on each connection.

    Attributes:
        role: The sender's role.
        failure_domain: The failure domain it is in.
        heartbeat_ms: Wished time between heartbeats while nothing is in
            flight; 0 for the receiver's own.
    """

    role: common.Role
    failure_domain: str
    heartbeat_ms: float = 0.0


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers Hello.

    Attributes:
        now_ms: The sender's clock, by which frames to it expire.
        heartbeat_ms: Time between heartbeats while nothing is in flight,
            not above the wish; 0 for the receiver's own.
    """

    now_ms: float
    heartbeat_ms: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a peer for a sign of life.

    Attributes:
        next_ms: Longest time until the sender's next frame while nothing is
            in flight; 0 if that is as before.
    """

    next_ms: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers Heartbeat.

    Attributes:
        now_ms: The sender's clock, by which frames to it expire.
    """

    now_ms: float


class HelloRequired(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells a peer that its session is not known here."""


class Failure(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers a call that could not be done.

    Attributes:
        reason: Why.
        detail: Text for people.
        retry_after_ms: When to try again; 0 where that is no use.
        leader: The control instance to ask instead, if one is known.
    """

    reason: common.Reason
    detail: str = ""
    retry_after_ms: float = 0.0
    leader: str = ""


class Done(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a call that has nothing more to say."""


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Closes a session on purpose."""


class ViewFetch(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for the fleet view that the receiver holds.

    Attributes:
        since: The sender's own view revision.
        whole: Whether changes after it are of no use.
        with_teams: Whether the sender uses the teams.
        digest: Digest of the whole view that it holds parts of.
        part: The part of that view wanted next.
    """

    since: int
    whole: bool = False
    with_teams: bool = True
    digest: str = ""
    part: int = 0


class ViewUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Hands over changes of the fleet view.

    Attributes:
        numbered: Some or all changes after the receiver's revision.
        snapshot: A whole view that is at hand; peers get it in parts.
    """

    numbered: tuple[changes.NumberedChange, ...] = ()
    snapshot: view.ViewSnapshot | None = None


class ViewLater(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Tells a peer to ask for the whole view later.

    Attributes:
        retry_after_ms: When to ask again.
    """

    retry_after_ms: float


class ViewNotice(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Tells a peer that there is a newer view, by the frame's revision."""


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
