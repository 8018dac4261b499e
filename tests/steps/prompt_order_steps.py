"""Steps for the order of prompts at engines."""

from __future__ import annotations

import dataclasses
import random

from behave import given
from behave import then
from behave import when

from lycheering.forward import prompt_order
from lycheering.forward import target_selection
from lycheering.routes import api as route_api
from lycheering.wire import messages
from tests.helpers import direct_targets

NOW_MS = 10_000.0


def make_route(name, priority, objective_ms):
    return route_api.Route(
        name,
        "h",
        f"/{name}/",
        route_api.RouteKind.STREAM,
        10_000.0,
        objective_ms,
        priority,
        (route_api.ServiceShare("s", 1),),
    )


@given(
    'routes "{one}" of rank {a:d} and {first:d} ms,'
    ' "{two}" of rank {b:d} and {second:d} ms'
)
def step_routes(context, one, a, first, two, b, second):
    context.routes = {
        one: make_route(one, a, float(first)),
        two: make_route(two, b, float(second)),
    }
    table = route_api.RouteTable(
        1,
        tuple(context.routes.values()),
        (route_api.Service("s"),),
        (route_api.RouteTableTeam("t", (), 0),),
    )
    context.order = prompt_order.PromptOrder(table)
    context.level_by_name = {
        name: context.order.level(route.priority, route, "s")
        for name, route in context.routes.items()
    }


@then("the order of levels is {names}")
def step_order(context, names):
    found = sorted(context.level_by_name, key=context.level_by_name.get)
    assert found == names.split(", "), context.level_by_name
    assert len(set(context.level_by_name.values())) == len(found)


@then('only "{name}" is read first')
def step_first(context, name):
    first = [
        key
        for key, level in context.level_by_name.items()
        if level <= context.order.first_level("s")
    ]
    assert first == [name], first


@then('a request for "{name}" of a team of rank 0 is read before "{other}"')
def step_team(context, name, other):
    level = context.order.level(0, context.routes[name], "s")
    assert level < context.level_by_name[other], level


@given("an engine with {urgent:d} urgent and {other:d} other tokens to read")
def step_engine(context, urgent, other):
    context.state = direct_targets.state(1, NOW_MS)
    if urgent:
        context.state.add_request(
            NOW_MS, urgent, urgent, lambda: None, is_first=True
        )
    if other:
        context.state.add_request(NOW_MS, other, other, lambda: None)


@given(
    "another entry reported {tokens:d} tokens, {urgent:d} of them urgent,"
    " {age:d} ms ago"
)
def step_reported(context, tokens, urgent, age):
    context.state = direct_targets.state(1, NOW_MS)
    load = messages.TargetLoad(context.state.digest, tokens, 9, tokens, urgent)
    context.state.update_other_load(load, NOW_MS - age)


@then("{tokens:d} tokens are read before an urgent prompt")
def step_before_urgent(context, tokens):
    ahead = prompt_order.tokens_ahead(context.state, NOW_MS, is_first=True)
    assert ahead == tokens, ahead


@then("{tokens:d} tokens are read before another prompt")
def step_before_other(context, tokens):
    ahead = prompt_order.tokens_ahead(context.state, NOW_MS, is_first=False)
    assert ahead == tokens, ahead


@given("urgent prompts take {share:g} of the time of all engines")
def step_overtaking(context, share):
    context.overtaking = share


@then(
    "a prompt of {tokens:d} tokens that can wait takes {times:g} times as long"
)
def step_takes(context, tokens, times):
    profile = target_selection.RequestProfile(prompt_tokens=tokens)
    waits_ms = [
        target_selection.select_target(
            [direct_targets.state(1, NOW_MS)],
            dataclasses.replace(profile, overtaking=overtaking),
            target_selection.SelectionSettings(),
            "d1",
            (),
            NOW_MS,
            random.Random(1),
        ).wait_ms
        for overtaking in (0.0, context.overtaking)
    ]
    assert abs(waits_ms[1] - times * waits_ms[0]) < 1.0, waits_ms


@when(
    "an entry of {entries:d} sends urgent prompts of {tokens:d} tokens each"
    " {interval:d} ms"
)
def step_sends(context, entries, tokens, interval):
    context.sent = prompt_order.Overtaking()
    context.entries = entries
    for number in range(60):
        context.sent.record(tokens, number * interval)
    context.now_ms = 60.0 * interval


@then(
    "they take {share:g} of the time of engines that read {rate:d} tokens a ms"
)
def step_share(context, share, rate):
    found = context.sent.share(context.entries, lambda: rate, context.now_ms)
    assert abs(found - share) < 0.25 * share, found
