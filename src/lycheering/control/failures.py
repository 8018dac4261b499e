"""Translates errors of the replicated log into failure messages."""

from __future__ import annotations

from lycheering.control import registrations
from lycheering.replication import errors
from lycheering.wire import messages

NO_QUORUM_RETRY_MS = 500.0
NOT_LEADER_RETRY_MS = 100.0
FULL_RETRY_MS = 1_000.0


def failure_of(error: Exception, leader: str) -> messages.Failure:
    """Returns the failure message for an error.

    Args:
        error: The error.
        leader: The known leader's name; empty if there is none.
    """
    detail = str(error)
    match error:
        case errors.NotLeaderError():
            name = error.leader.instance if error.leader else leader
            return messages.Failure(
                messages.Reason.NOT_LEADER, detail, NOT_LEADER_RETRY_MS, name
            )
        case errors.OutcomeUnknownError():
            return messages.Failure(
                messages.Reason.UNKNOWN_OUTCOME, detail, NO_QUORUM_RETRY_MS
            )
        case errors.UnavailableError() | errors.PeerUnreachableError():
            return messages.Failure(
                messages.Reason.NO_QUORUM, detail, NO_QUORUM_RETRY_MS, leader
            )
        case registrations.SupersededError():
            return messages.Failure(messages.Reason.WRONG_INCARNATION, detail)
        case errors.MemberChangeError():
            return messages.Failure(messages.Reason.BAD_REQUEST, detail)
    return messages.Failure(messages.Reason.INTERNAL, type(error).__name__)


__all__ = [
    "FULL_RETRY_MS",
    "NOT_LEADER_RETRY_MS",
    "NO_QUORUM_RETRY_MS",
    "failure_of",
]
