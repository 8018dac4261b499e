"""Entries and a leader that share the allowances of teams, simulated."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random

from lycheering.forward import allowance_gate
from lycheering.limits import allowance_hub
from lycheering.limits import allowance_reporter
from lycheering.limits import allowance_terms
from lycheering.routes import api as routes
from lycheering.telemetry import counters

TRANSIT_MS = 3.0
ALLOWANCE_RATIO = 1.8  # of what a team sends usually
MIN_SIZE, MAX_SIZE = 200, 40_000


@dataclasses.dataclass
class Entry:
    """One entry of the fleet.

    Attributes:
        name: Its name.
        weight: Its part of the traffic, relative to that of the others.
        reporter: Its allowances.
        reaches_leader: Whether the leader answers it.
        frozen_until_ms: Time until which it does nothing.
        is_calling: Whether an exchange is under way.
        timeout_ms: How long it waits for the reply.
        waiting: Requests that wait, by team: size and end of the wait.
    """

    name: str
    weight: float
    reporter: allowance_reporter.AllowanceReporter
    reaches_leader: bool = True
    frozen_until_ms: float = 0.0
    is_calling: bool = False
    timeout_ms: float = 0.0
    waiting: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class AllowedFleet:
    """Replays the traffic of teams over entries and a leader.

    Attributes:
        team_by_name: The teams with their limits in force.
        passed: Time and size of the requests that passed, by team.
        offered: Time and size of all requests, by team.
        messages: Number of exchanges.
        factor_by_team: Demand of each team relative to the usual.
    """

    def __init__(self, entry_count, usual_by_team, rule, seed=1, lumps=True):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.rule = rule
        self.lumps = lumps
        self.usual_by_team = usual_by_team
        self.factor_by_team = dict.fromkeys(usual_by_team, 1.0)
        self.team_by_name = {}
        for name, per_s in usual_by_team.items():
            self.set_limit(name, ALLOWANCE_RATIO * per_s)
        self.passed = collections.defaultdict(list)
        self.offered = collections.defaultdict(list)
        self.messages = 0
        self.bound_from_ms = collections.defaultdict(float)
        self._events = []
        self._count = 0
        self._incarnations = 0
        self.term = 0
        self.hub = None
        self.new_leader()
        self.entries = []
        for number in range(entry_count):
            self.entries.append(self._entry(f"e{number}"))

    def set_limit(self, name, per_s, burst=None):
        self.team_by_name[name] = routes.RouteTableTeam(
            name,
            (),
            rate_per_s=per_s,
            burst=per_s if burst is None else burst,
            unit=routes.AllowanceUnit.TOKENS,
        )

    def terms(self, name):
        team = self.team_by_name[name]
        return allowance_terms.AllowanceTerms(
            team.rate_per_s, team.burst, self.rule
        )

    def new_leader(self):
        self.term += 1
        self.hub = allowance_hub.AllowanceHub(self.rule, counters.Counters())
        self.hub.begin_term(self.term, self.now_ms)

    def _entry(self, name):
        self._incarnations += 1
        entry = Entry(
            name,
            self.rng.choice([0.3, 1.0, 1.0, 2.0]),
            allowance_reporter.AllowanceReporter(
                name, str(self._incarnations), self.rule
            ),
        )
        self._later(self.rng.random() * 100, "tick", entry)
        return entry

    def restart(self, numbers):
        for number in numbers:
            old = self.entries[number]
            self.entries[number] = self._entry(old.name)

    def add_entries(self, count):
        for _ in range(count):
            self.entries.append(self._entry(f"e{len(self.entries)}"))

    def _later(self, delay_ms, kind, *values):
        self._count += 1
        event = (self.now_ms + delay_ms, self._count, kind, values)
        heapq.heappush(self._events, event)

    def _size(self):
        if not self.lumps:
            return 1
        return int(MIN_SIZE * (MAX_SIZE / MIN_SIZE) ** self.rng.random() ** 1.3)

    def run(self, duration_ms):
        """Plays the traffic for a time."""
        end_ms = self.now_ms + duration_ms
        mean = sum(self._size() for _ in range(2_000)) / 2_000
        for name in self.usual_by_team:
            self._arrive_next(name, mean, end_ms)
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, kind, values = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(*values)
        self.now_ms = end_ms

    def _arrive_next(self, name, mean, end_ms):
        per_s = self.usual_by_team[name] * self.factor_by_team[name] / mean
        delay_ms = self.rng.expovariate(per_s / 1_000)
        if self.now_ms + delay_ms <= end_ms:
            self._later(delay_ms, "request", name, mean, end_ms)

    def _on_request(self, name, mean, end_ms):
        self._arrive_next(name, mean, end_ms)
        weights = [entry.weight for entry in self.entries]
        (entry,) = self.rng.choices(self.entries, weights)
        if self.now_ms < entry.frozen_until_ms:
            return
        size = self._size()
        self.offered[name].append((self.now_ms, size))
        allowance = entry.reporter.find(self.team_by_name[name], self.now_ms)
        allowance.count_demand(size, self.now_ms)
        if not entry.waiting[name] and self._try(entry, name, size):
            return
        if allowance.exhausted_until_ms > self.now_ms:
            self._refuse(entry, name, [(size, 0.0)])
            return
        end_wait_ms = self.now_ms + allowance_gate.MAX_WAIT_MS
        entry.waiting[name].append((size, end_wait_ms))
        if not entry.is_calling:
            self._exchange(entry)

    def _refuse(self, entry, name, waiters):
        for size, _ in waiters:
            entry.reporter.by_team[name].unreported += size
            entry.reporter.mark_changed(name)

    def _try(self, entry, name, size):
        allowance = entry.reporter.find(self.team_by_name[name], self.now_ms)
        is_connected = entry.reporter.is_connected(self.now_ms)
        charge = allowance.try_use(size, self.now_ms, is_connected=is_connected)
        if charge is None:
            return False
        entry.reporter.mark_changed(name)
        self.passed[name].append((self.now_ms, size))
        return True

    def _on_tick(self, entry):
        if entry not in self.entries:
            return
        interval_ms = max(100.0, len(self.entries) / 0.7)
        self._later(interval_ms, "tick", entry)
        if self.now_ms >= entry.frozen_until_ms and not entry.is_calling:
            self._exchange(entry)

    def _exchange(self, entry):
        reporter = entry.reporter
        waiting = {}
        for name, waiters in entry.waiting.items():
            late = [w for w in waiters if w[1] <= self.now_ms]
            self._refuse(entry, name, late)
            waiters[:] = [w for w in waiters if w[1] > self.now_ms]
            if waiters:
                waiting[name] = [size for size, _ in waiters]
                reporter.mark_changed(name)
        exchange = reporter.next_exchange(waiting, self.now_ms)
        if exchange is None:
            return
        self.messages += 1
        entry.is_calling = True
        entry.timeout_ms = allowance_gate.EXCHANGE_TIMEOUT_MS
        if waiting:
            entry.timeout_ms = allowance_gate.EARLY_EXCHANGE_TIMEOUT_MS
        if self.hub is None or not entry.reaches_leader:
            self._later(entry.timeout_ms, "failure", entry)
        else:
            self._later(TRANSIT_MS, "call", entry, exchange)

    def _on_call(self, entry, exchange):
        if self.hub is None or self.rng.random() < 0.01:
            self._later(entry.timeout_ms, "failure", entry)
            return
        reply = self.hub.handle(
            exchange, self._find_terms, self.term, self.now_ms
        )
        if self.rng.random() < 0.01:
            self._later(entry.timeout_ms, "failure", entry)
            return
        self._later(TRANSIT_MS, "reply", entry, exchange.epoch, reply)

    def _find_terms(self, name):
        team = self.team_by_name[name]
        return team.rate_per_s, team.burst

    def _on_failure(self, entry):
        entry.is_calling = False
        entry.reporter.record_failure()
        if any(entry.waiting.values()) and entry in self.entries:
            self._exchange(entry)

    def _on_reply(self, entry, epoch, reply):
        if self.now_ms < entry.frozen_until_ms:
            self._later(
                entry.frozen_until_ms - self.now_ms,
                "reply",
                entry,
                epoch,
                reply,
            )
            return
        if entry not in self.entries:
            return
        entry.is_calling = False
        heard = sum(other.reaches_leader for other in self.entries)
        entry.reporter.set_entry_count(heard, self.now_ms)
        names = entry.reporter.apply_reply(reply, self.now_ms)
        if reply.epoch != epoch:
            self._exchange(entry)
        for name in names:
            waiters = entry.waiting[name]
            while waiters and self._try(entry, name, waiters[0][0]):
                waiters.pop(0)
            allowance = entry.reporter.by_team[name]
            longest_ms = self.now_ms + allowance_gate.MAX_WAIT_MS
            if allowance.exhausted_until_ms >= longest_ms:
                self._refuse(entry, name, waiters)
                waiters.clear()
            elif waiters and allowance.first_at_ms >= longest_ms:
                self._refuse(entry, name, [waiters.pop(0)])
        self._later(allowance_gate.MIN_INTERVAL_MS, "wake", entry)

    def _on_wake(self, entry):
        """Asks again for requests that came during the last exchange."""
        if entry not in self.entries or entry.is_calling:
            return
        teams = [name for name, waiters in entry.waiting.items() if waiters]
        if not teams or self.now_ms < entry.frozen_until_ms:
            return
        delay_ms = entry.reporter.next_grant_ms(teams, self.now_ms)
        if delay_ms:
            self._later(delay_ms, "wake", entry)
        else:
            self._exchange(entry)

    def largest_excess(self, name):
        """Returns the most tokens over the bound in any window."""
        window_ms = self.rule.window_s * 1_000
        bound = self.terms(name).window_bound
        total, first, worst = 0, 0, -bound
        counted = [
            item
            for item in self.passed[name]
            if item[0] >= self.bound_from_ms[name]
        ]
        for at_ms, size in counted:
            total += size
            while counted[first][0] <= at_ms - window_ms:
                total -= counted[first][1]
                first += 1
            worst = max(worst, total - bound)
        return worst

    def ideal(self, name, from_ms):
        """Returns what one bucket for the whole fleet lets pass."""
        team = self.team_by_name[name]
        level, then_ms, total = team.burst, from_ms, 0
        for at_ms, size in self.offered[name]:
            if at_ms < from_ms:
                continue
            level = min(
                team.burst, level + team.rate_per_s * (at_ms - then_ms) / 1_000
            )
            then_ms = at_ms
            if level >= size:
                level -= size
                total += size
        return total

    def passed_since(self, name, from_ms, min_size=0):
        return sum(
            size
            for at_ms, size in self.passed[name]
            if at_ms >= from_ms and size >= min_size
        )

    def served_part(self, name, from_ms, min_size=0):
        """Returns the part of the requests of a size that passed."""
        asked = sum(
            at_ms >= from_ms and size >= min_size
            for at_ms, size in self.offered[name]
        )
        served = sum(
            at_ms >= from_ms and size >= min_size
            for at_ms, size in self.passed[name]
        )
        return served / max(1, asked)


__all__ = ["AllowedFleet"]
