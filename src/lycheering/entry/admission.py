"""Limits how many requests an entry has in flight."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

from lycheering.entry import refusals
from lycheering.fleet import view as fleet_view
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering.fleet import view_holder

BUSY_RETRY_AFTER_MS = 500.0
DRAIN_RETRY_AFTER_MS = 200.0


class Admission:
    """Counts requests in flight, in total and by team.

    Attributes:
        is_unready: Whether the readiness check fails, so that the load
            balancer sends no more requests.
        is_draining: Whether new requests are refused.
        open_requests: The number of requests in flight.
    """

    def __init__(
        self, view: view_holder.ViewHolder, max_open_requests: int
    ) -> None:
        self.is_unready = False
        self.is_draining = False
        self.open_requests = 0
        self._view = view
        self._max_open_requests = max_open_requests
        self._open_requests_by_team: collections.Counter[str] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def admit(self, team: str) -> Iterator[None]:
        """Counts a request as in flight while the block runs.

        Raises:
            RefusalError: If a limit is reached or the entry is draining.
        """
        self._check_limits(team)
        self.open_requests += 1
        self._open_requests_by_team[team] += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._open_requests_by_team[team] -= 1
            if not self._open_requests_by_team[team]:
                del self._open_requests_by_team[team]

    def _check_limits(self, team: str) -> None:
        if self.is_draining:
            raise refusals.RefusalError(
                messages.Reason.DRAINING,
                "this entry is shutting down; use another one",
                not_run=True,
                retry_after_ms=DRAIN_RETRY_AFTER_MS,
            )
        if self.open_requests >= self._max_open_requests:
            raise refusals.RefusalError(
                messages.Reason.TOO_MANY_OPEN,
                f"{self._max_open_requests} requests are already in flight",
                not_run=True,
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )
        limit = self._view.fleet.integer(
            "limits.team_open_requests", fleet_view.Subject(team=team)
        )
        if self._open_requests_by_team[team] >= limit:
            raise refusals.RefusalError(
                messages.Reason.TEAM_LIMIT,
                f"{limit} requests of the team are already in flight",
                not_run=True,
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )


__all__ = ["Admission"]
