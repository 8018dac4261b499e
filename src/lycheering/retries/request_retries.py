"""Limits how often one request is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering.retries import retry_budget

MAX_FREE_RETRIES = 6

# an attempt that was not run for one of these reasons caused no work at a
# target
_FREE_REASONS = frozenset(
    {
        messages.Reason.UNREACHABLE,
        messages.Reason.DRAINING,
        messages.Reason.TARGET_DOWN,
    }
)


class RequestRetries:
    """The remaining retries of one request.

    A retry after an attempt that caused no work at any target is free: it
    does not count against the process's retry budget, but has a limit of
    its own.

    Attributes:
        is_budget_empty: Whether the process's retry budget refused a retry.
    """

    def __init__(
        self, budget: retry_budget.RetryBudget, max_attempts: int
    ) -> None:
        self.is_budget_empty = False
        self._budget = budget
        self._retries_left = max_attempts - 1
        self._free_retries_left = MAX_FREE_RETRIES

    def try_take(self, reason: messages.Reason, *, not_run: bool) -> bool:
        """Uses up a retry; returns whether the request may be retried.

        Args:
            reason: Why the last attempt failed.
            not_run: Whether it is certain that the attempt was not run.
        """
        if not_run and reason in _FREE_REASONS and self._free_retries_left:
            self._free_retries_left -= 1
            return True
        if self._retries_left <= 0:
            return False
        self._retries_left -= 1
        self.is_budget_empty = not self._budget.try_spend()
        return not self.is_budget_empty


__all__ = ["MAX_FREE_RETRIES", "RequestRetries"]
