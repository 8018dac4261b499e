"""Simulated direct targets and loads for tests of target selection."""

from __future__ import annotations

import dataclasses
import heapq
import random

from lycheering import clock
from lycheering.fleet import records
from lycheering.forward import api
from lycheering.forward import prefill_rates
from lycheering.forward import prefix_cache_model
from lycheering.forward import target_selection
from lycheering.forward import target_state
from lycheering.wire import messages

SERVICE = "s"
MODEL = "m"
CACHE_TOKENS = 200_000
EXCHANGE_INTERVAL_MS = 100.0
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
        service_rate or prefill_rates.ServicePrefillRate(),
    )


def profile(parts=PARTS, version_ages=((1, 10_000.0),), affinity_key=None):
    prefix_hashes = prefix_cache_model.hash_prefixes("", parts)
    return target_selection.RequestProfile(
        prompt_tokens=sum(part.tokens for part in parts),
        shared_tokens=sum(part.tokens for part in parts[:-1]),
        prefix_hashes=tuple(prefix_hashes),
        affinity_key=affinity_key or prefix_hashes[-2],
        model=MODEL,
        version_ages=version_ages,
        objective_ms=1_000.0,
    )


def usual(now_ms):
    return 1.0


class Engine:
    """Prefills prompts one after another, with a prefix cache."""

    def __init__(self, tokens_per_ms=50.0):
        self.free_at_ms = 0.0
        self.busy_ms = 0.0
        self.cache = prefix_cache_model.PrefixCacheModel(CACHE_TOKENS)
        self._tokens_per_ms = tokens_per_ms

    def run(self, arrived_ms, prefix_hashes, parts, tokens, factor=usual):
        """Returns the time at which the prefill of a prompt is done."""
        uncached = max(0, tokens - self.cache.cached_tokens(prefix_hashes))
        begin_ms = max(arrived_ms, self.free_at_ms)
        work_ms = factor(begin_ms) * uncached / self._tokens_per_ms
        self.busy_ms += work_ms
        self.free_at_ms = begin_ms + work_ms
        self.cache.add(prefix_hashes, [part.tokens for part in parts])
        return self.free_at_ms


def burst_load(seed=7, duration_ms=12_000.0, factor=1.0):
    """Returns arrivals: a steady load with a burst of one prefix."""
    rng = random.Random(seed)
    arrivals = []
    now_ms = 0.0
    while now_ms < duration_ms:
        is_burst = 4_000 <= now_ms < 7_000
        now_ms += rng.expovariate(0.038 * factor * (1.7 if is_burst else 1.0))
        is_hot = is_burst and rng.random() < 0.4
        inner = "hot" if is_hot else f"i{rng.randrange(80)}"
        parts = (
            api.PromptPart(f"o{rng.randrange(3)}", 500),
            api.PromptPart(inner, 4_500),
            api.PromptPart(f"own{len(arrivals)}", rng.randrange(8_000)),
        )
        arrivals.append((now_ms, parts))
    return arrivals


def place(arrivals, count, select, rates=(50.0,)):
    """Returns the time to first token of each arrival at simulated engines.

    `select` gets the target states, the request profile and the time. It
    returns the number of a target, the tokens that the target has to prefill
    for the request, and the total with the tokens queued before them; or None
    to reject the request, whose time is then None.
    """
    time = clock.ManualClock()
    engines = [Engine(rates[n % len(rates)]) for n in range(count)]
    service_rate = prefill_rates.ServicePrefillRate()
    states = [
        state(number, service_rate=service_rate) for number in range(count)
    ]
    in_flight = []
    waits_ms = []
    for at_ms, parts in arrivals:
        time.time_ms = at_ms
        for item in [item for item in in_flight if item[0] <= at_ms]:
            item[1].remove_request(item[2])
            item[1].last_byte_ms = at_ms
            item[1].prefill_rate.observe(item[3], item[0] - item[4], item[0])
            in_flight.remove(item)
        request = profile(parts)
        selected = select(states, request, at_ms)
        if selected is None:
            waits_ms.append(None)
            continue
        number, uncached_tokens, total_prefill_tokens = selected
        done_ms = engines[number].run(
            at_ms, request.prefix_hashes, parts, request.prompt_tokens
        )
        in_flight_id = states[number].add_request(
            at_ms, request.prompt_tokens, uncached_tokens, lambda: None
        )
        states[number].last_byte_ms = at_ms
        sizes = [part.tokens for part in parts]
        states[number].cache.add(request.prefix_hashes, sizes)
        in_flight.append(
            (done_ms, states[number], in_flight_id, total_prefill_tokens, at_ms)
        )
        waits_ms.append(done_ms - at_ms)
    return waits_ms


def fleet_load(seed=11, duration_ms=12_000.0):
    """Returns arrivals for a large fleet, at four fifths of its capacity."""
    rng = random.Random(seed)
    arrivals = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(0.24)
        if rng.random() < 0.34:
            inner = api.PromptPart(f"i{rng.randrange(300)}", 4_900)
            own = int(rng.lognormvariate(8.0, 1.2))
            outer = api.PromptPart("o", 500)
        else:
            inner = api.PromptPart(f"j{rng.randrange(900)}", 230)
            own = int(rng.lognormvariate(6.8, 1.1))
            outer = api.PromptPart(f"p{rng.randrange(80)}", 340)
        parts = (outer, inner, api.PromptPart(f"own{len(arrivals)}", own))
        arrivals.append((now_ms, parts))
    return arrivals


def place_by_entries(arrivals, count, entries, select):
    """Returns the time to first token of each arrival at several entries.

    Each entry knows its own requests at once, and those of the others as of
    the last exchange of loads.
    """
    engines = [Engine() for _ in range(count)]
    states_by_entry = [
        [state(number) for number in range(count)] for _ in range(entries)
    ]
    rng = random.Random(3)
    in_flight = []
    waits_ms = []
    exchanged_ms = 0.0
    for at_ms, parts in arrivals:
        for item in [item for item in in_flight if item[0] <= at_ms]:
            item[1].remove_request(item[2])
            in_flight.remove(item)
        if at_ms - exchanged_ms >= EXCHANGE_INTERVAL_MS:
            exchanged_ms = at_ms
            _exchange(states_by_entry, at_ms)
        states = states_by_entry[rng.randrange(entries)]
        request = profile(parts)
        number, uncached_tokens, _ = select(states, request, at_ms)
        done_ms = engines[number].run(
            at_ms, request.prefix_hashes, parts, request.prompt_tokens
        )
        in_flight_id = states[number].add_request(
            at_ms, request.prompt_tokens, uncached_tokens, lambda: None
        )
        states[number].last_byte_ms = at_ms
        sizes = [part.tokens for part in parts]
        for known in states_by_entry:
            known[number].cache.add(request.prefix_hashes, sizes)
        in_flight.append((done_ms, states[number], in_flight_id))
        waits_ms.append(done_ms - at_ms)
    return waits_ms


@dataclasses.dataclass
class PlacedLoad:
    """What became of a load.

    Attributes:
        waits: Time of arrival, time to first token and number of the engine
            of each request.
        busy_ms: How long each engine worked.
    """

    waits: list
    busy_ms: list


def place_by_pace(arrivals, entries, select, paces, is_reported):
    """Places a load on engines that change, and report so.

    Each entry knows its own requests, and the reports that came with their
    answers, at once; those of the others as of the last exchange.
    `select` gets the target states, the request profile and the time. It
    returns the number of a target and the estimate for it.
    """
    count = len(paces)
    engines = [Engine() for _ in range(count)]
    rates = [prefill_rates.ServicePrefillRate() for _ in range(entries)]
    states_by_entry = [
        [state(number, service_rate=rate) for number in range(count)]
        for rate in rates
    ]
    rng = random.Random(3)
    placed = PlacedLoad([], [])
    in_flight = []
    unshared = []
    exchanged_ms = 0.0
    for index, (at_ms, parts) in enumerate(arrivals):
        while in_flight and in_flight[0][0] <= at_ms:
            done_ms, _, entry, number, in_flight_id, estimate, sent_ms = (
                heapq.heappop(in_flight)
            )
            own = states_by_entry[entry][number]
            own.remove_request(in_flight_id)
            own.last_byte_ms = done_ms
            percent = paces[number].percent(done_ms) if is_reported else 0
            elapsed_ms = done_ms - sent_ms - estimate.overhead_ms
            read = (
                number,
                estimate.total_prefill_tokens,
                elapsed_ms / estimate.time_factor,
                percent,
            )
            _observe(own, read, 0.0, done_ms)
            unshared.append((entry, read))
        if at_ms - exchanged_ms >= EXCHANGE_INTERVAL_MS:
            exchanged_ms = at_ms
            _exchange(states_by_entry, at_ms)
            for entry, states in enumerate(states_by_entry):
                for reader, read in unshared:
                    if reader != entry:
                        _observe(states[read[0]], read, 100.0, at_ms)
            unshared = []
        entry = rng.randrange(entries)
        states = states_by_entry[entry]
        request = profile(parts)
        number, estimate = select(states, request, at_ms)
        done_ms = engines[number].run(
            at_ms,
            request.prefix_hashes,
            parts,
            request.prompt_tokens,
            paces[number].factor,
        )
        in_flight_id = states[number].add_request(
            at_ms,
            request.prompt_tokens,
            estimate.uncached_tokens,
            lambda: None,
        )
        sizes = [part.tokens for part in parts]
        for known in states_by_entry:
            known[number].cache.add(request.prefix_hashes, sizes)
        heapq.heappush(
            in_flight,
            (done_ms, index, entry, number, in_flight_id, estimate, at_ms),
        )
        placed.waits.append((at_ms, done_ms - at_ms, number))
    placed.busy_ms = [engine.busy_ms for engine in engines]
    return placed


def _observe(known, read, age_ms, now_ms):
    _, tokens, elapsed_ms, percent = read
    known.prefill_rate.observe(tokens, elapsed_ms, now_ms)
    if percent:
        known.pace.observe(percent, age_ms, now_ms)


PLAIN_WORK_MS = 45.0
PLAIN_SLOTS = 6
PLAIN_LOAD_MS = 20_000.0


def place_plain(levels, entries, settings, per_ms, is_reported):
    """Returns how long requests without prompts take at targets of few slots.

    The targets take `levels` times as long as usual, and tell the entries if
    `is_reported`.
    """
    rng = random.Random(6)
    count = len(levels)
    states_by_entry = [
        [state(number, slots=PLAIN_SLOTS) for number in range(count)]
        for _ in range(entries)
    ]
    free_at_ms = [[0.0] * PLAIN_SLOTS for _ in range(count)]
    request = target_selection.RequestProfile()
    in_flight = []
    answered_ms = []
    now_ms = exchanged_ms = 0.0
    while now_ms < PLAIN_LOAD_MS:
        now_ms += rng.expovariate(per_ms)
        while in_flight and in_flight[0][0] <= now_ms:
            done_ms, _, entry, number, in_flight_id, work_ms = heapq.heappop(
                in_flight
            )
            states_by_entry[entry][number].remove_request(in_flight_id)
            for states in states_by_entry:
                known = states[number]
                known.work_ms.add(work_ms, done_ms)
                if is_reported:
                    known.pace.observe(100 * levels[number], 0.0, done_ms)
        if now_ms - exchanged_ms >= EXCHANGE_INTERVAL_MS:
            exchanged_ms = now_ms
            _exchange(states_by_entry, now_ms)
        entry = rng.randrange(entries)
        states = states_by_entry[entry]
        estimate = target_selection.select_target(
            states, request, settings, "d0", (), now_ms, rng
        )
        number = states.index(estimate.state)
        work_ms = rng.lognormvariate(0.0, 0.5) * PLAIN_WORK_MS
        begin_ms = max(now_ms, heapq.heappop(free_at_ms[number]))
        done_ms = begin_ms + work_ms * levels[number]
        heapq.heappush(free_at_ms[number], done_ms)
        in_flight_id = estimate.state.add_request(now_ms, 0, 0, lambda: None)
        heapq.heappush(
            in_flight,
            (done_ms, len(answered_ms), entry, number, in_flight_id, work_ms),
        )
        answered_ms.append(done_ms - now_ms)
    return answered_ms


def _exchange(states_by_entry, now_ms):
    """Gives each entry the total load of all others at each target."""
    for states_of_target in zip(*states_by_entry, strict=True):
        loads = [item.own_load() for item in states_of_target]
        unread_tokens = sum(load.unread_tokens for load in loads)
        requests = sum(load.requests for load in loads)
        for item, own in zip(states_of_target, loads, strict=True):
            other_load = messages.TargetLoad(
                item.digest,
                unread_tokens - own.unread_tokens,
                requests - own.requests,
                0,
            )
            item.update_other_load(other_load, now_ms)


__all__ = [
    "MODEL",
    "PARTS",
    "SERVICE",
    "burst_load",
    "fleet_load",
    "place",
    "place_by_entries",
    "place_by_pace",
    "place_plain",
    "profile",
    "state",
    "target",
]
