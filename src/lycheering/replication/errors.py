"""Errors of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.replication import members


class ReplicationError(Exception):
    """Base of all errors of the replicated log."""


class PeerUnreachableError(ReplicationError):
    """A peer gave no answer; whether it got the message is not known."""


class NotLeaderError(ReplicationError):
    """This member does not lead; nothing was appended.

    Attributes:
        leader: Where the leader was last known to be.
    """

    def __init__(self, leader: members.PeerAddress | None) -> None:
        hint = leader.address if leader else "unknown"
        super().__init__(f"not the leader; the leader is {hint}")
        self.leader = leader


class UnavailableError(ReplicationError):
    """The member cannot serve now; nothing was appended."""


class OutcomeUnknownError(ReplicationError):
    """The command was appended and may or may not take effect."""


class MemberChangeError(ReplicationError):
    """A change of the members was refused; nothing was appended."""


class NewcomerLostError(ReplicationError):
    """A newcomer lost its disk before its change was over."""


__all__ = [
    "MemberChangeError",
    "NewcomerLostError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "PeerUnreachableError",
    "ReplicationError",
    "UnavailableError",
]
