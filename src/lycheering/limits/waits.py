"""Corrects expected waits and spreads the retries of refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering import clock as clocks

MAX_RETRY_AFTER_MS = 30_000.0
MIN_EXPECTED_MS = 20.0
MAX_FACTOR = 4.0
SMOOTHING = 0.05
MAX_IDLE_TEAMS = 1_024
# an overload is over after this time without a refusal
OVERLOAD_END_MS = 1_000.0
# shortest time that an overload is expected to continue
MIN_REMAINING_MS = 2_000.0


class WaitCorrection:
    """Learns the ratio of actual waits to expected ones.

    In a fair queue, future requests of small teams overtake those of a team
    with many queued requests. The current queue alone can't predict this.
    """

    def __init__(self) -> None:
        self._factor = 1.0

    def corrected_ms(self, expected_ms: float) -> float:
        """Returns the expected wait with the correction applied."""
        return expected_ms * self._factor

    def learn(self, expected_ms: float, waited_ms: float) -> None:
        """Adjusts the correction after a wait ended.

        Args:
            expected_ms: The corrected wait that was expected.
            waited_ms: The actual wait.
        """
        if expected_ms < MIN_EXPECTED_MS:
            return
        ratio = min(MAX_FACTOR, waited_ms / expected_ms)
        factor = self._factor * (1 + SMOOTHING * (ratio - 1))
        self._factor = min(MAX_FACTOR, max(1.0, factor))


class RetryScheduler:
    """Assigns different retry times to refused callers.

    If all of them got the same time, they would all retry at once and most
    would be refused again. The times of each team advance at the rate at
    which the team is served during an overload. An overload is expected to
    continue for as long as it has lasted so far. No caller retries before
    that, and after it, requests are served at the target's full rate.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._next_ms_by_team: dict[str, float] = {}
        self._next_ms = 0.0
        self._overload_began_ms = 0.0
        self._last_refusal_ms = float("-inf")
        self._prune_threshold = MAX_IDLE_TEAMS

    def schedule(
        self,
        team: str,
        wait_ms: float,
        *,
        work_ms: float,
        least_work_ms: float,
    ) -> float:
        """Returns after which time a refused caller shall retry.

        Args:
            team: The caller's team.
            wait_ms: Time until the target could admit the request.
            work_ms: How long the request occupies the team's fair share of
                the slots.
            least_work_ms: How long it would occupy all slots of the target.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_refusal_ms >= OVERLOAD_END_MS:
            self._overload_began_ms = now_ms
        self._last_refusal_ms = now_ms
        remaining_ms = max(MIN_REMAINING_MS, now_ms - self._overload_began_ms)
        if len(self._next_ms_by_team) > self._prune_threshold:
            self._prune_past(now_ms)
        earliest_ms = now_ms + max(remaining_ms, wait_ms)
        retry_ms = max(earliest_ms, self._next_ms_by_team.get(team, 0.0))
        full_rate_ms = max(earliest_ms, self._next_ms)
        self._next_ms = full_rate_ms + least_work_ms
        retry_ms = min(
            retry_ms,
            full_rate_ms + remaining_ms,
            now_ms + MAX_RETRY_AFTER_MS,
        )
        self._next_ms_by_team[team] = retry_ms + work_ms
        return retry_ms - now_ms

    def _prune_past(self, now_ms: float) -> None:
        self._next_ms_by_team = {
            team: next_ms
            for team, next_ms in self._next_ms_by_team.items()
            if next_ms > now_ms
        }
        remaining = len(self._next_ms_by_team)
        self._prune_threshold = max(MAX_IDLE_TEAMS, 2 * remaining)


__all__ = ["RetryScheduler", "WaitCorrection"]
