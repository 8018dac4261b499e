"""The load of each target, from load reports and this process's requests."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock

DEFAULT_PIECE_MS = 20.0
REPORT_TTL_MS = 5_000


@dataclasses.dataclass(frozen=True)
class _PendingPrefill:
    """A request that was sent and has no first token yet.

    Attributes:
        sent_ms: When it was sent.
        cost_ms: Expected prefill time.
    """

    sent_ms: float
    cost_ms: float


@dataclasses.dataclass(frozen=True)
class LoadEstimate:
    """The expected load of one target.

    Attributes:
        queue_ms: Expected wait of a request that is sent now.
        piece_ms: Time to prefill one missing piece.
        open_requests: In-flight requests of this process at the target.
        is_reported: Whether it is based on a recent load report.
    """

    queue_ms: float
    piece_ms: float
    open_requests: int
    is_reported: bool


@dataclasses.dataclass(frozen=True)
class _Report:
    load: messages.LoadReport
    at_ms: float


class TargetLoads:
    """Estimates the load of each target that this process talks to."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._report_by_target: dict[str, _Report] = {}
        self._pending_by_target: dict[str, dict[str, _PendingPrefill]] = {}
        self._open_by_target: collections.Counter[str] = collections.Counter()

    def store_report(
        self, target: str, load: messages.LoadReport, at_ms: float
    ) -> None:
        """Stores a load report unless a newer one is stored."""
        stored = self._report_by_target.get(target)
        if at_ms and (stored is None or at_ms > stored.at_ms):
            self._report_by_target[target] = _Report(load, at_ms)

    def record_sent(self, target: str, request_id: str, cost_ms: float) -> None:
        """Records that a request was sent to a target."""
        pending = _PendingPrefill(self._clock.now_ms(), cost_ms)
        self._pending_by_target.setdefault(target, {})[request_id] = pending
        self._open_by_target[target] += 1

    def record_first_token(self, target: str, request_id: str) -> None:
        """Records that the prefill of a request is complete."""
        self._pending_by_target.get(target, {}).pop(request_id, None)

    def record_ended(self, target: str, request_id: str) -> None:
        """Records that a request is no longer in flight."""
        self.record_first_token(target, request_id)
        self._open_by_target[target] -= 1
        if self._open_by_target[target] <= 0:
            del self._open_by_target[target]

    def keep_only(self, names: set[str]) -> None:
        """Forgets the targets that were removed from the fleet."""
        for target in list(self._report_by_target):
            if target not in names:
                del self._report_by_target[target]
                self._pending_by_target.pop(target, None)

    def is_draining(self, target: str) -> bool:
        """Returns whether a target reported that it refuses new requests."""
        report = self._fresh_report(target)
        return report is not None and report.load.draining

    def fleet_utilization(self, names: Iterable[str]) -> float:
        """Returns the work offered to some targets, relative to their slots.

        It exceeds 1 while more work is offered than the targets can do.

        Args:
            names: The targets; those without a recent report are left out.
        """
        slots = 0
        offered = 0.0
        for name in names:
            report = self._fresh_report(name)
            if report is not None:
                slots += report.load.slots
                offered += report.load.use * report.load.slots
        return offered / slots if slots else 0.0

    def estimate(self, target: str) -> LoadEstimate:
        """Returns the expected load of a target now."""
        report = self._fresh_report(target)
        at_ms = report.at_ms if report is not None else 0.0
        own_ms = sum(
            pending.cost_ms
            for pending in self._pending_by_target.get(target, {}).values()
            # the report includes requests that were sent before it
            if pending.sent_ms >= at_ms
        )
        open_requests = self._open_by_target.get(target, 0)
        if report is None:
            return LoadEstimate(own_ms, DEFAULT_PIECE_MS, open_requests, False)
        now_ms = self._clock.now_ms()
        reported_wait_ms = max(0.0, report.load.queue_ms - (now_ms - at_ms))
        piece_ms = report.load.piece_ms or DEFAULT_PIECE_MS
        return LoadEstimate(
            reported_wait_ms + own_ms, piece_ms, open_requests, True
        )

    def _fresh_report(self, target: str) -> _Report | None:
        report = self._report_by_target.get(target)
        if report is None:
            return None
        if self._clock.now_ms() - report.at_ms > REPORT_TTL_MS:
            return None
        return report


__all__ = ["DEFAULT_PIECE_MS", "REPORT_TTL_MS", "LoadEstimate", "TargetLoads"]
