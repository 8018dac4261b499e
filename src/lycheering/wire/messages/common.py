"""What messages of several kinds have in common."""

from __future__ import annotations

import enum

import msgspec


class Role(enum.StrEnum):
    """What a process does in the fleet."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class Reason(enum.StrEnum):
    """Why something was refused, retried or broken off."""

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
    INTERNAL = "internal"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """An agent's load when a frame left it.

    Attributes:
        running: Requests that run at the target.
        queued: Requests that wait at the agent.
        slots: Requests that the target runs at once.
        queue_ms: Expected wait of a request that starts after all others.
        piece_ms: Time to prefill one missing piece.
        draining: Whether the agent takes nothing new.
        use: What is asked of the target as of late, in parts of its slots.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    queue_ms: float = 0.0
    piece_ms: float = 0.0
    draining: bool = False
    use: float = 0.0


class WidthHint(msgspec.Struct, frozen=True, array_like=True):
    """How many ranked targets a prefix may use.

    Attributes:
        level_key: The key of the prefix level that requests rank by.
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
