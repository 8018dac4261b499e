"""Messages by which entries share the rate limits that targets name."""

from __future__ import annotations

import msgspec


class NamedRate(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that a target named in its answers.

    Attributes:
        target: Digest of the target's key.
        per_s: Requests a second that it takes from all entries together; None
            if it names no limit any more.
        age_ms: Time since its last answer that said so.
    """

    target: int
    per_s: float | None
    age_ms: int


class SendPermits(msgspec.Struct, frozen=True, array_like=True):
    """Permits to send requests to a target that names a limit.

    Attributes:
        target: Digest of the target's key.
        count: Number of requests that may be sent.
    """

    target: int
    count: int


class RateReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports the limits that an entry was told and asks for permits.

    Attributes:
        named: Limits that targets named to this entry.
        demand_per_s: Requests a second that the entry received recently.
        epoch: Identifies the sequence that the cursor refers to; empty for
            no cursor.
        cursor: Position up to which the entry has the limits of all targets.
    """

    named: tuple[NamedRate, ...] = ()
    demand_per_s: float = 0.0
    epoch: str = ""
    cursor: int = 0


class RateReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers RateReport.

    Attributes:
        named: Limits that changed or were confirmed after the cursor.
        permits: Permits for this entry; each is valid for a limited time.
        epoch: Identifies the sequence that the cursor refers to.
        cursor: Position up to which this reply covers the limits.
    """

    named: tuple[NamedRate, ...] = ()
    permits: tuple[SendPermits, ...] = ()
    epoch: str = ""
    cursor: int = 0


__all__ = ["NamedRate", "RateReply", "RateReport", "SendPermits"]
