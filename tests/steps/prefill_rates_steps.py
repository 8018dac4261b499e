"""Steps for the estimated prefill rate of engines."""

from __future__ import annotations

import random
import statistics

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.forward import prefill_rates
from lycheering.forward import target_registry
from lycheering.limits import queue_limit
from lycheering.routes import records as route_records
from lycheering.wire import messages
from tests.helpers import direct_targets
from tests.steps import placed_load_steps

ENGINES = 5
# relative error of the expected number of tokens
TOKENS_ERROR = 0.4
# time of an answer besides the prefill: network, a decode step, a fetch
OVERHEAD_MS = 60.0
OBJECTIVE_MS = 1_000.0


@given("engines that prefill {rate:d} tokens per ms")
def step_engines(context, rate):
    context.now_ms = 0.0
    service = prefill_rates.ServicePrefillRate()
    context.rates = [
        prefill_rates.TargetPrefillRate(service) for _ in range(ENGINES)
    ]
    context.true_rates = [float(rate)] * ENGINES
    context.rng = random.Random(5)


def prefill(context, number):
    tokens = context.rng.randrange(2_000, 15_000)
    factor = context.rng.uniform(1 - TOKENS_ERROR, 1 + TOKENS_ERROR)
    elapsed_ms = OVERHEAD_MS + factor * tokens / context.true_rates[number]
    context.rates[number].observe(tokens, elapsed_ms, context.now_ms)


@when("{count:d} prompts are prefilled within {seconds:d} s")
def step_prefilled(context, count, seconds):
    for index in range(count):
        context.now_ms += seconds * 1_000 / count
        # the last engine gets no prompt
        prefill(context, index % (ENGINES - 1))


@when("one engine slows down to {rate:d} tokens per ms")
def step_slow(context, rate):
    context.true_rates[0] = float(rate)


@when("one answer takes {seconds:d} s")
def step_outlier(context, seconds):
    context.rates[0].observe(5_000, seconds * 1_000.0, context.now_ms)


@when("another entry reports {count:d} prefilled prompts")
def step_reported(context, count):
    registry = target_registry.TargetRegistry(clock.ManualClock())
    registry.update(
        [direct_targets.target(number) for number in range(ENGINES)],
        {"s": route_records.Service("s", "/health")},
    )
    states = list(registry.state_by_key.values())
    reads = tuple(
        messages.PromptRead(
            states[index % ENGINES].digest,
            (index,),
            (9_000,),
            2_000 + 700 * index,
            round(OVERHEAD_MS + (2_000 + 700 * index) / context.true_rates[0]),
        )
        for index in range(count)
    )
    registry.apply_loads(messages.LoadReply((), reads, "", 0, 2), 10.0)
    context.rates = [state.prefill_rate for state in states]


@then("the estimated rate is within 25 in 100 of the true one")
def step_estimated(context):
    estimated = statistics.median(r.tokens_per_ms() for r in context.rates)
    assert 0.75 <= estimated / context.true_rates[1] <= 1.25, estimated


@then("an engine without an answer yet is assumed to be as fast")
def step_without_answer(context):
    estimated = context.rates[-1].tokens_per_ms()
    assert 0.75 <= estimated / context.true_rates[-1] <= 1.25, estimated


@then("that engine's estimated rate is below three fifths of the others")
def step_is_slow(context):
    slow, *others = [rate.tokens_per_ms() for rate in context.rates]
    assert slow < 0.6 * min(others), (slow, others)


@when("a load of {rate:d} tokens per ms is placed on engines of that rate")
def step_place(context, rate):
    def on_time_share(is_rate_learned):
        waits_ms = placed_load_steps.place_admitted(
            direct_targets.burst_load(factor=rate / 50.0),
            queue_limit.QueueLimitSettings(),
            [],
            (float(rate),),
            is_rate_learned,
        )
        on_time = [w for w in waits_ms if w is not None and w <= OBJECTIVE_MS]
        return len(on_time) / len(waits_ms)

    context.shares = on_time_share(True), on_time_share(False)


@then("at least {share:d} in 100 are answered on time")
def step_share(context, share):
    assert context.shares[0] >= share / 100, context.shares


@then("with the initial rate only, {verdict} are")
def step_initial_rate(context, verdict):
    learned_share, initial_share = context.shares
    if verdict == "fewer":
        assert initial_share < learned_share - 0.02, context.shares
    else:
        assert initial_share <= learned_share + 0.05, context.shares
