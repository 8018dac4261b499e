"""Steps for the fair queue."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.limits import cost_model
from lycheering.limits import queue


def make_request(team, work_ms, priority, now_ms=0.0, weight=1.0):
    work = cost_model.Cost(0.0, work_ms)
    return queue.QueuedRequest(team, weight, priority, work, now_ms, 1e9, None)


def put(fair_queue, item):
    fair_queue.assign_tags(item)
    fair_queue.add(item)


@given("an empty fair queue")
def step_empty(context):
    context.queue = queue.FairQueue()
    context.now_ms = 0.0


@when(
    'team "{team}" queues {count:d} requests of {work:d} ms at priority'
    " {priority:d}"
)
def step_queue(context, team, count, work, priority, weight=1.0):
    for _ in range(count):
        item = make_request(team, work, priority, context.now_ms, weight)
        put(context.queue, item)


@when(
    'team "{team}" with weight {weight:d} queues {count:d} requests of {work:d}'
    " ms at priority {priority:d}"
)
def step_queue_weight(context, team, weight, count, work, priority):
    step_queue(context, team, count, work, priority, weight)


@when("{duration:d} ms pass in the queue")
def step_pass(context, duration):
    context.now_ms += duration


@when("{count:d} requests are served")
def step_serve(context, count):
    for _ in range(count):
        context.queue.pop(context.now_ms)


@then(
    'the next {count:d} served requests include {expected:d} of team "{team}"'
)
def step_first(context, count, expected, team):
    teams = [context.queue.pop(context.now_ms).team for _ in range(count)]
    assert abs(teams.count(team) - expected) <= (
        1 if expected < count else 0
    ), teams


@then("any mix of requests is served exactly once")
def step_mix(context):
    request = strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.integers(1, 500),
        strategies.sampled_from((10, 20, 50)),
        strategies.booleans(),
    )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(request, max_size=60))
    def check(mix):
        fair_queue = queue.FairQueue()
        kept = []
        for team, work, priority, removed in mix:
            item = make_request(team, work, priority)
            put(fair_queue, item)
            if removed:
                assert fair_queue.remove(item)
                assert not fair_queue.remove(item)
            else:
                kept.append(item)
        assert len(fair_queue) == len(kept)
        served = [fair_queue.pop(0.0) for _ in range(len(fair_queue))]
        assert set(map(id, served)) == set(map(id, kept))
        assert fair_queue.waiting_team_count() == 0

    check()


@when("{count:d} teams queue and are served one after another")
def step_many_teams(context, count):
    for number in range(count):
        put(context.queue, make_request(f"team-{number}", 10, 10))
        context.queue.pop(0.0)


@then("the queue stores at most {count:d} teams")
def step_stored_teams(context, count):
    levels = context.queue._level_by_priority.values()
    assert sum(len(lv._finish_tag_by_team) for lv in levels) <= count
