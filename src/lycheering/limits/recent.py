"""The work that teams brought as of late."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DECAY_STEP_MS = 250.0
STEPS = 4  # in a half-life at least
MIN_WORK_MS = 1.0
MIN_SPAN_MS = 500.0
MAX_RATES = 64


@dataclasses.dataclass
class _TeamWork:
    work_ms: float
    share: float


@dataclasses.dataclass(frozen=True)
class Rate:
    """How fast a team brings work.

    Attributes:
        team: The team.
        share: The team's weight.
        slots: The slots that its requests keep busy, on average.
    """

    team: str
    share: float
    slots: float


class RecentWork:
    """Adds up each team's work and forgets it with time.

    The first requests stand for a shorter time than later ones, so that
    the averages are right from the start. Of a single request no more
    than `longest_ms` are counted.
    """

    def __init__(
        self, half_life_ms: float, longest_ms: float = math.inf
    ) -> None:
        self._longest_ms = longest_ms
        self._half_life_ms = half_life_ms
        self._tau_ms = half_life_ms / math.log(2)
        self._step_ms = min(DECAY_STEP_MS, half_life_ms / STEPS)
        self._min_span_ms = min(MIN_SPAN_MS, half_life_ms)
        self._work_by_team: dict[str, _TeamWork] = {}
        self._total_ms = 0.0
        self._decayed_ms = 0.0
        self._since_ms: float | None = None
        self._span_ms = self._min_span_ms
        self._rates: list[Rate] | None = None
        self._level_by_slots: dict[float, float] = {}

    def note(
        self, team: str, share: float, work_ms: float, now_ms: float
    ) -> None:
        """Adds a request's work.

        Args:
            team: The team that it belongs to.
            share: The team's weight.
            work_ms: Its expected work.
            now_ms: The time.
        """
        if self._since_ms is None:
            self._since_ms = now_ms
        self.decay(now_ms)
        work_ms = min(self._longest_ms, work_ms)
        self._total_ms += work_ms
        known = self._work_by_team.get(team)
        if known is None:
            known = _TeamWork(0.0, share)
            self._work_by_team[team] = known
        known.work_ms += work_ms
        known.share = share

    def total(self) -> float:
        """Returns the slots that all teams need, on average."""
        return self._total_ms / self._span_ms

    def own(self, team: str) -> float:
        """Returns the slots that a team needs, on average."""
        known = self._work_by_team.get(team)
        return known.work_ms / self._span_ms if known is not None else 0.0

    def share_of(self, teams: Iterable[str]) -> float:
        """Returns the part that some teams have in the weights of all."""
        total = sum(known.share for known in self._work_by_team.values())
        part = sum(
            self._work_by_team[team].share
            for team in teams
            if team in self._work_by_team
        )
        return part / total if total else 1.0

    def rates(self) -> list[Rate]:
        """Returns how fast the busiest teams bring work, and all others.

        The others are counted together, as a team without a name. The
        figures are up to `DECAY_STEP_MS` old.
        """
        if self._rates is None:
            every = [
                Rate(team, known.share, known.work_ms / self._span_ms)
                for team, known in self._work_by_team.items()
            ]
            every.sort(key=lambda rate: rate.slots, reverse=True)
            self._rates = every[:MAX_RATES]
            rest = every[MAX_RATES:]
            if rest:
                share = sum(rate.share for rate in rest)
                slots = sum(rate.slots for rate in rest)
                self._rates.append(Rate("", share, slots))
        return self._rates

    def level(self, slots: float) -> float:
        """Returns the slots per weight that a team gets that wants more.

        The figure is up to `DECAY_STEP_MS` old.

        Args:
            slots: The slots to be shared.
        """
        if slots not in self._level_by_slots:
            self._level_by_slots = {slots: self._find_level(slots)}
        return self._level_by_slots[slots]

    def _find_level(self, slots: float) -> float:
        left = slots
        shares = sum(known.share for known in self._work_by_team.values())
        per_share = sorted(
            (known.work_ms / self._span_ms / known.share, known.share)
            for known in self._work_by_team.values()
        )
        for wanted, share in per_share:
            if wanted * shares >= left:
                return left / shares
            left -= wanted * share
            shares -= share
        return left

    def decay(self, now_ms: float) -> None:
        """Forgets a part of what was noted before."""
        passed_ms = now_ms - self._decayed_ms
        if passed_ms < self._step_ms:
            return
        self._decayed_ms = now_ms
        self._rates = None
        self._level_by_slots.clear()
        kept = 0.5 ** (passed_ms / self._half_life_ms)
        self._total_ms = 0.0
        for team, known in list(self._work_by_team.items()):
            known.work_ms *= kept
            if known.work_ms < MIN_WORK_MS:
                del self._work_by_team[team]
            else:
                self._total_ms += known.work_ms
        if self._since_ms is not None:
            age_ms = now_ms - self._since_ms
            span_ms = self._tau_ms * (1 - math.exp(-age_ms / self._tau_ms))
            self._span_ms = max(self._min_span_ms, span_ms)


__all__ = ["Rate", "RecentWork"]
