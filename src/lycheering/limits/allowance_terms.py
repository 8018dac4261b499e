"""The terms of a team's allowance, and how its tolerance is divided."""

from __future__ import annotations

import dataclasses

# How the amount by which a team may exceed its allowance in a window is
# divided. The sum, with the overshoot counted twice, stays below 1. See
# docs/design/allowances.md.
CAPACITY_FRACTION = 0.4
OVERSHOOT_FRACTION = 0.2
BASE_BURST_FRACTION = 0.03
BASE_RATE_FRACTION = 0.07
# part of the leader's bucket that entries may hold
HELD_FRACTION = 0.7
# An entry that gets no reply from the leader for this long gives up what it
# holds.
HOLD_TTL_MS = 3_000.0


@dataclasses.dataclass(frozen=True)
class AllowanceRule:
    """How much a team may exceed its allowance in a time window.

    Attributes:
        window_s: The window, in seconds.
        over: Part of the allowance in the window.
        slack: Amount in addition, in the unit of the allowance.
    """

    window_s: float = 10.0
    over: float = 0.1
    slack: float = 0.0


@dataclasses.dataclass(frozen=True)
class AllowanceTerms:
    """The allowance of one team at all entries together.

    Attributes:
        per_s: Its rate, in units a second.
        burst: How much it may use at once beyond that rate.
        rule: How much it may exceed the allowance.
    """

    per_s: float
    burst: float
    rule: AllowanceRule

    @property
    def excess(self) -> float:
        """How much more than the allowance may be used in a window."""
        rule = self.rule
        allowed = self.per_s * rule.window_s + self.burst
        return rule.over * allowed + rule.slack

    @property
    def window_bound(self) -> float:
        """The largest amount that may be used in any window."""
        return self.per_s * self.rule.window_s + self.burst + self.excess

    @property
    def capacity(self) -> float:
        """Capacity of the leader's bucket, with what entries hold of it."""
        return self.burst + CAPACITY_FRACTION * self.excess

    @property
    def held_limit(self) -> float:
        """The largest amount that all entries together may hold."""
        return HELD_FRACTION * self.capacity

    @property
    def overshoot(self) -> float:
        """How far the leader's bucket may fall below zero."""
        return OVERSHOOT_FRACTION * self.excess

    def base_capacity(self, entry_count: int) -> float:
        """Returns the capacity of the base part of one entry."""
        return BASE_BURST_FRACTION * self.excess / entry_count

    def base_per_s(self, entry_count: int) -> float:
        """Returns the rate of the base part of one entry, a second."""
        window_s = self.rule.window_s
        return BASE_RATE_FRACTION * self.excess / window_s / entry_count


__all__ = ["HOLD_TTL_MS", "AllowanceRule", "AllowanceTerms"]
