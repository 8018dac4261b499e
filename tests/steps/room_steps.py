"""Steps for room that is given while it is short."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when

from lycheering.limits import held_requests
from lycheering.limits import returns
from lycheering.limits import room as rooms
from tests.helpers import short_room

MIN_TEAM_CALLS = 20


@when("callers ask for {name}")
def step_replay(context, name):
    load = short_room.LOADS[name.removesuffix(" x the capacity")]
    context.worlds = [
        short_room.World(load, seed=seed) for seed in short_room.SEEDS
    ]
    context.all_calls = [
        call for world in context.worlds for call in world.run()
    ]
    context.calls = short_room.during(context.all_calls)


def of_kind(context, kind):
    return [call for call in context.calls if call.kind is kind]


@then(
    "{least:d} in 100 callers of the urgent kind are served,"
    " {in_time:d} in time"
)
def step_urgent(context, least, in_time):
    calls = of_kind(context, short_room.SHORT)
    served, on_time = short_room.served(calls), short_room.on_time(calls)
    assert served >= least / 100, served
    assert on_time >= in_time / 100, on_time


@then("the less urgent kind is served no more often than the urgent one")
def step_order(context):
    short = short_room.served(of_kind(context, short_room.SHORT))
    long = short_room.served(of_kind(context, short_room.LONG))
    assert long <= short + 0.05, (short, long)


@then("no kind is served less than {least:g} times as often as all")
def step_starved(context, least):
    for kind in short_room.KINDS:
        share = short_room.served(of_kind(context, kind))
        assert share >= least * short_room.served(context.calls), share


@then(
    "the largest tenth of each kind is served {least:g} times as often as the"
    " kind"
)
def step_sizes(context, least):
    for kind in short_room.KINDS:
        calls = of_kind(context, kind)
        share = short_room.served(short_room.largest(calls))
        assert share >= least * short_room.served(calls), (kind.name, share)


@then("each team is served at least {least:g} times as often as all")
def step_teams(context, least):
    all_share = short_room.served(context.calls)
    for team, calls in short_room.by_team(context.calls).items():
        if len(calls) >= MIN_TEAM_CALLS:
            share = short_room.served(calls)
            assert share >= least * all_share, (team, share, all_share)


@then("the other teams are served {least:g} times as often as the hot one")
def step_other_teams(context, least):
    hot = short_room.by_team(context.calls)[short_room.HOT]
    others = [call for call in context.calls if call not in hot]
    share = short_room.served(others)
    assert share >= least * short_room.served(hot), share


@then("{least:d} in 100 of those who come in the second after it are served")
def step_second_after(context, least):
    calls = short_room.during(context.all_calls, 7_000.0, 8_000.0)
    share = short_room.served(calls)
    assert share >= least / 100, share


@then("at most {most:d} in 100 of those that came back are refused again")
def step_refused_again(context, most):
    back = [call for call in context.calls if call.refusals]
    share = sum(call.refusals > 1 for call in back) / len(back)
    assert share <= most / 100, share


@then("most of those that came back are recognized")
def step_recognized(context):
    worlds = context.worlds
    came_back = sum(world.came_back for world in worlds)
    assert sum(world.recognized for world in worlds) >= 0.9 * came_back
    mistaken = sum(world.mistaken for world in worlds)
    assert mistaken <= 0.01 * len(context.all_calls), mistaken


@given("a caller of priority {priority:d} has {left:d} ms left")
def step_caller(context, priority, left):
    context.caller = (priority, float(left))


@when("it is refused with {excess:d} ms too much ahead of it")
def step_refused(context, excess):
    priority, left_ms = context.caller
    context.waits_ms = [
        returns.ReturnTimes(random.Random(seed), 250.0).assign(
            priority, excess, 100.0, left_ms, 5_000.0
        )
        for seed in range(30)
    ]


@then("it returns after {least:d} to {most:d} ms")
def step_returns(context, least, most):
    assert min(context.waits_ms) >= least, min(context.waits_ms)
    assert max(context.waits_ms) <= most, max(context.waits_ms)


@when("{count:d} callers with work of {work:d} ms each are refused at once")
def step_many(context, count, work):
    times = returns.ReturnTimes(random.Random(1), 250.0)
    context.waits_ms = [
        times.assign(2, 400.0, work, 15_000.0, 1_000.0) for _ in range(count)
    ]


@then("their returns are spread over {least:d} ms at least")
def step_spread(context, least):
    spread_ms = max(context.waits_ms) - min(context.waits_ms)
    assert spread_ms >= least, spread_ms


@given("callers of a route that have {least:d} to {most:d} ms at first")
def step_varied(context, least, most):
    context.detector = returns.ReturnDetector()
    rng = random.Random(2)
    for _ in range(200):
        context.detector.has_returned(rng.uniform(least, most))


@given("callers of a route that have {usual:d} ms at first")
def step_usual(context, usual):
    context.detector = returns.ReturnDetector()
    for _ in range(100):
        context.detector.has_returned(float(usual))


@given("then {count:d} callers that have {timeout:d} ms")
def step_then(context, count, timeout):
    for _ in range(count):
        context.detector.has_returned(float(timeout))


@then("a caller with {left:d} ms left has returned")
def step_has_returned(context, left):
    assert context.detector.has_returned(float(left))


@then("a caller with {left:d} ms left has not returned")
def step_not_returned(context, left):
    assert not context.detector.has_returned(float(left))


def parse_held(text):
    return [item.split() for item in text.replace(" and ", ", ").split(", ")]


@given("held requests of priority and team {text}")
def step_held(context, text):
    context.work_by_team = {}
    context.held = held_requests.HeldRequests(
        lambda team: context.work_by_team.get(team, 0.0)
    )
    context.requests = [
        context.held.create(int(priority), team, 1.0)
        for priority, team in parse_held(text)
    ]
    for request in context.requests:
        context.held.hold(request)


@given('team "{one}" got {first:g} tokens a ms and team "{two}" {second:g}')
def step_got(context, one, first, two, second):
    context.work_by_team = {one: first, two: second}


@then("they go on in the order {text}")
def step_go_on(context, text):
    found = []
    while len(context.held):
        for request in context.requests:
            is_held = [str(request.priority), request.team] not in found
            if is_held and not context.held.has_ahead(request):
                found.append([str(request.priority), request.team])
                context.held.release(request)
                break
    assert found == parse_held(text), found


@when(
    "{excess:d} ms too much is ahead of a request with an objective of"
    " {objective:d} ms"
)
def step_excess(context, excess, objective):
    context.control = rooms.RoomControl(rooms.RoomSettings(), random.Random(1))
    context.objective_ms = float(objective)
    context.excess_ms = float(excess)
    decide(context, 0.0)


def decide(context, held_ms):
    applicant = rooms.Applicant(
        2, "a", 1.0, 1_000.0, context.objective_ms, 9_000.0, held_ms
    )
    fraction = rooms.RoomSettings().queue_limit.sustained_queue_fraction
    limit_ms = fraction * context.objective_ms
    context.decision = context.control.decide(
        applicant, limit_ms + context.excess_ms, 1_000.0 + held_ms
    )


@when("it has been held for {held:d} ms")
def step_has_been_held(context, held):
    decide(context, float(held))


@then("it is held")
def step_is_held(context):
    assert context.decision.verdict is rooms.Verdict.HOLD, context.decision


@then("it is refused at once")
def step_is_refused(context):
    assert context.decision.verdict is rooms.Verdict.REFUSE, context.decision
    assert context.decision.retry_after_ms > 0
