"""Tracks which teams exceed their fair share of the whole fleet."""

from __future__ import annotations

import dataclasses

OVERUSE_RATIO = 1.25
MAX_RATIO = 2.4
SMOOTHING = 0.5  # a single request must not mark a team as overusing
TTL_MS = 1_000.0
MAX_IDLE_TEAMS = 1_024


@dataclasses.dataclass
class _TeamRatio:
    average: float
    updated_ms: float


class OveruseTracker:
    """Averages the fair share ratios that entries send with requests.

    Each entry computes the ratio from its own part of the traffic, so a
    single value is not decisive.
    """

    def __init__(self) -> None:
        self._ratio_by_team: dict[str, _TeamRatio] = {}
        self._prune_threshold = MAX_IDLE_TEAMS

    def record(self, team: str, fair_share_ratio: float, now_ms: float) -> None:
        """Records the ratio that an entry sent with a request.

        Args:
            team: The team of the request.
            fair_share_ratio: The team's demand as a multiple of its fair
                share of the fleet.
            now_ms: The current time.
        """
        ratio = self._ratio_by_team.get(team)
        if ratio is None:
            if not fair_share_ratio:
                return
            ratio = _TeamRatio(0.0, now_ms)
            self._ratio_by_team[team] = ratio
            if len(self._ratio_by_team) > self._prune_threshold:
                self._prune_expired(now_ms)
        if now_ms - ratio.updated_ms >= TTL_MS:
            ratio.average = 0.0
        ratio.average += SMOOTHING * (
            min(MAX_RATIO, fair_share_ratio) - ratio.average
        )
        ratio.updated_ms = now_ms

    def is_overusing(self, team: str, now_ms: float) -> bool:
        """Returns whether a team exceeds its fair share of the fleet."""
        ratio = self._ratio_by_team.get(team)
        if ratio is None or now_ms - ratio.updated_ms >= TTL_MS:
            return False
        return ratio.average > OVERUSE_RATIO

    def overusing_teams(self, now_ms: float) -> list[str]:
        """Returns the teams that exceed their fair shares of the fleet."""
        return [
            team
            for team in self._ratio_by_team
            if self.is_overusing(team, now_ms)
        ]

    def _prune_expired(self, now_ms: float) -> None:
        self._ratio_by_team = {
            team: ratio
            for team, ratio in self._ratio_by_team.items()
            if now_ms - ratio.updated_ms < TTL_MS
        }
        remaining = len(self._ratio_by_team)
        self._prune_threshold = max(MAX_IDLE_TEAMS, 2 * remaining)


__all__ = ["OveruseTracker"]
