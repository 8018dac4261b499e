"""Steps for allowances of teams that simulated entries share."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.limits import allowance_terms
from tests.helpers import allowed_fleet

TOKEN_RULE = allowance_terms.AllowanceRule(8.0, 0.1, 140_000.0)
REQUEST_RULE = allowance_terms.AllowanceRule(8.0, 0.1, 20.0)
# the bucket of a leader is full after this
START_MS = 6_000.0
LARGE_TOKENS = 20_000


def fleet(entries, teams, per_s, rule, *, lumps):
    weights = [1 / (1 + rank) ** 1.2 for rank in range(teams)]
    usual = {
        f"t{rank}": per_s * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }
    return allowed_fleet.AllowedFleet(entries, usual, rule, lumps=lumps)


@given(
    "{entries:d} entries and {teams:d} teams that send {per_s:d} tokens a"
    " second"
)
def step_tokens(context, entries, teams, per_s):
    context.fleet = fleet(entries, teams, per_s, TOKEN_RULE, lumps=True)
    context.from_ms = START_MS


@given(
    "{entries:d} entries and {teams:d} teams that send {per_s:d} requests a"
    " second"
)
def step_requests(context, entries, teams, per_s):
    context.fleet = fleet(entries, teams, per_s, REQUEST_RULE, lumps=False)
    context.from_ms = START_MS


@when("nobody sends anything for {duration_s:d} s")
def step_quiet(context, duration_s):
    replay = context.fleet
    factors = replay.factor_by_team
    replay.factor_by_team = dict.fromkeys(factors, 1e-9)
    replay.run(duration_s * 1_000)
    replay.factor_by_team = factors
    context.from_ms = replay.now_ms


@when("they send for {duration_s:d} s")
def step_send(context, duration_s):
    context.fleet.run(duration_s * 1_000)


@when("the largest team sends {times:g} times as much for {duration_s:d} s")
def step_hot(context, times, duration_s):
    context.from_ms = context.fleet.now_ms
    context.fleet.factor_by_team["t0"] = times
    context.fleet.run(duration_s * 1_000)


@when("all teams send {times:d} times as much")
def step_all_hot(context, times):
    factors = context.fleet.factor_by_team
    context.fleet.factor_by_team = dict.fromkeys(factors, float(times))
    context.from_ms = context.fleet.now_ms


@when("another leader begins empty")
def step_leader(context):
    context.fleet.hub = None
    context.fleet.run(1_200)
    context.fleet.new_leader()


@when("five leaders follow one another")
def step_leaders(context):
    for _ in range(5):
        context.fleet.hub = None
        context.fleet.run(800)
        context.fleet.new_leader()
        context.fleet.run(700)


@when("all entries restart at once")
def step_restart(context):
    context.fleet.restart(range(len(context.fleet.entries)))


@when("a third of the entries freeze for {duration_s:d} s")
def step_freeze(context, duration_s):
    until_ms = context.fleet.now_ms + duration_s * 1_000
    for entry in context.fleet.entries[::3]:
        entry.frozen_until_ms = until_ms


@when("half of the entries are cut off")
def step_cut(context):
    for entry in context.fleet.entries[::2]:
        entry.reaches_leader = False


@when("no leader is left")
def step_lost(context):
    context.fleet.hub = None


@when("as many entries join")
def step_join(context):
    context.fleet.add_entries(len(context.fleet.entries))


@when("all limits are multiplied by {ratio:g}")
def step_limits(context, ratio):
    replay = context.fleet
    for name, team in list(replay.team_by_name.items()):
        replay.set_limit(name, team.rate_per_s * ratio)
        if ratio < 1:
            replay.bound_from_ms[name] = replay.now_ms


def assert_bounds(replay):
    for name in replay.usual_by_team:
        excess = replay.largest_excess(name)
        assert excess <= 0, (name, excess)


@then("no window of any team holds more than its bound")
@then("no window of any team holds more than its bound after one window")
def step_bound(context):
    assert_bounds(context.fleet)


def parts_of_ideal(context):
    """Returns what passed of what one bucket would let pass, in all.

    What passes beyond that counts for nothing, so that no team makes up for
    another.

    Returns:
        The part of all teams together, and the part of each team.
    """
    replay = context.fleet
    ideals, parts, counted = 0, {}, 0
    for name in replay.usual_by_team:
        ideal = replay.ideal(name, context.from_ms)
        passed = replay.passed_since(name, context.from_ms)
        parts[name] = round(passed / max(1, ideal), 3)
        ideals += ideal
        counted += min(ideal, passed)
    return counted / ideals, parts


@then("at least {part:g} of what one bucket would let pass has passed")
def step_passed(context, part):
    total, parts = parts_of_ideal(context)
    print("passed of ideal", round(total, 3), parts)
    assert total >= part, (total, parts)


@then("no team got less than {part:g} of that")
def step_no_team(context, part):
    _, parts = parts_of_ideal(context)
    assert min(parts.values()) >= part, parts


@then("large requests pass at least half as often as all")
def step_sizes(context):
    replay = context.fleet
    served = replay.served_part("t0", context.from_ms)
    large = replay.served_part("t0", context.from_ms, LARGE_TOKENS)
    print("served", served, "large", large)
    assert large >= served / 2, (large, served)


@then("there were at most {ratio:d} exchanges for each request")
def step_messages(context, ratio):
    replay = context.fleet
    requests = sum(len(items) for items in replay.offered.values())
    print("exchanges", replay.messages, "requests", requests)
    assert replay.messages <= ratio * requests, (replay.messages, requests)
