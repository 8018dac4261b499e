"""The load of each target: as reported, plus this process's own work."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock

DEFAULT_PIECE_MS = 20.0
REPORT_LIFE_MS = 5_000


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A request on its way to its first token.

    Attributes:
        sent_ms: When it was sent.
        cost_ms: Prefill time that it is expected to take.
    """

    sent_ms: float
    cost_ms: float


@dataclasses.dataclass(frozen=True)
class Estimate:
    """The expected state of one target.

    Attributes:
        queue_ms: Wait of a request sent now.
        piece_ms: Time to prefill one missing piece.
        open_requests: This process's requests that run there.
        known: Whether a report stands behind it.
    """

    queue_ms: float
    piece_ms: float
    open_requests: int
    known: bool


@dataclasses.dataclass(frozen=True)
class _Report:
    load: messages.LoadReport
    at_ms: float


class LoadBook:
    """Keeps the load of every target that this process talks to."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._report_by_target: dict[str, _Report] = {}
        self._sent_by_target: dict[str, dict[str, _Sent]] = {}
        self._open_by_target: collections.Counter[str] = collections.Counter()

    def report(
        self, target: str, load: messages.LoadReport, at_ms: float
    ) -> None:
        """Takes a report over unless a newer one is known."""
        known = self._report_by_target.get(target)
        if at_ms and (known is None or at_ms > known.at_ms):
            self._report_by_target[target] = _Report(load, at_ms)

    def sent(self, target: str, request_id: str, cost_ms: float) -> None:
        """Counts a request sent to a target."""
        sent = _Sent(self._clock.now_ms(), cost_ms)
        self._sent_by_target.setdefault(target, {})[request_id] = sent
        self._open_by_target[target] += 1

    def started(self, target: str, request_id: str) -> None:
        """Counts a request as past its prefill."""
        self._sent_by_target.get(target, {}).pop(request_id, None)

    def ended(self, target: str, request_id: str) -> None:
        """Counts a request as no longer at its target."""
        self.started(target, request_id)
        self._open_by_target[target] -= 1
        if self._open_by_target[target] <= 0:
            del self._open_by_target[target]

    def keep_only(self, names: set[str]) -> None:
        """Forgets targets that left."""
        for target in list(self._report_by_target):
            if target not in names:
                del self._report_by_target[target]
                self._sent_by_target.pop(target, None)

    def draining(self, target: str) -> bool:
        """Returns whether the last report said that it takes nothing."""
        report = self._fresh(target)
        return report is not None and report.load.draining

    def fleet_use(self, names: Iterable[str]) -> float:
        """Returns what is asked of some targets, in parts of their slots.

        Args:
            names: The targets; those without a fresh report don't count.
        """
        slots = 0
        asked = 0.0
        for name in names:
            report = self._fresh(name)
            if report is not None:
                slots += report.load.slots
                asked += report.load.use * report.load.slots
        return asked / slots if slots else 0.0

    def estimate(self, target: str) -> Estimate:
        """Returns the expected state of a target now."""
        report = self._fresh(target)
        at_ms = report.at_ms if report is not None else 0.0
        own_ms = sum(
            sent.cost_ms
            for sent in self._sent_by_target.get(target, {}).values()
            # older ones are in the report already
            if sent.sent_ms >= at_ms
        )
        open_requests = self._open_by_target.get(target, 0)
        if report is None:
            return Estimate(own_ms, DEFAULT_PIECE_MS, open_requests, False)
        now_ms = self._clock.now_ms()
        waited_ms = max(0.0, report.load.queue_ms - (now_ms - at_ms))
        piece_ms = report.load.piece_ms or DEFAULT_PIECE_MS
        return Estimate(waited_ms + own_ms, piece_ms, open_requests, True)

    def _fresh(self, target: str) -> _Report | None:
        report = self._report_by_target.get(target)
        if report is None:
            return None
        if self._clock.now_ms() - report.at_ms > REPORT_LIFE_MS:
            return None
        return report


__all__ = ["DEFAULT_PIECE_MS", "REPORT_LIFE_MS", "Estimate", "LoadBook"]
