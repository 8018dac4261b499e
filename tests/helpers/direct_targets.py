"""Direct targets and prompts for tests of decisions."""

from __future__ import annotations

import random

from lycheering import clock
from lycheering.fleet import records
from lycheering.forward import api
from lycheering.forward import cached_parts
from lycheering.forward import choice
from lycheering.forward import read_rates
from lycheering.forward import target_state
from lycheering.wire import messages

SERVICE = "s"
MODEL = "m"
CACHE_TOKENS = 200_000
EXCHANGE_MS = 100.0
PARTS = (
    api.PromptPart("outer", 500),
    api.PromptPart("inner", 4_500),
    api.PromptPart("own", 3_000),
)


def target(number, version=1, slots=64, **fields):
    return records.DirectTarget(
        target_id=f"t{number}",
        service=SERVICE,
        ip="127.0.0.1",
        port=1_000 + number,
        failure_domain=f"d{number % 3}",
        slots=slots,
        version_by_model={MODEL: version},
        **fields,
    )


def state(number, now_ms=0.0, service_rate=None, **fields):
    return target_state.TargetState(
        target(number, **fields),
        CACHE_TOKENS,
        now_ms,
        service_rate or read_rates.ServiceRate(),
    )


def work(parts=PARTS, names=((1, 10_000.0),), key=None):
    chains = cached_parts.chains_of("", parts)
    return choice.Work(
        prompt_tokens=sum(part.tokens for part in parts),
        shared_tokens=sum(part.tokens for part in parts[:-1]),
        chains=tuple(chains),
        affinity_key=key or chains[-2],
        model=MODEL,
        names=names,
        objective_ms=1_000.0,
    )


class Engine:
    """Reads prompts one after another, with a cache of parts."""

    def __init__(self, tokens_per_ms=50.0):
        self.free_at_ms = 0.0
        self.cached = cached_parts.CachedParts(CACHE_TOKENS)
        self._tokens_per_ms = tokens_per_ms

    def run(self, arrived_ms, chains, parts, tokens):
        """Returns when a prompt is read."""
        unread = max(0, tokens - self.cached.held_tokens(chains))
        begin_ms = max(arrived_ms, self.free_at_ms)
        self.free_at_ms = begin_ms + unread / self._tokens_per_ms
        self.cached.add(chains, [part.tokens for part in parts])
        return self.free_at_ms


def recorded_load(seed=7, duration_ms=12_000.0, factor=1.0):
    """Returns arrivals: a calm load with a burst of one prefix."""
    randomness = random.Random(seed)
    arrivals = []
    now_ms = 0.0
    while now_ms < duration_ms:
        burst = 4_000 <= now_ms < 7_000
        now_ms += randomness.expovariate(
            0.038 * factor * (1.7 if burst else 1.0)
        )
        hot = burst and randomness.random() < 0.4
        inner = "hot" if hot else f"i{randomness.randrange(80)}"
        parts = (
            api.PromptPart(f"o{randomness.randrange(3)}", 500),
            api.PromptPart(inner, 4_500),
            api.PromptPart(f"own{len(arrivals)}", randomness.randrange(8_000)),
        )
        arrivals.append((now_ms, parts))
    return arrivals


def place(arrivals, count, choose_target, rates=(50.0,)):
    """Returns the wait of each arrival, as engines read them.

    `choose_target` gets the states, the work and the time, and returns the
    number of a target, the tokens that it has to read for the work, and those
    with the ones before them; None turns the work away.
    """
    time = clock.ManualClock()
    engines = [Engine(rates[n % len(rates)]) for n in range(count)]
    rate = read_rates.ServiceRate()
    states = [state(number, service_rate=rate) for number in range(count)]
    reading = []
    waits = []
    for at_ms, parts in arrivals:
        time.time_ms = at_ms
        for item in [item for item in reading if item[0] <= at_ms]:
            item[1].end(item[2])
            item[1].heard_ms = at_ms
            item[1].rate.take(item[3], item[0] - item[4], item[0])
            reading.remove(item)
        asked = work(parts)
        chosen = choose_target(states, asked, at_ms)
        if chosen is None:
            waits.append(None)
            continue
        number, unread, ahead = chosen
        done_ms = engines[number].run(
            at_ms, asked.chains, parts, asked.prompt_tokens
        )
        sent = states[number].begin(
            at_ms, asked.prompt_tokens, unread, lambda: None
        )
        states[number].heard_ms = at_ms
        sizes = [part.tokens for part in parts]
        states[number].cached.add(asked.chains, sizes)
        reading.append((done_ms, states[number], sent, ahead, at_ms))
        waits.append(done_ms - at_ms)
    return waits


def fleet_load(seed=11, duration_ms=12_000.0):
    """Returns arrivals of a large fleet, four fifths of what it can read."""
    randomness = random.Random(seed)
    arrivals = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += randomness.expovariate(0.24)
        if randomness.random() < 0.34:
            inner = api.PromptPart(f"i{randomness.randrange(300)}", 4_900)
            own = int(randomness.lognormvariate(8.0, 1.2))
            outer = api.PromptPart("o", 500)
        else:
            inner = api.PromptPart(f"j{randomness.randrange(900)}", 230)
            own = int(randomness.lognormvariate(6.8, 1.1))
            outer = api.PromptPart(f"p{randomness.randrange(80)}", 340)
        parts = (outer, inner, api.PromptPart(f"own{len(arrivals)}", own))
        arrivals.append((now_ms, parts))
    return arrivals


def place_by_entries(arrivals, count, entries, choose_target):
    """Returns the wait of each arrival at entries that share loads.

    Each entry knows its own requests at once, and all others as they were at
    the last exchange.
    """
    engines = [Engine() for _ in range(count)]
    states_by_entry = [
        [state(number) for number in range(count)] for _ in range(entries)
    ]
    randomness = random.Random(3)
    reading = []
    waits = []
    exchanged_ms = 0.0
    for at_ms, parts in arrivals:
        for item in [item for item in reading if item[0] <= at_ms]:
            item[1].end(item[2])
            reading.remove(item)
        if at_ms - exchanged_ms >= EXCHANGE_MS:
            exchanged_ms = at_ms
            _exchange(states_by_entry, at_ms)
        states = states_by_entry[randomness.randrange(entries)]
        asked = work(parts)
        number, unread, _ = choose_target(states, asked, at_ms)
        done_ms = engines[number].run(
            at_ms, asked.chains, parts, asked.prompt_tokens
        )
        sent = states[number].begin(
            at_ms, asked.prompt_tokens, unread, lambda: None
        )
        states[number].heard_ms = at_ms
        sizes = [part.tokens for part in parts]
        for known in states_by_entry:
            known[number].cached.add(asked.chains, sizes)
        reading.append((done_ms, states[number], sent))
        waits.append(done_ms - at_ms)
    return waits


def _exchange(states_by_entry, now_ms):
    """Tells each entry what all others have at each target."""
    for column in zip(*states_by_entry, strict=True):
        loads = [item.own_load() for item in column]
        unread = sum(load.unread_tokens for load in loads)
        requests = sum(load.requests for load in loads)
        for item, own in zip(column, loads, strict=True):
            others = messages.TargetLoad(
                item.digest,
                unread - own.unread_tokens,
                requests - own.requests,
                0,
            )
            item.take_others(others, now_ms)


__all__ = [
    "MODEL",
    "PARTS",
    "SERVICE",
    "fleet_load",
    "place",
    "place_by_entries",
    "recorded_load",
    "state",
    "target",
    "work",
]
