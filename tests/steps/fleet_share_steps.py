"""Steps for teams' fair shares of the fleet."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.limits import fleet_share
from lycheering.wire import messages


@given("an entry that tracks fair shares")
def step_entry(context):
    context.clock = clock.ManualClock(1_000)
    context.shares = fleet_share.FleetShares(context.clock)
    context.fleet_utilization = 0.0


@given('requests of team "{team}" keep slots busy for {spent:d} ms')
def step_spent(context, team, spent):
    context.shares.record_work(team, spent)


def record_request(context, team):
    return context.shares.record_request(
        team, 1.0, lambda: context.fleet_utilization
    )


@when(
    'team "{team}" sends {count:d} requests and teams "{others}" {fewer:d} each'
    " in {duration:d} ms"
)
def step_send(context, team, count, others, fewer, duration):
    for number in range(count):
        record_request(context, team)
        if number % (count // fewer) == 0:
            for other in others.split():
                record_request(context, other)
        context.clock.advance(duration / count)


@when("targets report a utilization of {utilization:f}")
def step_fleet_utilization(context, utilization):
    context.fleet_utilization = utilization


@then('team "{team}" demands at least {ratio:f} times its fair share')
def step_at_least(context, team, ratio):
    assert record_request(context, team) >= ratio


@then('team "{team}" demands at most {ratio:f} times its fair share')
def step_at_most(context, team, ratio):
    assert record_request(context, team) <= ratio


@when("requests of {count:d} teams were answered")
def step_many(context, count):
    for number in range(count):
        context.shares.record_work(f"team-{number}", 100.0)


@then("the work of at most {count:d} teams is stored")
def step_stored_work(context, count):
    assert len(context.shares._work_ms_by_team) <= count


@given("agents that tell that {use:f} of their targets is asked for")
def step_agents_report(context, use):
    for agent in context.fleet.engines:
        agent.load = messages.LoadReport(piece_ms=10.0, use=use)


def sent_ratios(context):
    submits = [s for a in context.fleet.engines for s in a.submits]
    return [submit.share_use for submit in submits]


@then("the entry stated that the team is over its fair share")
def step_sent_over_share(context):
    assert max(sent_ratios(context)) > 1.0, sent_ratios(context)


@then("the entry stated that the team is within its fair share")
def step_sent_within_share(context):
    assert not any(sent_ratios(context)), sent_ratios(context)


@then("the reported utilization of the target is {utilization:f}")
def step_reported_utilization(context, utilization):
    assert context.requests.target_admission.utilization() == utilization
