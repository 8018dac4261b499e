"""Steps for the fair queue."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.limits import cost
from lycheering.limits import queue


def waiting(team, work_ms, priority, now_ms=0.0, share=1.0):
    work = cost.Cost(0.0, work_ms)
    return queue.Waiting(team, share, priority, work, now_ms, 1e9, None)


def put(fair, item):
    fair.rank(item)
    fair.add(item)


@given("an empty fair queue")
def step_empty(context):
    context.fair = queue.FairQueue()
    context.now_ms = 0.0


@when(
    'team "{team}" queues {count:d} requests of {work:d} ms at priority'
    " {priority:d}"
)
def step_queue(context, team, count, work, priority, share=1.0):
    for _ in range(count):
        item = waiting(team, work, priority, context.now_ms, share)
        put(context.fair, item)


@when(
    'team "{team}" with share {share:d} queues {count:d} requests of {work:d}'
    " ms at priority {priority:d}"
)
def step_queue_share(context, team, share, count, work, priority):
    step_queue(context, team, count, work, priority, share)


@when("{duration:d} ms pass in the queue")
def step_pass(context, duration):
    context.now_ms += duration


@when("{count:d} requests are served")
def step_serve(context, count):
    for _ in range(count):
        context.fair.pop(context.now_ms)


@then('the first {count:d} requests served hold {wanted:d} of team "{team}"')
def step_first(context, count, wanted, team):
    teams = [context.fair.pop(context.now_ms).team for _ in range(count)]
    assert abs(teams.count(team) - wanted) <= (1 if wanted < count else 0), (
        teams
    )


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
        fair = queue.FairQueue()
        kept = []
        for team, work, priority, removed in mix:
            item = waiting(team, work, priority)
            put(fair, item)
            if removed:
                assert fair.remove(item)
                assert not fair.remove(item)
            else:
                kept.append(item)
        assert len(fair) == len(kept)
        served = [fair.pop(0.0) for _ in range(len(fair))]
        assert set(map(id, served)) == set(map(id, kept))
        assert fair.active_teams() == 0

    check()


@when("{count:d} teams queue and are served one after another")
def step_many_teams(context, count):
    for number in range(count):
        put(context.fair, waiting(f"team-{number}", 10, 10))
        context.fair.pop(0.0)


@then("the queue remembers at most {count:d} teams")
def step_remembers(context, count):
    levels = context.fair._level_by_priority.values()
    assert sum(len(lv._finish_tag_by_team) for lv in levels) <= count
