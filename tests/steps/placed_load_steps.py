"""Steps for simulated loads that entries place on targets or reject."""

from __future__ import annotations

import dataclasses
import random
import statistics

from behave import given
from behave import then
from behave import when

from lycheering.forward import target_selection
from lycheering.limits import queue_limit
from lycheering.limits import room as rooms
from tests.helpers import direct_targets

NOW_MS = 10_000.0
OBJECTIVE_MS = 1_000.0
SETTINGS = target_selection.SelectionSettings()


def room_control(settings, rng):
    """Returns a decision that holds nothing."""
    return rooms.RoomControl(rooms.RoomSettings(settings, hold_fraction=0), rng)


def applicant():
    return rooms.Applicant(1, "", 1.0, 1_000.0, OBJECTIVE_MS, 10_000.0)


def place_admitted(
    load, settings, rejected_queues_ms, rates=(50.0,), is_rate_learned=True
):
    """Returns the time to first token of each arrival; None if rejected.

    Args:
        load: The arrivals.
        settings: Settings of admission control.
        rejected_queues_ms: Gets the queueing delay of each rejected request.
        rates: Prefill rates of the engines, in tokens per ms.
        is_rate_learned: Whether the prefill rate is learned from answers.
    """
    rng = random.Random(1)
    control = room_control(settings, rng)

    def by_selection(states, profile, now_ms):
        estimate = target_selection.select_target(
            states, profile, SETTINGS, "d0", (), now_ms, rng
        )
        decision = control.decide(applicant(), estimate.queue_ms, now_ms)
        if decision.verdict is rooms.Verdict.REFUSE:
            rejected_queues_ms.append(estimate.queue_ms)
            return None
        number = states.index(estimate.state)
        total_prefill_tokens = (
            estimate.total_prefill_tokens if is_rate_learned else 0
        )
        return number, estimate.uncached_tokens, total_prefill_tokens

    return direct_targets.place(load, 6, by_selection, rates)


@when("an overload of 12 s is placed with admission control")
def step_overload(context):
    context.load = direct_targets.burst_load(factor=1.6)
    context.rejected_queues_ms = []
    settings = queue_limit.QueueLimitSettings()
    context.waits_ms = place_admitted(
        context.load, settings, context.rejected_queues_ms
    )


@when("the same overload is placed without admission control")
def step_overload_all(context):
    no_limits = queue_limit.QueueLimitSettings(
        max_queue_fraction=1e9, sustained_queue_fraction=1e9
    )
    context.unlimited_waits_ms = place_admitted(
        context.load, no_limits, context.rejected_queues_ms
    )


def on_time_share(waits_ms):
    on_time = [w for w in waits_ms if w is not None and w <= OBJECTIVE_MS]
    return len(on_time) / len(waits_ms)


@then("at least half of all first tokens come within 1000 ms")
def step_half(context):
    assert on_time_share(context.waits_ms) >= 0.5, on_time_share(
        context.waits_ms
    )


@then("without admission control fewer than a third do")
def step_third(context):
    assert on_time_share(context.unlimited_waits_ms) < 1 / 3, on_time_share(
        context.unlimited_waits_ms
    )


@then("no request with a short queueing delay was rejected")
def step_short(context):
    assert context.rejected_queues_ms
    fraction = queue_limit.QueueLimitSettings().sustained_queue_fraction
    assert min(context.rejected_queues_ms) > fraction * OBJECTIVE_MS


@then("the largest requests are rejected at most twice as often as all")
def step_largest(context):
    sizes = [sum(p.tokens for p in parts) for _, parts in context.load]
    min_large_tokens = statistics.quantiles(sizes, n=10)[-1]
    pairs = list(zip(sizes, context.waits_ms, strict=True))
    large_waits_ms = [wait for size, wait in pairs if size >= min_large_tokens]
    large_share = sum(w is None for w in large_waits_ms) / len(large_waits_ms)
    overall_share = sum(w is None for w in context.waits_ms) / len(
        context.waits_ms
    )
    assert large_share <= 2 * overall_share, (large_share, overall_share)


def waits_with_stale_loads(settings):
    load = direct_targets.fleet_load()
    rng = random.Random(1)

    def by_selection(states, profile, now_ms):
        estimate = target_selection.select_target(
            states, profile, settings, "d0", (), now_ms, rng
        )
        number = states.index(estimate.state)
        return (
            number,
            estimate.uncached_tokens,
            estimate.total_prefill_tokens,
        )

    return direct_targets.place_by_entries(load, 24, 23, by_selection)


@when("23 entries that know loads of 100 ms ago place requests on 24 targets")
def step_stale(context):
    context.waits_ms = waits_with_stale_loads(SETTINGS)


@when("the same entries compare all targets")
def step_stale_all(context):
    context.unlimited_waits_ms = waits_with_stale_loads(
        dataclasses.replace(
            SETTINGS, sample_fraction=1.0, non_preferred_penalty_ms=0.0
        )
    )


@then("{share:d} in 100 first tokens come within {most_ms:d} ms")
def step_share(context, share, most_ms):
    met = sum(wait <= most_ms for wait in context.waits_ms) / len(
        context.waits_ms
    )
    assert met >= share / 100, met


@then("with all compared, fewer than {share:d} in 100 do within {most_ms:d} ms")
def step_overall_share(context, share, most_ms):
    waits = context.unlimited_waits_ms
    met = sum(wait <= most_ms for wait in waits) / len(waits)
    assert met < share / 100, met


@given("an admission controller with a half-life of {half_life_ms:d} ms")
def step_controller(context, half_life_ms):
    settings = queue_limit.QueueLimitSettings(half_life_ms=half_life_ms)
    context.control = room_control(settings, random.Random(1))
    context.now_ms = 1_000.0


def check_queue(context, queue_ms):
    return context.control.decide(applicant(), queue_ms, context.now_ms)


@when(
    "requests have a queueing delay of {queue_ms:d} ms for {duration_ms:d} ms"
)
def step_queueing_delay(context, queue_ms, duration_ms):
    until_ms = context.now_ms + duration_ms
    while context.now_ms < until_ms:
        check_queue(context, queue_ms)
        context.now_ms += 50.0


@then(
    "a queueing delay of {queue_ms:d} ms is {verdict} for a less urgent route"
)
def step_verdict(context, queue_ms, verdict):
    decision = check_queue(context, queue_ms)
    is_sent = decision.verdict is rooms.Verdict.SEND
    assert is_sent == (verdict == "admitted"), decision
