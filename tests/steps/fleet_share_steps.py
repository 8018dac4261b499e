"""Steps for teams' shares of the fleet."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.limits import fleet_share
from lycheering.wire import messages


@given("the requests that one entry sees")
def step_requests(context):
    context.clock = clock.ManualClock(1_000)
    context.shares = fleet_share.FleetShares(context.clock)
    context.fleet_use = 0.0


@given('requests of team "{team}" keep slots busy for {spent:d} ms')
def step_spent(context, team, spent):
    context.shares.record_work(team, spent)


def offer(context, team):
    return context.shares.record_request(team, 1.0, lambda: context.fleet_use)


@when(
    'team "{team}" sends {count:d} requests and teams "{others}" {fewer:d} each'
    " in {duration:d} ms"
)
def step_send(context, team, count, others, fewer, duration):
    for number in range(count):
        offer(context, team)
        if number % (count // fewer) == 0:
            for other in others.split():
                offer(context, other)
        context.clock.advance(duration / count)


@when("targets tell that {use:f} of them is asked for")
def step_fleet_use(context, use):
    context.fleet_use = use


@then('team "{team}" asks for at least {use:f} of its fair share')
def step_at_least(context, team, use):
    assert offer(context, team) >= use


@then('team "{team}" asks for at most {use:f} of its fair share')
def step_at_most(context, team, use):
    assert offer(context, team) <= use


@when("{count:d} teams were answered")
def step_many(context, count):
    for number in range(count):
        context.shares.record_work(f"team-{number}", 100.0)


@then("the work of at most {count:d} teams is remembered")
def step_remembered(context, count):
    assert len(context.shares._work_ms_by_team) <= count


@given("agents that tell that {use:f} of their targets is asked for")
def step_agents_tell(context, use):
    for agent in context.fleet.engines:
        agent.load = messages.LoadReport(piece_ms=10.0, use=use)


def stated_uses(context):
    submits = [s for a in context.fleet.engines for s in a.submits]
    return [submit.share_use for submit in submits]


@then("the entry stated that the team is over its fair share")
def step_stated(context):
    assert max(stated_uses(context)) > 1.0, stated_uses(context)


@then("the entry stated that the team is within its fair share")
def step_not_stated(context):
    assert not any(stated_uses(context)), stated_uses(context)


@then("entries are told that {use:f} of the target is asked for")
def step_told_use(context, use):
    assert context.entered.gate.use() == use
