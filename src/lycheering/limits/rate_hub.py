"""Issues permits under the rate limits of targets, on the leader."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import secrets
from typing import TYPE_CHECKING

from lycheering.limits import target_rate
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock

MAX_TARGETS = 4_000
MAX_NAMED_PER_MESSAGE = 400
# a limit that no answer has confirmed for this long is dropped
LIMIT_TTL_MS = 60_000.0
# how long it is remembered that a limit has ended, against older reports
ENDED_TTL_MS = 10_000.0
REFILL_INTERVAL_MS = 20.0
# Permits that wait for an entry: those of this time, and one.
SAVED_PERMITS_S = 0.5
# an entry that sends no report for this long gets no part any more
ENTRY_TTL_MS = target_rate.LEADER_TIMEOUT_MS
# part of the mean demand that each entry is assumed to have at least
MIN_DEMAND_FRACTION = 0.1
# an entry may fall behind its part of the permits by this many, or by its
# part of the time in which permits are saved
MAX_CREDIT = 4.0


@dataclasses.dataclass
class _Limit:
    """The limit of one target.

    Attributes:
        per_s: Requests a second; infinite once it has ended.
        named_ms: Time of the last answer that said so.
        version: Version of the hub with the last change.
        changed_ms: Time of that change.
        permits: Permits that may be issued.
    """

    per_s: float
    named_ms: float
    version: int = 0
    changed_ms: float = 0.0
    permits: float = 0.0


@dataclasses.dataclass
class _Entry:
    """An entry that gets permits.

    Attributes:
        demand_per_s: Requests a second that it received recently.
        heard_ms: Time of its last report.
        credit: Permits that it has not received yet of its part.
        counted: Permits of all entries, up to which its credit is counted.
    """

    demand_per_s: float
    heard_ms: float
    credit: float
    counted: float


class RateHub:
    """Merges the limits that entries were told, and issues permits.

    Runs on the leader only and keeps its state in memory. For each limited
    target, permits accumulate at the rate of its limit, whatever the number of
    entries. An entry receives the part of them that corresponds to its demand.
    """

    def __init__(
        self, time: clock.Clock, rng: random.Random | None = None
    ) -> None:
        """Creates a hub that knows no limit yet.

        Args:
            time: The clock.
            rng: Source of randomness for the first permits of entries.
        """
        self._clock = time
        self._rng = rng or random.Random()
        self._epoch = secrets.token_hex(4)
        self._version = 0
        self._limit_by_target: dict[int, _Limit] = {}
        self._entry_by_name: dict[str, _Entry] = {}
        self._total_weight = 0.0
        self._base_weight = 0.0
        self._total_per_s = 0.0
        self._top_credit = 0.0
        self._accumulated = 0.0
        self._refilled_ms = time.now_ms()
        self._with_permits: collections.deque[int] = collections.deque()

    def handle(
        self, entry: str, report: messages.RateReport
    ) -> messages.RateReply:
        """Merges the report of an entry and returns limits and permits."""
        now_ms = self._clock.now_ms()
        self._merge(report.named, now_ms)
        state = self._entry_by_name.get(entry)
        is_new = state is None
        if state is None:
            # a random part, or all entries would wait for their first permit
            # for as long as one takes to accumulate for each of them
            credit = self._rng.random()
            state = _Entry(0.0, now_ms, credit, self._accumulated)
            self._entry_by_name[entry] = state
        state.demand_per_s = max(0.0, report.demand_per_s)
        state.heard_ms = now_ms
        if is_new or now_ms - self._refilled_ms >= REFILL_INTERVAL_MS:
            self._refill(now_ms)
        cursor = report.cursor if report.epoch == self._epoch else 0
        named, cursor = self._named_since(cursor, now_ms)
        return messages.RateReply(
            named, self._issue_permits(state), self._epoch, cursor
        )

    def _merge(
        self, named: Iterable[messages.NamedRate], now_ms: float
    ) -> None:
        for rate in named:
            per_s = math.inf if rate.per_s is None else rate.per_s
            if not per_s >= 0:
                continue
            named_ms = now_ms - max(0, rate.age_ms)
            limit = self._limit_by_target.get(rate.target)
            if limit is None:
                if len(self._limit_by_target) >= MAX_TARGETS:
                    continue
                limit = _Limit(per_s, named_ms)
                self._limit_by_target[rate.target] = limit
            elif named_ms <= limit.named_ms:
                continue
            self._set(limit, per_s, named_ms, now_ms)

    def _set(
        self, limit: _Limit, per_s: float, named_ms: float, now_ms: float
    ) -> None:
        if limit.per_s != per_s or not limit.version:
            self._version += 1
            limit.version = self._version
            limit.changed_ms = now_ms
        limit.per_s = per_s
        limit.named_ms = named_ms

    def _refill(self, now_ms: float) -> None:
        """Adds the permits of the time since the last call."""
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1_000
        # after a suspension, no entry can use what accumulated meanwhile
        elapsed_s = min(elapsed_s, SAVED_PERMITS_S)
        self._refilled_ms = now_ms
        self._total_per_s = 0.0
        self._with_permits.clear()
        for target, limit in list(self._limit_by_target.items()):
            age_ms = now_ms - limit.named_ms
            if math.isinf(limit.per_s):
                # counts from the change, so that all entries are told
                if now_ms - limit.changed_ms > ENDED_TTL_MS:
                    del self._limit_by_target[target]
                continue
            if age_ms > LIMIT_TTL_MS:
                self._set(limit, math.inf, now_ms, now_ms)
                continue
            per_s = max(limit.per_s, target_rate.MIN_RATE_PER_S)
            self._total_per_s += per_s
            most = 1.0 + per_s * SAVED_PERMITS_S
            before = limit.permits
            limit.permits = min(most, before + per_s * elapsed_s)
            self._accumulated += limit.permits - before
            if limit.permits >= 1:
                self._with_permits.append(target)
        self._weigh_entries(now_ms)

    def _weigh_entries(self, now_ms: float) -> None:
        for name, entry in list(self._entry_by_name.items()):
            if now_ms - entry.heard_ms > ENTRY_TTL_MS:
                del self._entry_by_name[name]
        count = len(self._entry_by_name)
        total = sum(e.demand_per_s for e in self._entry_by_name.values())
        self._base_weight = (
            MIN_DEMAND_FRACTION * total / count if total else 1.0
        )
        self._total_weight = total + count * self._base_weight
        for entry in self._entry_by_name.values():
            self._update_credit(entry)
        self._top_credit = max(
            (entry.credit for entry in self._entry_by_name.values()),
            default=0.0,
        )

    def _update_credit(self, entry: _Entry) -> None:
        """Adds an entry's part of the permits accumulated since last time."""
        part = 0.0
        if self._total_weight:
            part = (entry.demand_per_s + self._base_weight) / (
                self._total_weight
            )
        entry.credit += part * (self._accumulated - entry.counted)
        entry.counted = self._accumulated
        most = max(MAX_CREDIT, part * self._total_per_s * SAVED_PERMITS_S)
        entry.credit = min(entry.credit, most)

    def _issue_permits(self, entry: _Entry) -> tuple[messages.SendPermits, ...]:
        self._update_credit(entry)
        # if no entry has a whole permit to its credit, the first one gets it
        least = min(1.0, self._top_credit)
        count_by_target: collections.Counter[int] = collections.Counter()
        while entry.credit >= least and self._with_permits:
            target = self._with_permits.popleft()
            limit = self._limit_by_target.get(target)
            if limit is None or limit.permits < 1:
                continue
            limit.permits -= 1
            entry.credit -= 1
            count_by_target[target] += 1
            if limit.permits >= 1:
                self._with_permits.append(target)
        return tuple(
            messages.SendPermits(target, count)
            for target, count in count_by_target.items()
        )

    def _named_since(
        self, cursor: int, now_ms: float
    ) -> tuple[tuple[messages.NamedRate, ...], int]:
        """Returns the limits after the cursor, and the new cursor."""
        if cursor >= self._version:
            return (), self._version
        changed = sorted(
            (
                (limit.version, target, limit)
                for target, limit in self._limit_by_target.items()
                if limit.version > cursor
            ),
            key=lambda item: item[0],
        )
        batch = changed[:MAX_NAMED_PER_MESSAGE]
        is_last = len(batch) == len(changed)
        cursor = self._version if is_last else batch[-1][0]
        named = tuple(
            messages.NamedRate(
                target,
                None if math.isinf(limit.per_s) else limit.per_s,
                round(now_ms - limit.named_ms),
            )
            for _, target, limit in batch
        )
        return named, cursor


__all__ = ["ENDED_TTL_MS", "LIMIT_TTL_MS", "MAX_NAMED_PER_MESSAGE", "RateHub"]
