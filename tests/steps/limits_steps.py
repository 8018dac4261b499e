"""Steps for prefix widths, costs and reserved slots."""

from __future__ import annotations

import dataclasses
import itertools

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.limits import cost_model
from lycheering.limits import prefix_width
from tests.steps.admission_steps import step_ends

KEY = "level"
BUSY_WORK_MS = 1_000


@given("a slot reserve of {count:d}")
def step_reserved(context, count):
    target_admission = context.requests.target_admission
    target_admission.set_limits(
        dataclasses.replace(target_admission.limits, reserved_slots=count)
    )


@when("{duration:d} ms pass at the target")
def step_pass(context, duration):
    context.requests.clock.advance(duration)


@when(
    'team "{team}" sends a request at priority {priority:d} with {work:d} ms'
    " of work"
)
def step_send_priority(context, team, priority, work):
    requests = context.requests
    requests.runner.run(requests.enter(team, work, 10_000, priority))


@when('teams "{teams}" keep {slots:d} slots busy for {duration:d} ms')
def step_keep_busy(context, teams, slots, duration):
    requests = context.requests
    first = requests.count + 1
    names = itertools.cycle(teams.split())
    for _ in range(duration * slots // BUSY_WORK_MS):
        requests.runner.run(requests.enter(next(names), BUSY_WORK_MS, 60_000))
        requests.clock.advance(BUSY_WORK_MS / slots)
        if requests.count - first >= slots - 1:
            step_ends(context, requests.count - slots + 1)
    for number in range(requests.count - slots + 2, requests.count + 1):
        step_ends(context, number)


@given("a prefix width controller for at most {most:d} targets")
def step_controller(context, most):
    context.clock = clock.ManualClock(1_000)
    context.controller = prefix_width.PrefixWidthController(context.clock)
    context.max_width = most
    context.width = 1


def record_request(context, work_ms, spread=1, key=KEY):
    hint = context.controller.record_request(
        key, work_ms, spread, context.max_width
    )
    return hint.width


@when(
    "a prefix causes {work:d} ms of work every {interval:d} ms for"
    " {duration:d} s"
)
def step_work(context, work, interval, duration):
    for _ in range(duration * 1_000 // interval):
        context.width = record_request(context, work)
        context.clock.advance(interval)


@then("its width is {expected:d}")
def step_width(context, expected):
    assert context.width == expected, context.width


@then("its width is at least {expected:d}")
def step_width_at_least(context, expected):
    assert context.width >= expected, context.width


@when("a prefix spread over its width causes {work:d} ms of work every second")
def step_spread(context, work):
    context.work = work


@then("its width changes at most {most:d} times in {duration:d} s")
def step_steady(context, most, duration):
    changed = 0
    for _ in range(duration):
        share = context.work / context.width
        found = record_request(context, share, context.width)
        changed += found != context.width
        context.width = found
        context.clock.advance(1_000)
    assert changed <= most, changed


@when("{count:d} prefixes cause work")
def step_prefixes(context, count):
    for number in range(count):
        record_request(context, 10, key=f"level-{number}")


@then("the controller tracks {count:d} of them")
def step_tracks(context, count):
    assert len(context.controller._load_by_key) == count


@given("a cost model")
def step_cost(context):
    context.cost_model = cost_model.CostModel()
    context.now_ms = 1_000.0


@when(
    "{count:d} prompts with {missing:d} missing pieces take {spent:d} ms each"
)
def step_prompts(context, count, missing, spent):
    for _ in range(count):
        sent_ms = context.now_ms
        context.now_ms += spent
        context.cost_model.learn_prefill(sent_ms, context.now_ms, missing)


@when(
    "{count:d} pairs of prompts with {missing:d} missing pieces are sent"
    " together"
)
def step_pairs(context, count, missing):
    for _ in range(count):
        sent_ms = context.now_ms
        for _ in range(2):
            context.now_ms += cost_model.INITIAL_BASE_MS + 40 * missing
            context.cost_model.learn_prefill(sent_ms, context.now_ms, missing)


@then("a missing piece is expected to take {low:d} to {high:d} ms")
def step_piece(context, low, high):
    assert low <= context.cost_model.piece_ms <= high, (
        context.cost_model.piece_ms
    )


@when("{count:d} answers use {used:d} of {allowed:d} tokens allowed")
def step_lengths(context, count, used, allowed):
    for _ in range(count):
        context.cost_model.learn_length(used, allowed)


@then("{tokens:d} tokens are expected to take {low:d} to {high:d} ms")
def step_tokens(context, tokens, low, high):
    decode_ms = context.cost_model.completion_cost(0, tokens).decode_ms
    assert low <= decode_ms <= high, decode_ms


@when("{duration:d} ms pass without work for the prefix")
def step_no_work(context, duration):
    context.clock.advance(duration)


@then("it uses {low:d} to {high:d} percent of the target")
def step_use(context, low, high):
    assert low <= 100 * context.controller.local_utilization(KEY) <= high
