"""Bounds the requests that are open at one entry."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

from lycheering.entry import refusals
from lycheering.fleet import view as fleet_view
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering.fleet import holder

BUSY_RETRY_MS = 500.0
DRAIN_RETRY_MS = 200.0


class Admission:
    """Counts open requests, in all and per team.

    Attributes:
        leaving: Whether the balancer shall send no more.
        draining: Whether new requests are refused.
        open_requests: Requests that are being answered.
    """

    def __init__(self, view: holder.ViewHolder, max_open: int) -> None:
        self.leaving = False
        self.draining = False
        self.open_requests = 0
        self._view = view
        self._max_open = max_open
        self._open_by_team: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def admit(self, team: str) -> Iterator[None]:
        """Counts a request in, and out when the block ends.

        Raises:
            RefusalError: If no more may be open.
        """
        self._check(team)
        self.open_requests += 1
        self._open_by_team[team] += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._open_by_team[team] -= 1
            if not self._open_by_team[team]:
                del self._open_by_team[team]

    def _check(self, team: str) -> None:
        if self.draining:
            raise refusals.RefusalError(
                messages.Reason.DRAINING,
                "this entry is about to stop; another one will answer",
                not_run=True,
                retry_after_ms=DRAIN_RETRY_MS,
            )
        if self.open_requests >= self._max_open:
            raise refusals.RefusalError(
                messages.Reason.TOO_MANY_OPEN,
                f"{self._max_open} requests are open",
                not_run=True,
                retry_after_ms=BUSY_RETRY_MS,
            )
        limit = self._view.fleet.integer(
            "limits.team_open_requests", fleet_view.Subject(team=team)
        )
        if self._open_by_team[team] >= limit:
            raise refusals.RefusalError(
                messages.Reason.TEAM_LIMIT,
                f"{limit} requests of the team are open",
                not_run=True,
                retry_after_ms=BUSY_RETRY_MS,
            )


__all__ = ["Admission"]
