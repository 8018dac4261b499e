"""Asks the leader for parts of the teams' allowances, for one entry."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.limits import allowance_terms
from lycheering.limits import team_allowance
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from lycheering.routes import api as route_api

MAX_ASKS = 200
MAX_TEAMS = 20_000
SWEEP_INTERVAL_MS = 500.0
# What an entry holds is valid for `HOLD_TTL_MS` after an exchange, so one that
# holds anything exchanges at least this often.
RENEWAL_INTERVAL_MS = 800.0
# The base parts are divided by the largest number of entries that was known
# in this time, since entries that can't be reached have theirs as well.
COUNT_MEMORY_MS = 30_000.0


class AllowanceReporter:
    """The allowances of all teams that are active at one entry."""

    def __init__(
        self,
        entry: str,
        incarnation: str,
        rule: allowance_terms.AllowanceRule,
    ) -> None:
        """Creates a reporter that knows no team yet.

        Args:
            entry: The entry's name.
            incarnation: The incarnation of the entry.
            rule: How much teams may exceed their allowances.
        """
        self.by_team: dict[str, team_allowance.TeamAllowance] = {}
        self._entry = entry
        self._incarnation = incarnation
        self._rule = rule
        self._epoch = ""
        self._session = 0
        self._number = 0
        self._sent_ms = 0.0
        self._valid_until_ms = 0.0
        self._swept_ms = 0.0
        # teams to report, the one that waits longest first
        self._changed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._reported: tuple[str, ...] = ()
        self._closing: list[str] = []
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self._entry_count = 0
        self._counted_ms = 0.0

    def is_connected(self, now_ms: float) -> bool:
        """Returns whether the leader's grants are valid."""
        return now_ms < self._valid_until_ms

    def set_entry_count(self, entry_count: int, now_ms: float) -> None:
        """Records how many entries there are, as the leader counts them."""
        if not self._entry_count:
            self._counted_ms = now_ms
        while self._counts and self._counts[-1][1] <= entry_count:
            self._counts.pop()
        self._counts.append((now_ms, entry_count))
        self._update_entry_count(now_ms)

    def _update_entry_count(self, now_ms: float) -> None:
        while (
            len(self._counts) > 1
            and now_ms - self._counts[0][0] > COUNT_MEMORY_MS
        ):
            self._counts.popleft()
        if self._counts and self._counts[0][1] != self._entry_count:
            self._entry_count = self._counts[0][1]
            for allowance in self.by_team.values():
                allowance.set_entry_count(self._entry_count, now_ms)

    def find(
        self, team: route_api.RouteTableTeam, now_ms: float
    ) -> team_allowance.TeamAllowance:
        """Returns the allowance of a team that has one, under its terms."""
        allowance = self.by_team.get(team.name)
        if allowance is None:
            if len(self.by_team) >= MAX_TEAMS:
                self._forget_longest_idle()
            allowance = team_allowance.TeamAllowance(
                team.name,
                self._terms(team),
                self._counted_ms,
                self._entry_count,
                now_ms,
            )
            allowance.begin_session(self._session, 0.0, now_ms)
            self.by_team[team.name] = allowance
        elif (
            allowance.terms.per_s != team.rate_per_s
            or allowance.terms.burst != team.burst
        ):
            self.set_terms(allowance, team)
        return allowance

    def set_terms(
        self,
        allowance: team_allowance.TeamAllowance,
        team: route_api.RouteTableTeam,
    ) -> None:
        """Applies the terms of a newer table."""
        allowance.set_terms(self._terms(team))
        self.mark_changed(team.name)

    def _terms(
        self, team: route_api.RouteTableTeam
    ) -> allowance_terms.AllowanceTerms:
        return allowance_terms.AllowanceTerms(
            team.rate_per_s, team.burst, self._rule
        )

    def _forget_longest_idle(self) -> None:
        name = min(self.by_team, key=lambda team: self.by_team[team].asked_ms)
        del self.by_team[name]
        self._changed.pop(name, None)

    def mark_changed(self, team: str) -> None:
        """Reports a team with the next exchange."""
        self._changed[team] = None

    def next_exchange(
        self, waiting_by_team: Mapping[str, Sequence[int]], now_ms: float
    ) -> messages.AllowanceExchange | None:
        """Returns the next exchange; None if there is nothing to say.

        Args:
            waiting_by_team: How much each request needs that waits now, the
                first one first, by the names of their teams.
            now_ms: The current time.
        """
        self._sweep(now_ms)
        if self._epoch and not self.is_connected(now_ms):
            # the leader may have forgotten what this entry holds
            self._begin_session(self._epoch, 0.0, now_ms)
        is_renewal = now_ms - self._sent_ms >= RENEWAL_INTERVAL_MS and any(
            allowance.balance for allowance in self.by_team.values()
        )
        if not self._changed and not is_renewal:
            return None
        asks: list[messages.AllowanceAsk] = []
        names = []
        self._closing = []
        while self._changed and len(asks) < MAX_ASKS:
            name, _ = self._changed.popitem(last=False)
            allowance = self.by_team.get(name)
            if allowance is None:
                continue
            names.append(name)
            if allowance.is_idle(now_ms) and name not in waiting_by_team:
                self._closing.append(name)
            held = allowance.available(now_ms, is_connected=True)
            waiting = waiting_by_team.get(name) or (0,)
            asks.append(
                messages.AllowanceAsk(
                    name,
                    allowance.used,
                    allowance.returned,
                    max(0, sum(waiting) - held),
                    allowance.expected(now_ms),
                    max(0, waiting[0] - held),
                    allowance.unreported,
                )
            )
            allowance.unreported = 0
        self._reported = tuple(names)
        self._number += 1
        self._sent_ms = now_ms
        return messages.AllowanceExchange(
            self._entry,
            self._incarnation,
            self._session,
            self._number,
            self._epoch,
            tuple(asks),
        )

    def next_grant_ms(self, teams: Iterable[str], now_ms: float) -> float:
        """Returns the time until the leader may grant any of them a part.

        Args:
            teams: Names of teams with requests that wait.
            now_ms: The current time.
        """
        ends_ms = [
            self.by_team[name].first_at_ms
            for name in teams
            if name in self.by_team
        ]
        return max(0.0, min(ends_ms, default=0.0) - now_ms)

    def record_failure(self) -> None:
        """Records that the last exchange got no reply."""
        for name in self._reported:
            self.mark_changed(name)
        self._reported = ()

    def apply_reply(
        self, reply: messages.AllowanceReply, now_ms: float
    ) -> list[str]:
        """Applies the reply to the last exchange.

        Returns:
            The teams that the reply tells something about.
        """
        is_new_epoch = reply.epoch != self._epoch
        if is_new_epoch:
            reported = self._reported
            self._begin_session(reply.epoch, self._valid_until_ms, now_ms)
            for name in reported:
                self.mark_changed(name)
        self._reported = ()
        self._valid_until_ms = self._sent_ms + allowance_terms.HOLD_TTL_MS
        names = []
        for grant in reply.grants:
            allowance = self.by_team.get(grant.team)
            if allowance is None:
                continue
            allowance.granted = grant.granted
            allowance.exhausted_until_ms = 0.0
            if grant.exhausted_ms:
                allowance.exhausted_until_ms = now_ms + grant.exhausted_ms
            allowance.first_at_ms = now_ms + grant.first_ms
            allowance.retry_at_ms = now_ms + grant.retry_ms
            names.append(grant.team)
        if not is_new_epoch:
            self._close_reported(now_ms)
        return names

    def _close_reported(self, now_ms: float) -> None:
        for name in self._closing:
            allowance = self.by_team.get(name)
            # a request may have come, or have been refunded, meanwhile
            if allowance is not None and allowance.is_idle(now_ms):
                allowance.close()

    def _begin_session(
        self, epoch: str, carried_until_ms: float, now_ms: float
    ) -> None:
        self._session += 1
        self._epoch = epoch
        for allowance in self.by_team.values():
            allowance.begin_session(self._session, carried_until_ms, now_ms)

    def _sweep(self, now_ms: float) -> None:
        """Gives back what is held in vain, and forgets idle teams."""
        if now_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        self._update_entry_count(now_ms)
        for name, allowance in list(self.by_team.items()):
            is_open = allowance.is_idle(now_ms) and not allowance.is_closed
            if allowance.return_surplus(now_ms) or is_open:
                self.mark_changed(name)
            elif allowance.is_forgettable(now_ms):
                del self.by_team[name]
                self._changed.pop(name, None)


__all__ = ["AllowanceReporter"]
