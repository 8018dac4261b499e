"""Compares what each team got of a service with its fair share of it."""

from __future__ import annotations

from lycheering.limits import recent_work

HALF_LIFE_MS = 3_000.0
# No team gets a smaller part of what it asks for than this part of what all
# get of theirs, however much it asks for.
MIN_RELATIVE_SHARE = 0.4
# A team is over its share from this much on. One entry sees few requests of
# each team, and where all are equal, none should go after the others.
OVER_RATIO = 1.25


class TeamShares:
    """The work that teams asked for and got, as seen by this entry.

    Callers reach entries by chance, so that an entry sees a sample of each
    team's demand. While not all demand can be met, what all teams got is
    taken as what there is, and shared by max-min fairness: a team that asks
    for less than its share gets all of it, and the rest is shared by those
    that ask for more.
    """

    def __init__(self) -> None:
        self._offered = recent_work.RecentWork(HALF_LIFE_MS)
        self._granted = recent_work.RecentWork(HALF_LIFE_MS)

    def record_offered(
        self, team: str, weight: float, work: float, now_ms: float
    ) -> None:
        """Records a request, whatever becomes of it.

        Args:
            team: The team that sent it.
            weight: The team's weight in fair sharing.
            work: Its expected work, in tokens.
            now_ms: The current time.
        """
        self._offered.add(team, weight, work, now_ms)

    def record_granted(
        self, team: str, weight: float, work: float, now_ms: float
    ) -> None:
        """Records that a request was sent to a target."""
        self._granted.add(team, weight, work, now_ms)

    def granted_per_ms(self, now_ms: float) -> float:
        """Returns the tokens a millisecond that were sent to targets."""
        self._granted.decay(now_ms)
        return self._granted.total_slots()

    def granted(self, team: str) -> float:
        """Returns the tokens a millisecond that a team got."""
        return self._granted.team_slots(team)

    def is_over_share(self, team: str, weight: float, now_ms: float) -> bool:
        """Returns whether a team has got clearly more than its fair share.

        Args:
            team: The team.
            weight: The team's weight in fair sharing.
            now_ms: The current time.
        """
        self._offered.decay(now_ms)
        self._granted.decay(now_ms)
        granted = self._granted.team_slots(team)
        total = self._granted.total_slots()
        offered_total = self._offered.total_slots()
        if not granted or offered_total <= 0.0:
            return False
        fair = weight * self._offered.fair_slots_per_weight(total)
        served_share = total / offered_total
        floor = (
            MIN_RELATIVE_SHARE * served_share * self._offered.team_slots(team)
        )
        return granted >= max(OVER_RATIO * fair, floor)


__all__ = ["TeamShares"]
