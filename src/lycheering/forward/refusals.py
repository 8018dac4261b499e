"""Refusals: answers that an entry gives instead of a target."""

from __future__ import annotations

import enum


class Reason(enum.StrEnum):
    """Why an entry refuses a request."""

    NO_TABLE = "no_table"
    NOT_CURRENT = "not_current"
    NO_ROUTE = "no_route"
    BAD_KEY = "bad_key"
    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    BODY_INCOMPLETE = "body_incomplete"
    NO_TARGET = "no_target"
    UNREACHABLE = "unreachable"
    TARGETS_FULL = "targets_full"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    OVER_ALLOWANCE = "over_allowance"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    INTERNAL = "internal"
    QUARANTINED = "quarantined"
    WITHDRAWN = "withdrawn"
    STOPPING = "stopping"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"


_STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_KEY: 401,
    Reason.BAD_REQUEST: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_TOO_SLOW: 408,
    Reason.BODY_INCOMPLETE: 400,
    Reason.OVER_ALLOWANCE: 429,
    Reason.TIMEOUT: 504,
    Reason.BROKEN: 502,
    Reason.INTERNAL: 500,
    Reason.WITHDRAWN: 502,
}
NOT_RUN_STATUS = 503
# statuses that promise that the request has not run and never will
NOT_RUN_STATUSES = frozenset({429, NOT_RUN_STATUS})
# refusals of which the caller is told the detail
EXPLAINED_NOT_RUN = frozenset(
    {
        Reason.OVER_ALLOWANCE,
        Reason.QUARANTINED,
        Reason.STREAM_VERSION_UNKNOWN,
        Reason.STREAM_VERSION_GONE,
    }
)


class RefusalError(Exception):
    """The entry refuses a request instead of forwarding a target's answer.

    Attributes:
        reason: Why.
        detail: Explanation for logs.
        retry_after_ms: Time after which the caller may retry; 0 if a retry is
            of no use.
    """

    def __init__(
        self, reason: Reason, detail: str = "", retry_after_ms: float = 0.0
    ) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """The HTTP status; 429 and 503 mean that the request did not run."""
        return _STATUS_BY_REASON.get(self.reason, NOT_RUN_STATUS)

    @property
    def is_not_run(self) -> bool:
        """Whether the request has not run and never will."""
        return self.status in NOT_RUN_STATUSES


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


class AnswerCutError(Exception):
    """An answer that the caller has received in part can't be completed."""


__all__ = [
    "EXPLAINED_NOT_RUN",
    "AnswerCutError",
    "CallerGoneError",
    "Reason",
    "RefusalError",
]
