"""Steps for loads that a fleet of entries places or turns away."""

from __future__ import annotations

import dataclasses
import random
import statistics

from behave import given
from behave import then
from behave import when

from lycheering.forward import admission
from lycheering.forward import choice
from tests.helpers import direct_targets

NOW_MS = 10_000.0
OBJECTIVE_MS = 1_000.0
SETTINGS = choice.ChoiceSettings()


def place_admitted(load, settings, queues_away, rates=(50.0,), learns=True):
    """Returns the waits of a load of which some is turned away.

    Args:
        load: The arrivals.
        settings: When one is turned away.
        queues_away: Gets the queue that each of those would have met.
        rates: What engines read in a ms.
        learns: Whether what reading took is learned from.
    """
    randomness = random.Random(1)
    controller = admission.AdmissionController(settings, randomness)

    def by_choice(states, work, now_ms):
        found = choice.choose(
            states, work, SETTINGS, "d0", (), now_ms, randomness
        )
        if controller.check(found, OBJECTIVE_MS, 1, now_ms) is not None:
            queues_away.append(found.queue_ms)
            return None
        number = states.index(found.state)
        ahead = found.ahead_tokens if learns else 0
        return number, found.unread_tokens, ahead

    return direct_targets.place(load, 6, by_choice, rates)


@when("a recorded overload of 12 s is placed with requests turned away")
def step_overload(context):
    context.load = direct_targets.recorded_load(factor=1.6)
    context.queues_away = []
    settings = admission.AdmissionSettings()
    context.waits = place_admitted(context.load, settings, context.queues_away)


@when("the same overload is placed with none turned away")
def step_overload_all(context):
    everyone = admission.AdmissionSettings(queue_part=1e9, standing_part=1e9)
    context.waits_all = place_admitted(
        context.load, everyone, context.queues_away
    )


def on_time(waits):
    met = [w for w in waits if w is not None and w <= OBJECTIVE_MS]
    return len(met) / len(waits)


@then("at least half of all first tokens come within 1000 ms")
def step_half(context):
    assert on_time(context.waits) >= 0.5, on_time(context.waits)


@then("with none turned away fewer than a third do")
def step_third(context):
    assert on_time(context.waits_all) < 1 / 3, on_time(context.waits_all)


@then("no request was turned away while its queue was short")
def step_short(context):
    assert context.queues_away
    part = admission.AdmissionSettings().standing_part
    assert min(context.queues_away) > part * OBJECTIVE_MS


@then("the largest are turned away no more often than twice all")
def step_largest(context):
    sizes = [sum(p.tokens for p in parts) for _, parts in context.load]
    bound = statistics.quantiles(sizes, n=10)[-1]
    pairs = list(zip(sizes, context.waits, strict=True))
    large = [wait for size, wait in pairs if size >= bound]
    share_large = sum(w is None for w in large) / len(large)
    share_all = sum(w is None for w in context.waits) / len(context.waits)
    assert share_large <= 2 * share_all, (share_large, share_all)


def stale_waits(settings):
    load = direct_targets.fleet_load()
    randomness = random.Random(1)

    def by_choice(states, work, now_ms):
        found = choice.choose(
            states, work, settings, "d0", (), now_ms, randomness
        )
        number = states.index(found.state)
        return number, found.unread_tokens, found.ahead_tokens

    return direct_targets.place_by_entries(load, 24, 23, by_choice)


@when("23 entries with loads 100 ms old place a load on 24 targets")
def step_stale(context):
    context.waits = stale_waits(SETTINGS)


@when("the same entries compare all targets")
def step_stale_all(context):
    context.waits_all = stale_waits(
        dataclasses.replace(SETTINGS, compared=1.0, apart_ms=0.0)
    )


@then("{share:d} in 100 first tokens come within {most_ms:d} ms")
def step_share(context, share, most_ms):
    met = sum(wait <= most_ms for wait in context.waits) / len(context.waits)
    assert met >= share / 100, met


@then("with all compared fewer than {share:d} in 100 do within {most_ms:d} ms")
def step_share_all(context, share, most_ms):
    waits = context.waits_all
    met = sum(wait <= most_ms for wait in waits) / len(waits)
    assert met < share / 100, met


@given("an admission controller with a half-life of {half_ms:d} ms")
def step_controller(context, half_ms):
    context.controller = admission.AdmissionController(
        admission.AdmissionSettings(half_life_ms=half_ms), random.Random(1)
    )
    context.now_ms = 1_000.0


def check_queue(context, queue_ms):
    state = direct_targets.state(1, NOW_MS)
    estimate = choice.Estimate(state, queue_ms, queue_ms, queue_ms, 0)
    return context.controller.check(estimate, OBJECTIVE_MS, 1, context.now_ms)


@when("requests meet queues of {queue_ms:d} ms for {span_ms:d} ms")
def step_meet(context, queue_ms, span_ms):
    until_ms = context.now_ms + span_ms
    while context.now_ms < until_ms:
        check_queue(context, queue_ms)
        context.now_ms += 50.0


@then("a queue of {queue_ms:d} ms is {verdict} for a less urgent request")
def step_verdict(context, queue_ms, verdict):
    rejection = check_queue(context, queue_ms)
    assert (rejection is None) == (verdict == "taken"), rejection
