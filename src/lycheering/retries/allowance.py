"""How often one request may be tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.retries import budget as budgets

MAX_FREE_RETRIES = 6

# no target did any work for an attempt that was not run for one of these
_FREE_REASONS = frozenset(
    {
        messages.Reason.UNREACHABLE,
        messages.Reason.DRAINING,
        messages.Reason.TARGET_DOWN,
    }
)


class Allowance:
    """The retries of one request.

    One after an attempt that put no load on any target is free: it takes
    nothing out of the process's budget and is bounded by itself.

    Attributes:
        budget_empty: Whether the process's budget refused a retry.
    """

    def __init__(self, budget: budgets.RetryBudget, max_attempts: int) -> None:
        self.budget_empty = False
        self._budget = budget
        self._left = max_attempts - 1
        self._free_left = MAX_FREE_RETRIES

    def take(self, reason: messages.Reason, *, not_run: bool) -> bool:
        """Returns whether the request may be tried again.

        Args:
            reason: Why the last attempt failed.
            not_run: Whether it surely was not run.
        """
        if not_run and reason in _FREE_REASONS and self._free_left:
            self._free_left -= 1
            return True
        if self._left <= 0:
            return False
        self._left -= 1
        self.budget_empty = not self._budget.spend()
        return not self.budget_empty


__all__ = ["MAX_FREE_RETRIES", "Allowance"]
