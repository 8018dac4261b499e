"""Which teams ask the whole fleet for more than their fair share."""

from __future__ import annotations

import dataclasses

FLOOD_USE = 1.25
MAX_USE = 2.4
SMOOTHING = 0.5  # one statement alone makes no flood
LIFE_MS = 1_000.0
MAX_IDLE_TEAMS = 1_024


@dataclasses.dataclass
class _Stated:
    use: float
    at_ms: float


class Floods:
    """Averages what entries state about teams with their requests.

    Each entry knows its part of the traffic only, so that no single
    statement decides.
    """

    def __init__(self) -> None:
        self._stated_by_team: dict[str, _Stated] = {}
        self._forget_above = MAX_IDLE_TEAMS

    def state(self, team: str, share_use: float, now_ms: float) -> None:
        """Takes over what an entry stated about a team.

        Args:
            team: The team.
            share_use: What it asks for, in parts of its fair share.
            now_ms: The time.
        """
        known = self._stated_by_team.get(team)
        if known is None:
            if not share_use:
                return
            known = _Stated(0.0, now_ms)
            self._stated_by_team[team] = known
            if len(self._stated_by_team) > self._forget_above:
                self._forget_old(now_ms)
        if now_ms - known.at_ms >= LIFE_MS:
            known.use = 0.0
        known.use += SMOOTHING * (min(MAX_USE, share_use) - known.use)
        known.at_ms = now_ms

    def is_flood(self, team: str, now_ms: float) -> bool:
        """Returns whether a team is over its fair share of the fleet."""
        known = self._stated_by_team.get(team)
        if known is None or now_ms - known.at_ms >= LIFE_MS:
            return False
        return known.use > FLOOD_USE

    def teams(self, now_ms: float) -> list[str]:
        """Returns the teams that are over their fair shares."""
        return [
            team for team in self._stated_by_team if self.is_flood(team, now_ms)
        ]

    def _forget_old(self, now_ms: float) -> None:
        self._stated_by_team = {
            team: known
            for team, known in self._stated_by_team.items()
            if now_ms - known.at_ms < LIFE_MS
        }
        kept = len(self._stated_by_team)
        self._forget_above = max(MAX_IDLE_TEAMS, 2 * kept)


__all__ = ["Floods"]
