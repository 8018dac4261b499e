"""Grants parts of the teams' allowances to entries, on the leader."""

from __future__ import annotations

import dataclasses
import math
import secrets
from typing import TYPE_CHECKING

from lycheering.limits import allowance_terms
from lycheering.limits import recent_rate
from lycheering.telemetry import logs
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheering.telemetry import counters

# What an entry holds is counted for this much longer than the entry may use
# it, as the entry's time begins before the leader's.
HOLD_MARGIN_MS = 500.0
EXPIRY_INTERVAL_MS = 500.0
# entries get parts for requests to come only from a bucket this full, and no
# more than this part of it at a time
PREFETCH_LEVEL_FRACTION = 0.25
PREFETCH_FRACTION = 0.25
REFUSED_HALF_LIFE_MS = 1_000.0
MAX_RETRY_MS = 10_000.0
MAX_BUCKETS = 20_000
MAX_ENTRIES = 1_000
MAX_ACCOUNTS = 60_000

_LOG = logs.get("allowances")


@dataclasses.dataclass(slots=True)
class _Account:
    """What one entry was granted of one allowance in its session.

    Attributes:
        granted: How much it was granted.
        used: How much of that it has used, as it reported last.
        returned: How much of that it has given back, as it reported last.
    """

    granted: int
    used: int
    returned: int

    @property
    def held(self) -> int:
        """How much the entry may still use, as far as the leader knows."""
        return max(0, self.granted - self.used - self.returned)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The allowance of one team.

    Attributes:
        terms: Its terms.
        level: How much may be granted; below zero after an overshoot.
        refilled_ms: Time up to which the level counts.
        held: How much all entries hold.
        account_by_entry: What each entry was granted.
        refused: What could not be granted recently.
        is_exhausted: Whether the last request for it was not met.
    """

    terms: allowance_terms.AllowanceTerms
    level: float
    refilled_ms: float
    held: int = 0
    account_by_entry: dict[str, _Account] = dataclasses.field(
        default_factory=dict
    )
    refused: recent_rate.RecentRate = dataclasses.field(
        default_factory=lambda: recent_rate.RecentRate(REFUSED_HALF_LIFE_MS)
    )
    is_exhausted: bool = False


@dataclasses.dataclass(slots=True)
class _Entry:
    """An entry in its current session."""

    incarnation: str
    session: int
    number: int
    heard_ms: float
    teams: set[str] = dataclasses.field(default_factory=set)


class AllowanceHub:
    """A token bucket for each team that entries draw on.

    The level of a bucket and what entries hold of it never exceed its capacity
    together, so entries can hold what they were granted for as long as they
    reach the leader. The state is kept in memory. In each term of leadership
    the buckets start empty, as nothing is known of what the leaders before
    have granted.
    """

    def __init__(
        self,
        rule: allowance_terms.AllowanceRule,
        counts: counters.Counters,
    ) -> None:
        """Creates a hub that has granted nothing.

        Args:
            rule: How much teams may exceed their allowances.
            counts: The counters of the process.
        """
        self._rule = rule
        self._counters = counts
        self._term: int | None = None
        self.begin_term(-1, 0.0)

    def begin_term(self, term: int, now_ms: float) -> None:
        """Empties all buckets, which fill from now on, if the term is new.

        Args:
            term: The term of this leader.
            now_ms: The current time.
        """
        if term == self._term:
            return
        self._term = term
        self._epoch = secrets.token_hex(4)
        self._began_ms = now_ms
        self._bucket_by_team: dict[str, _Bucket] = {}
        self._entry_by_name: dict[str, _Entry] = {}
        self._account_count = 0
        self._expired_ms = now_ms

    def handle(
        self,
        exchange: messages.AllowanceExchange,
        find_terms: Callable[[str], tuple[float, float] | None],
        term: int,
        now_ms: float,
    ) -> messages.AllowanceReply:
        """Records what an entry has used and grants what it asks for.

        Args:
            exchange: The entry's message.
            find_terms: Returns the rate a second and the burst of a team;
                None if it has no limit.
            term: The term of this leader.
            now_ms: The current time.
        """
        self.begin_term(term, now_ms)
        self._expire(now_ms)
        if exchange.epoch != self._epoch:
            return messages.AllowanceReply(self._epoch)
        entry = self._entry(exchange, now_ms)
        if entry is None:
            return messages.AllowanceReply(self._epoch)
        grants = []
        for ask in exchange.asks:
            terms = find_terms(ask.team)
            if terms is None:
                self._close(exchange.entry, entry, ask.team)
                continue
            bucket = self._bucket(ask.team, *terms, now_ms)
            if bucket is None:
                continue
            grants.append(self._answer(exchange.entry, entry, bucket, ask))
        return messages.AllowanceReply(self._epoch, tuple(grants))

    def _entry(
        self, exchange: messages.AllowanceExchange, now_ms: float
    ) -> _Entry | None:
        """Returns the sender; None if the exchange is out of date."""
        entry = self._entry_by_name.get(exchange.entry)
        if (
            entry is not None
            and entry.incarnation == exchange.incarnation
            and exchange.number <= entry.number
        ):
            return None
        if entry is not None and (
            entry.incarnation != exchange.incarnation
            or entry.session != exchange.session
        ):
            self._forget(exchange.entry)
            entry = None
        if entry is None:
            if len(self._entry_by_name) >= MAX_ENTRIES:
                return None
            entry = _Entry(exchange.incarnation, exchange.session, 0, now_ms)
            self._entry_by_name[exchange.entry] = entry
        entry.number = exchange.number
        entry.heard_ms = now_ms
        return entry

    def _bucket(
        self, team: str, per_s: float, burst: float, now_ms: float
    ) -> _Bucket | None:
        """Returns a team's bucket, refilled; None if there are too many."""
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            if len(self._bucket_by_team) >= MAX_BUCKETS:
                return None
            terms = allowance_terms.AllowanceTerms(per_s, burst, self._rule)
            bucket = _Bucket(terms, 0.0, self._began_ms)
            self._bucket_by_team[team] = bucket
        elif bucket.terms.per_s != per_s or bucket.terms.burst != burst:
            terms = allowance_terms.AllowanceTerms(per_s, burst, self._rule)
            if terms.capacity < bucket.terms.capacity and bucket.level > 0:
                bucket.level *= terms.capacity / bucket.terms.capacity
            bucket.terms = terms
        self._refill(bucket, now_ms)
        return bucket

    def _refill(self, bucket: _Bucket, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - bucket.refilled_ms) / 1_000
        bucket.refilled_ms = max(now_ms, bucket.refilled_ms)
        capacity = bucket.terms.capacity
        if now_ms - self._began_ms < allowance_terms.HOLD_TTL_MS:
            # entries may still hold parts that the leader before granted
            capacity -= bucket.terms.held_limit
        bucket.level = min(
            capacity - bucket.held,
            bucket.level + elapsed_s * bucket.terms.per_s,
        )

    def _answer(
        self,
        name: str,
        entry: _Entry,
        bucket: _Bucket,
        ask: messages.AllowanceAsk,
    ) -> messages.AllowanceGrant:
        account = bucket.account_by_entry.get(name)
        if account is None:
            used, returned = max(0, ask.used), max(0, ask.returned)
            account = _Account(used + returned, used, returned)
            if self._account_count < MAX_ACCOUNTS:
                bucket.account_by_entry[name] = account
                entry.teams.add(ask.team)
                self._account_count += 1
        else:
            self._record(bucket, account, ask)
        waiting = max(0, ask.waiting)
        grant = 0
        if waiting and bucket.level > 0:
            limit = int(bucket.level + self._overshoot(bucket))
            grant = min(waiting, limit) if limit >= ask.first else 0
        unmet = waiting - grant
        grant += self._prefetch(bucket, account, grant, ask.expected)
        if name not in bucket.account_by_entry:
            grant = 0  # it would not be known what the entry holds
        account.granted += grant
        bucket.held += grant
        bucket.level -= grant
        if not (account.held or waiting or ask.expected > 0):
            self._close(name, entry, ask.team)
        self._note_exhaustion(ask.team, bucket, unmet)
        bucket.refused.add(max(0, ask.refused), bucket.refilled_ms)
        if not unmet and bucket.level > 0:
            return messages.AllowanceGrant(ask.team, account.granted)
        per_s = bucket.terms.per_s
        now_ms = bucket.refilled_ms
        exhausted = max(0.0, -bucket.level)
        # it waits for an amount that this bucket may not have, although it has
        # some left for smaller ones
        lacking = exhausted
        if not grant:
            most = bucket.level + self._overshoot(bucket)
            lacking = max(exhausted, ask.first - most)
        retry = lacking + bucket.refused.count(now_ms)
        return messages.AllowanceGrant(
            ask.team,
            account.granted,
            math.ceil(min(MAX_RETRY_MS, exhausted / per_s * 1_000)),
            math.ceil(min(MAX_RETRY_MS, lacking / per_s * 1_000)),
            math.ceil(min(MAX_RETRY_MS, retry / per_s * 1_000)),
        )

    def _record(
        self,
        bucket: _Bucket,
        account: _Account,
        ask: messages.AllowanceAsk,
    ) -> None:
        """Records what an entry has used and given back since last time."""
        before = account.held
        returned = min(before, max(0, ask.returned - account.returned))
        account.used = max(0, ask.used)
        account.returned = max(account.returned, ask.returned)
        bucket.held += account.held - before
        bucket.level += returned
        self._refill(bucket, bucket.refilled_ms)

    def _overshoot(self, bucket: _Bucket) -> float:
        """Returns how far the bucket may fall below zero.

        It grows with the time in office, so that leaders that follow one
        another in a window don't each overshoot in full.
        """
        age_s = (bucket.refilled_ms - self._began_ms) / 1_000
        window_s = self._rule.window_s
        return bucket.terms.overshoot * min(1.0, age_s / window_s)

    def _prefetch(
        self, bucket: _Bucket, account: _Account, grant: int, expected: int
    ) -> int:
        """Returns how much an entry is granted for requests to come."""
        terms = bucket.terms
        level = bucket.level - grant
        if level < PREFETCH_LEVEL_FRACTION * terms.capacity:
            return 0
        count = max(1, len(bucket.account_by_entry))
        wanted = expected - account.held
        most = min(
            wanted,
            terms.held_limit / count - account.held,
            terms.held_limit - bucket.held - grant,
            PREFETCH_FRACTION * level,
        )
        # small parts at many entries would let no request pass anywhere
        return int(most) if 0 < wanted <= 2 * most else 0

    def _note_exhaustion(self, team: str, bucket: _Bucket, unmet: int) -> None:
        if bool(unmet) == bucket.is_exhausted:
            return
        # while demand exceeds the rate, single requests are met all the time
        is_low = bucket.level < PREFETCH_LEVEL_FRACTION * bucket.terms.capacity
        if not unmet and is_low:
            return
        bucket.is_exhausted = bool(unmet)
        event = "allowance_exhausted" if unmet else "allowance_available"
        self._counters.increment(event)
        _LOG.event(
            event,
            team=team,
            per_s=bucket.terms.per_s,
            burst=bucket.terms.burst,
            level=round(bucket.level),
            held=bucket.held,
            unmet=unmet,
            entries=len(bucket.account_by_entry),
        )

    def _expire(self, now_ms: float) -> None:
        """Forgets silent entries and the buckets that nobody uses."""
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        ttl_ms = allowance_terms.HOLD_TTL_MS + HOLD_MARGIN_MS
        for name, entry in list(self._entry_by_name.items()):
            if now_ms - entry.heard_ms > ttl_ms:
                self._forget(name)
        for team, bucket in list(self._bucket_by_team.items()):
            if bucket.account_by_entry:
                continue
            # a bucket that is created anew is full by then as well
            self._refill(bucket, now_ms)
            if bucket.level >= bucket.terms.capacity:
                del self._bucket_by_team[team]
        self._counters.set_gauge("allowance.teams", len(self._bucket_by_team))

    def _forget(self, name: str) -> None:
        """Counts all that an entry holds as used."""
        entry = self._entry_by_name.pop(name)
        for team in list(entry.teams):
            self._close(name, entry, team)

    def _close(self, name: str, entry: _Entry, team: str) -> None:
        entry.teams.discard(team)
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            return
        account = bucket.account_by_entry.pop(name, None)
        if account is not None:
            bucket.held -= account.held
            self._account_count -= 1


__all__ = ["AllowanceHub"]
