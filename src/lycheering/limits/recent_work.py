"""Decaying averages of the work that each team's requests cause."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DECAY_INTERVAL_MS = 250.0
MIN_DECAYS_PER_HALF_LIFE = 4
MIN_WORK_MS = 1.0
MIN_SPAN_MS = 500.0
MAX_RATES = 64


@dataclasses.dataclass
class _TeamWork:
    work_ms: float
    weight: float


@dataclasses.dataclass(frozen=True)
class TeamRate:
    """The rate at which a team's requests cause work.

    Attributes:
        team: The team; empty for several teams counted together.
        weight: The team's weight in fair sharing.
        slots: Average number of slots that its requests keep busy.
    """

    team: str
    weight: float
    slots: float


class RecentWork:
    """Sums up each team's work with exponential decay.

    Until the sums have built up, they are divided by a shorter time span, so
    that the averages are right from the start. At most `max_request_ms` of a
    single request are counted.
    """

    def __init__(
        self, half_life_ms: float, max_request_ms: float = math.inf
    ) -> None:
        self._max_request_ms = max_request_ms
        self._half_life_ms = half_life_ms
        self._time_constant_ms = half_life_ms / math.log(2)
        self._decay_interval_ms = min(
            MAX_DECAY_INTERVAL_MS, half_life_ms / MIN_DECAYS_PER_HALF_LIFE
        )
        self._min_span_ms = min(MIN_SPAN_MS, half_life_ms)
        self._work_by_team: dict[str, _TeamWork] = {}
        self._total_ms = 0.0
        self._decayed_ms = 0.0
        self._first_added_ms: float | None = None
        self._span_ms = self._min_span_ms
        self._rates: list[TeamRate] | None = None
        self._slots_per_weight_by_slots: dict[float, float] = {}

    def add(
        self, team: str, weight: float, work_ms: float, now_ms: float
    ) -> None:
        """Adds the work of a request.

        Args:
            team: The team that sent the request.
            weight: The team's weight in fair sharing.
            work_ms: The expected work.
            now_ms: The current time.
        """
        if self._first_added_ms is None:
            self._first_added_ms = now_ms
        self.decay(now_ms)
        work_ms = min(self._max_request_ms, work_ms)
        self._total_ms += work_ms
        team_work = self._work_by_team.get(team)
        if team_work is None:
            team_work = _TeamWork(0.0, weight)
            self._work_by_team[team] = team_work
        team_work.work_ms += work_ms
        team_work.weight = weight

    def total_slots(self) -> float:
        """Returns the average number of slots that all teams need."""
        return self._total_ms / self._span_ms

    def team_slots(self, team: str) -> float:
        """Returns the average number of slots that a team needs."""
        team_work = self._work_by_team.get(team)
        return (
            team_work.work_ms / self._span_ms if team_work is not None else 0.0
        )

    def weight_fraction(self, teams: Iterable[str]) -> float:
        """Returns the weight of some teams as a fraction of all weights."""
        total = sum(
            team_work.weight for team_work in self._work_by_team.values()
        )
        part = sum(
            self._work_by_team[team].weight
            for team in teams
            if team in self._work_by_team
        )
        return part / total if total else 1.0

    def rates(self) -> list[TeamRate]:
        """Returns the rates of the busiest teams, then of all others.

        The others are counted together under an empty team name. The rates
        are up to `MAX_DECAY_INTERVAL_MS` old.
        """
        if self._rates is None:
            all_rates = [
                TeamRate(
                    team, team_work.weight, team_work.work_ms / self._span_ms
                )
                for team, team_work in self._work_by_team.items()
            ]
            all_rates.sort(key=lambda rate: rate.slots, reverse=True)
            self._rates = all_rates[:MAX_RATES]
            rest = all_rates[MAX_RATES:]
            if rest:
                weight = sum(rate.weight for rate in rest)
                slots = sum(rate.slots for rate in rest)
                self._rates.append(TeamRate("", weight, slots))
        return self._rates

    def fair_slots_per_weight(self, slots: float) -> float:
        """Returns the max-min fair share of slots for a weight of 1.

        A team that needs more than this times its weight gets only this
        much. The result is up to `MAX_DECAY_INTERVAL_MS` old.

        Args:
            slots: The number of slots to be shared.
        """
        if slots not in self._slots_per_weight_by_slots:
            self._slots_per_weight_by_slots = {
                slots: self._compute_fair_slots_per_weight(slots)
            }
        return self._slots_per_weight_by_slots[slots]

    def _compute_fair_slots_per_weight(self, slots: float) -> float:
        remaining_slots = slots
        remaining_weight = sum(
            team_work.weight for team_work in self._work_by_team.values()
        )
        needs = sorted(
            (
                team_work.work_ms / self._span_ms / team_work.weight,
                team_work.weight,
            )
            for team_work in self._work_by_team.values()
        )
        for slots_per_weight, weight in needs:
            if slots_per_weight * remaining_weight >= remaining_slots:
                return remaining_slots / remaining_weight
            remaining_slots -= slots_per_weight * weight
            remaining_weight -= weight
        return remaining_slots

    def decay(self, now_ms: float) -> None:
        """Reduces all sums according to the time since the last decay."""
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms < self._decay_interval_ms:
            return
        self._decayed_ms = now_ms
        self._rates = None
        self._slots_per_weight_by_slots.clear()
        factor = 0.5 ** (elapsed_ms / self._half_life_ms)
        self._total_ms = 0.0
        for team, team_work in list(self._work_by_team.items()):
            team_work.work_ms *= factor
            if team_work.work_ms < MIN_WORK_MS:
                del self._work_by_team[team]
            else:
                self._total_ms += team_work.work_ms
        if self._first_added_ms is not None:
            age_ms = now_ms - self._first_added_ms
            span_ms = self._time_constant_ms * (
                1 - math.exp(-age_ms / self._time_constant_ms)
            )
            self._span_ms = max(self._min_span_ms, span_ms)


__all__ = ["RecentWork", "TeamRate"]
