"""Replays loads that exceed what engines can do, without a network.

Several entries place requests on engines with loads that are 100 ms old, as
the entries of a fleet do. Refused callers return once, at any entry. As a
program it prints what each kind, team and size gets.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from lycheering.forward import prefill_rates
from lycheering.forward import prompt_order
from lycheering.forward import target_selection
from lycheering.limits import returns
from lycheering.limits import room as rooms
from lycheering.wire import messages
from tests.helpers import direct_targets

ENGINES = 6
ENTRIES = 5
TOKENS_PER_MS = 60.0
STEP_MS = 4.0
CHUNK_TOKENS = 2_048
TEAMS = 12
HOT = "t2"
DURATION_MS = 9_000.0
SEEDS = (5, 6, 7)
CHECK_MS = 15.0
EXCHANGE_MS = 100.0
SETTINGS = target_selection.SelectionSettings()


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request; `mean` and `most` are prompt tokens."""

    name: str
    priority: int
    objective_ms: float
    timeout_ms: float
    mean: float
    most: float
    share: float


SHORT = Kind("short", 0, 520.0, 3_000.0, 1_800.0, 6_900.0, 0.89)
LONG = Kind("long", 2, 2_040.0, 15_000.0, 6_600.0, 54_600.0, 0.11)
KINDS = (SHORT, LONG)


@dataclasses.dataclass(frozen=True)
class Load:
    """A load: its rate over the capacity, and what happens from 2 to 7 s.

    `hot` multiplies the requests of one team, `long` those of the long kind;
    `lost` engines of the six are gone, and come back at 7 s.
    """

    rate: float = 1.0
    hot: float = 1.0
    long: float = 1.0
    lost: int = 0


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request, over both of its attempts."""

    kind: Kind
    team: str
    tokens: int
    arrived_ms: float
    refusals: int = 0
    first_token_ms: float | None = None

    @property
    def is_on_time(self):
        return (
            self.first_token_ms is not None
            and self.first_token_ms - self.arrived_ms <= self.kind.objective_ms
        )


class Engine:
    """Reads prompts in pieces, the more urgent and earlier ones first."""

    def __init__(self, world):
        self.world = world
        self.is_up = True
        self.jobs = []
        self.is_busy = False
        self.read_tokens = 0

    def submit(self, level, tokens, on_done):
        heapq.heappush(
            self.jobs, [level, next(self.world.numbers), tokens, on_done]
        )
        if not self.is_busy:
            self._step()

    def _step(self):
        self.is_busy = bool(self.jobs)
        if not self.jobs:
            return
        budget = CHUNK_TOKENS
        done = []
        while self.jobs and budget:
            job = self.jobs[0]
            tokens = min(budget, job[2])
            budget -= tokens
            job[2] -= tokens
            if not job[2]:
                done.append(heapq.heappop(self.jobs)[3])
        self.read_tokens += CHUNK_TOKENS - budget
        step_ms = STEP_MS + (CHUNK_TOKENS - budget) / TOKENS_PER_MS

        def end():
            for on_done in done:
                on_done()
            self._step()

        self.world.after(step_ms, end)


class Entry:
    """An entry with its own view of the engines."""

    def __init__(self, world):
        rate = prefill_rates.ServicePrefillRate()
        for _ in range(20):
            rate.observe(2_000, 2_000 / TOKENS_PER_MS, 0.0)
            rate.observe(20_000, 20_000 / TOKENS_PER_MS, 0.0)
        self.states = [
            direct_targets.state(number, service_rate=rate)
            for number in range(ENGINES)
        ]
        self.overtaking = prompt_order.Overtaking()
        self.control = rooms.RoomControl(world.settings, world.rng)
        self.returns = {kind.name: returns.ReturnDetector() for kind in KINDS}


class World:
    """The engines, entries and callers of one replay."""

    def __init__(self, load, settings=None, seed=5):
        self.load = load
        self.settings = settings or rooms.RoomSettings()
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.now_ms = 0.0
        self.events = []
        self.engines = [Engine(self) for _ in range(ENGINES)]
        self.entries = [Entry(self) for _ in range(ENTRIES)]
        self.calls = []
        self.came_back = 0
        self.recognized = 0
        self.mistaken = 0

    def after(self, delay_ms, action):
        item = (self.now_ms + delay_ms, next(self.numbers), action)
        heapq.heappush(self.events, item)

    def run(self):
        self._arrive_all()
        self.after(0.0, self._exchange)
        self.after(2_000.0, lambda: self._set_lost(self.load.lost))
        self.after(7_000.0, lambda: self._set_lost(0))
        while self.events and self.now_ms < DURATION_MS + 6_000.0:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        return self.calls

    def _set_lost(self, count):
        for number, engine in enumerate(self.engines):
            engine.is_up = number >= count

    def _arrive_all(self):
        mean = sum(kind.share * kind.mean for kind in KINDS)
        rate = self.load.rate * ENGINES * TOKENS_PER_MS * 0.9 / mean
        at_ms = 0.0
        weights = [1.0 / (rank + 1) ** 0.7 for rank in range(TEAMS)]
        while at_ms < DURATION_MS:
            is_special = 2_000.0 <= at_ms < 7_000.0
            factors = [
                (self.load.hot if is_special and rank == 2 else 1.0)
                for rank in range(TEAMS)
            ]
            team_weights = [
                w * f for w, f in zip(weights, factors, strict=True)
            ]
            more = sum(team_weights) / sum(weights)
            long = self.load.long if is_special else 1.0
            shares = [SHORT.share, LONG.share * long]
            at_ms += self.rng.expovariate(rate * more * sum(shares))
            kind = self.rng.choices(KINDS, shares)[0]
            rank = self.rng.choices(range(TEAMS), team_weights)[0]
            tokens = self.rng.lognormvariate(0.0, 0.8) * kind.mean * 0.726
            call = Call(
                kind, f"t{rank}", round(min(kind.most, tokens + 16)), at_ms
            )
            self.calls.append(call)
            self.after(at_ms, lambda call=call: self._attempt(call))

    def _exchange(self):
        for states in zip(*(e.states for e in self.entries), strict=True):
            loads = [state.own_load() for state in states]
            total = total_load(loads)
            for state, own in zip(states, loads, strict=True):
                state.update_other_load(
                    total_load([total, own], -1), self.now_ms
                )
        self.after(EXCHANGE_MS, self._exchange)

    def _attempt(self, call):
        entry = self.rng.choice(self.entries)
        left_ms = call.arrived_ms + call.kind.timeout_ms - self.now_ms
        has_returned = entry.returns[call.kind.name].has_returned(left_ms)
        self.came_back += bool(call.refusals)
        self.recognized += has_returned and bool(call.refusals)
        self.mistaken += has_returned and not call.refusals
        place = entry.control.held.create(call.kind.priority, call.team, 1.0)
        self._try(call, entry, place, self.now_ms, has_returned)

    def _try(self, call, entry, place, applied_ms, has_returned):
        profile = target_selection.RequestProfile(
            prompt_tokens=call.tokens,
            objective_ms=call.kind.objective_ms,
            is_first=call.kind is SHORT,
            overtaking=entry.overtaking.share(
                ENTRIES,
                lambda: TOKENS_PER_MS * sum(e.is_up for e in self.engines),
                self.now_ms,
            ),
        )
        states = [
            state
            for state, engine in zip(entry.states, self.engines, strict=True)
            if engine.is_up
        ]
        estimate = target_selection.select_target(
            states, profile, SETTINGS, "d0", (), self.now_ms, self.rng
        )
        control = entry.control
        decision = control.decide(
            rooms.Applicant(
                call.kind.priority,
                call.team,
                1.0,
                call.tokens,
                call.kind.objective_ms,
                call.arrived_ms + call.kind.timeout_ms - self.now_ms,
                self.now_ms - applied_ms,
                has_returned,
                control.held.has_ahead(place),
            ),
            estimate.queue_ms,
            self.now_ms,
        )
        if decision.verdict is rooms.Verdict.HOLD:
            control.held.hold(place)
            self.after(
                CHECK_MS,
                lambda: self._try(call, entry, place, applied_ms, has_returned),
            )
            return
        control.held.release(place)
        if decision.verdict is rooms.Verdict.SEND:
            if call.kind is SHORT:
                entry.overtaking.record(call.tokens, self.now_ms)
            self._send(call, estimate, decision.is_raised)
            return
        call.refusals += 1
        if call.refusals == 1:
            left_ms = call.arrived_ms + call.kind.timeout_ms - self.now_ms
            self.after(
                min(decision.retry_after_ms, left_ms / 3),
                lambda: self._attempt(call),
            )

    def _send(self, call, estimate, is_raised):
        level = SHORT.priority if is_raised else call.kind.priority
        state = estimate.state
        in_flight = state.add_request(
            self.now_ms,
            call.tokens,
            call.tokens,
            lambda: None,
            is_first=level == SHORT.priority,
        )
        engine = self.engines[int(state.target.target_id[1:])]

        def done():
            state.remove_request(in_flight)
            state.last_byte_ms = self.now_ms
            if self.now_ms - call.arrived_ms <= call.kind.timeout_ms:
                call.first_token_ms = self.now_ms

        engine.submit(level, call.tokens, done)


def total_load(loads, sign=1):
    """Returns the first load plus or minus the others."""
    total = loads[0]
    for load in loads[1:]:
        total = messages.TargetLoad(
            total.target,
            *(
                a + sign * b
                for a, b in zip(counts(total), counts(load), strict=True)
            ),
        )
    return total


def counts(load):
    """Returns the figures of a load without its target."""
    return [getattr(load, name) for name in load.__struct_fields__[1:]]


def served(calls):
    """Returns the part of some calls that got an answer."""
    return sum(c.first_token_ms is not None for c in calls) / max(1, len(calls))


def on_time(calls):
    """Returns the part of some calls that got an answer in time."""
    return sum(c.is_on_time for c in calls) / max(1, len(calls))


def largest(calls):
    """Returns the largest tenth of some calls."""
    least = statistics.quantiles([c.tokens for c in calls], n=10)[-1]
    return [c for c in calls if c.tokens >= least]


def during(calls, begin_ms=2_000.0, end_ms=7_000.0):
    """Returns the calls that arrived in some time."""
    return [c for c in calls if begin_ms <= c.arrived_ms < end_ms]


def by_team(calls):
    """Returns the calls of each team."""
    groups = collections.defaultdict(list)
    for call in calls:
        groups[call.team].append(call)
    return groups


LOADS = {
    "1": Load(1.0),
    "1.5": Load(1.5),
    "2": Load(2.0),
    "3": Load(3.0),
    "hot team x7": Load(1.2, hot=7.0),
    "long x2.5": Load(0.9, long=2.5),
    "hot and long": Load(0.8, hot=7.0, long=2.5),
    "quarter lost": Load(1.0, lost=2),
}


def describe(name, calls):
    """Returns a line of the table."""
    cells = []
    for kind in KINDS:
        own = [c for c in calls if c.kind is kind]
        cells += [f"{served(own):.2f}", f"{on_time(own):.2f}"]
        cells.append(f"{served(largest(own)):.2f}")
    teams = by_team(calls)
    hot = teams.pop(HOT, [])
    cells.append(f"{min(served(own) for own in teams.values()):.2f}")
    cells.append(f"{served(hot):.2f}")
    returned = [c for c in calls if c.refusals]
    cells.append(f"{len(returned) / len(calls):.2f}")
    again = sum(c.refusals > 1 for c in returned)
    cells.append(f"{again / max(1, len(returned)):.2f}")
    return f"| {name} | " + " | ".join(cells) + " |"


def main():
    """Prints the table, of all calls that arrive from 2 to 7 s."""
    print(
        "| load | short served | on time | largest | long served | on time"
        " | largest | worst other team | t2 | refused | refused again |"
    )
    print("|---|" + "---|" * 10)
    for name, load in LOADS.items():
        calls = [
            call for seed in SEEDS for call in World(load, seed=seed).run()
        ]
        print(describe(name, during(calls)))
        if load.lost:
            print(describe("second after", during(calls, 7_000.0, 8_000.0)))


if __name__ == "__main__":
    main()
