"""Errors that the replicated log raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.replication import members


class ReplicationError(Exception):
    """Base of all errors of the replicated log."""


class PeerUnreachableError(ReplicationError):
    """No reply from a peer, which may have received the request or not."""


class NotLeaderError(ReplicationError):
    """This member is not the leader; nothing was appended.

    Attributes:
        leader: Last known address of the leader, None if unknown.
    """

    def __init__(self, leader: members.PeerAddress | None) -> None:
        hint = leader.address if leader else "unknown"
        super().__init__(f"not the leader; the leader is {hint}")
        self.leader = leader


class UnavailableError(ReplicationError):
    """The member cannot serve at present; nothing was appended."""


class OutcomeUnknownError(ReplicationError):
    """The command was appended, but may or may not be committed."""


class MemberChangeError(ReplicationError):
    """A membership change was refused (nothing was appended) or cancelled."""


class NewcomerLostError(ReplicationError):
    """A new member lost its disk before its change was complete."""


__all__ = [
    "MemberChangeError",
    "NewcomerLostError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "PeerUnreachableError",
    "ReplicationError",
    "UnavailableError",
]
