"""Types that messages of several kinds use."""

from __future__ import annotations

import enum

import msgspec


class Role(enum.StrEnum):
    """The role of a process in the fleet."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class Reason(enum.StrEnum):
    """Why a call or a request was rejected, retried or aborted."""

    FULL = "full"
    DRAINING = "draining"
    STALE_VIEW = "stale_view"
    WRONG_WEIGHTS = "wrong_weights"
    WRONG_MODEL = "wrong_model"
    DEADLINE = "deadline"
    EXPIRED = "expired"
    WRONG_INCARNATION = "wrong_incarnation"
    TEAM_LIMIT = "team_limit"
    TARGET_DOWN = "target_down"
    TARGET_FAILED = "target_failed"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BLOCKED = "blocked"
    FENCED = "fenced"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    NO_TARGET = "no_target"
    RETRY_BUDGET = "retry_budget"
    UNKNOWN_OUTCOME = "unknown_outcome"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    TOO_LARGE = "too_large"
    TOO_MANY_OPEN = "too_many_open"
    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FLEET_LEASE = "fleet_lease"
    CANCELLED = "cancelled"
    NOT_FOUND = "not_found"
    QUARANTINED = "quarantined"
    INTERNAL = "internal"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of an agent and its target when a frame was sent.

    Attributes:
        running: Number of requests that run at the target.
        queued: Number of requests that wait at the agent.
        slots: Number of requests that the target can run at the same time.
        queue_ms: Expected wait of a request that starts after all queued ones.
        piece_ms: Time to prefill one piece that isn't cached.
        draining: Whether the agent rejects new requests.
        use: Recent demand for the target, as a multiple of its slots.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    queue_ms: float = 0.0
    piece_ms: float = 0.0
    draining: bool = False
    use: float = 0.0


class WidthHint(msgspec.Struct, frozen=True, array_like=True):
    """The number of ranked targets that a prefix may use.

    Attributes:
        level_key: Key of the prefix level by which targets are ranked.
        width: The number of targets.
    """

    level_key: str
    width: int


__all__ = [
    "LoadReport",
    "Reason",
    "Role",
    "WidthHint",
]
