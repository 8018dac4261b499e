"""What is told about waits: corrected estimates and times to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock as clocks

MAX_RETRY_AFTER_MS = 30_000.0
MIN_EXPECTED_MS = 20.0
MAX_FACTOR = 4.0
SMOOTHING = 0.05
MAX_IDLE_TEAMS = 1_024
QUIET_MS = 1_000.0  # without a refusal: the overload is over
MIN_LEFT_MS = 2_000.0  # that an overload is expected to last


class WaitError:
    """Learns by how much waits are longer than they were expected.

    In a fair queue, later requests of small teams overtake those of a team
    that has many waiting, which a look at the queue alone can't foresee.
    """

    def __init__(self) -> None:
        self._factor = 1.0

    def corrected(self, expected_ms: float) -> float:
        """Returns the wait to count on."""
        return expected_ms * self._factor

    def learn(self, expected_ms: float, waited_ms: float) -> None:
        """Learns from a wait that ended.

        Args:
            expected_ms: The corrected wait that was counted on.
            waited_ms: The wait it became.
        """
        if expected_ms < MIN_EXPECTED_MS:
            return
        ratio = min(MAX_FACTOR, waited_ms / expected_ms)
        moved = self._factor * (1 + SMOOTHING * (ratio - 1))
        self._factor = min(MAX_FACTOR, max(1.0, moved))


class Booking:
    """Gives refused callers different times to come back.

    Told the same time, all of them would come at once and be refused
    again. Each team has its own line, as it is served at its own rate
    during an overload. One is expected to last as long again as it has
    lasted, and nobody comes back before; after it, all are served at the
    target's whole rate.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._until_ms_by_team: dict[str, float] = {}
        self._until_ms = 0.0
        self._since_ms = 0.0
        self._last_ms = float("-inf")
        self._forget_above = MAX_IDLE_TEAMS

    def book(
        self,
        team: str,
        wait_ms: float,
        *,
        work_ms: float,
        least_work_ms: float,
    ) -> float:
        """Returns in which time a caller shall come back.

        Args:
            team: The caller's team.
            wait_ms: When the target could take its request.
            work_ms: How long the request keeps the team's part of the
                target busy.
            least_work_ms: How long it keeps the whole target busy.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_ms >= QUIET_MS:
            self._since_ms = now_ms
        self._last_ms = now_ms
        left_ms = max(MIN_LEFT_MS, now_ms - self._since_ms)
        if len(self._until_ms_by_team) > self._forget_above:
            self._forget_past(now_ms)
        first_ms = now_ms + max(left_ms, wait_ms)
        at_ms = max(first_ms, self._until_ms_by_team.get(team, 0.0))
        after_ms = max(first_ms, self._until_ms)
        self._until_ms = after_ms + least_work_ms
        at_ms = min(
            at_ms,
            after_ms + left_ms,
            now_ms + MAX_RETRY_AFTER_MS,
        )
        self._until_ms_by_team[team] = at_ms + work_ms
        return at_ms - now_ms

    def _forget_past(self, now_ms: float) -> None:
        self._until_ms_by_team = {
            team: until_ms
            for team, until_ms in self._until_ms_by_team.items()
            if until_ms > now_ms
        }
        kept = len(self._until_ms_by_team)
        self._forget_above = max(MAX_IDLE_TEAMS, 2 * kept)


__all__ = ["Booking", "WaitError"]
