"""Steps for the fleet view."""

from __future__ import annotations

import asyncio
import random

from behave import given
from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.fleet import holder
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.wire import messages

OPTION = "limits.max_running"
SEED = 11
GIVE_UP_S = 20
SUBJECT = view.Subject("t", "a", "s", "m", "d")
VALUE_BY_KIND = {
    kind.value: 10 + place for place, kind in enumerate(options.ScopeKind)
} | {"default": options.OPTION_BY_NAME[OPTION].default}
KEY = "secret"


def exception(kind, name, value):
    scope = records.Scope(options.ScopeKind(kind), name)
    record = records.ExceptionRecord(
        f"{kind}-{name}", scope, OPTION, value, "why", "ada", 1
    )
    return changes.ExceptionAdded(record)


def many_changes(fleet, count):
    return [
        fleet.make(changes.DefaultSet(OPTION, n + 1), by_operator=n % 2 == 0)
        for n in range(count)
    ]


@given('a fleet view with exceptions of "{scopes}"')
def step_exceptions(context, scopes):
    context.fleet = view.FleetView()
    for kind in scopes.split(","):
        if kind != "none":
            name = getattr(SUBJECT, kind)
            change = exception(kind, name, VALUE_BY_KIND[kind])
            context.fleet.make(change, by_operator=True)


@given("a fleet view with an exception of target other")
def step_other(context):
    context.fleet = view.FleetView()
    change = exception("target", "other", VALUE_BY_KIND["target"])
    context.fleet.make(change, by_operator=True)


@then(
    "the fleet value for target t, team a, service s, model m in d"
    ' is of "{winner}"'
)
def step_value(context, winner):
    assert context.fleet.value(OPTION, SUBJECT) == VALUE_BY_KIND[winner]


@given("two fleet views that get the same changes")
def step_two(context):
    context.fleet, context.other = view.FleetView(), view.FleetView()
    context.numbered = many_changes(context.fleet, 20)
    context.other.apply_all(context.numbered)
    assert context.other.snapshot() == context.fleet.snapshot()


@when("one fleet view gets them once more in pieces of any size")
def step_pieces(context):
    source = random.Random(SEED)
    for _ in range(50):
        start = source.randrange(len(context.numbered))
        length = source.randint(1, len(context.numbered))
        applied = context.other.apply_all(
            context.numbered[start : start + length]
        )
        assert applied == 0


@then("both fleet views are equal")
def step_equal(context):
    assert context.other.snapshot() == context.fleet.snapshot()


@when("one fleet view gets a change that is two ahead")
def step_gap(context):
    context.before = context.other.snapshot()
    ahead = many_changes(context.fleet, 2)[1:]
    try:
        context.other.apply_all(ahead)
        context.gap = None
    except view.ViewGapError as error:
        context.gap = error


@then("it reports a gap and stays as it was")
def step_gap_reported(context):
    assert context.gap is not None
    assert context.other.snapshot() == context.before


@when("one fleet view changes again and is given the other as a whole")
def step_whole(context):
    old = context.other.snapshot()
    many_changes(context.fleet, 1)
    context.before = context.fleet.snapshot()
    assert not context.fleet.restore(old)


@then("it keeps its newer revision and values")
def step_keeps(context):
    assert context.fleet.snapshot() == context.before


@given("a fleet view with an exception and a team with a key")
def step_team(context):
    context.fleet = view.FleetView()
    team = records.Team("a", (view.key_digest(KEY),))
    context.fleet.make(exception("team", "a", 99), by_operator=True)
    context.fleet.make(changes.TeamPut(team), by_operator=True)
    assert context.fleet.value(OPTION, SUBJECT) == 99
    assert context.fleet.team_of_key(KEY) == team


@when("the exception and the team are removed from the fleet view")
def step_remove(context):
    context.fleet.make(changes.ExceptionRemoved("team-a"), by_operator=True)
    context.fleet.make(changes.TeamRemoved("a"), by_operator=True)


@then("the fleet value is the default and the key names nobody")
def step_gone(context):
    assert context.fleet.value(OPTION, SUBJECT) == VALUE_BY_KIND["default"]
    assert context.fleet.team_of_key(KEY) is None


@when("the team gets another key in the fleet view")
def step_other_key(context):
    team = records.Team("a", (view.key_digest("other"),))
    context.fleet.make(changes.TeamPut(team), by_operator=True)


@then("only the other key names the team")
def step_only_other(context):
    assert context.fleet.team_of_key(KEY) is None
    assert context.fleet.team_of_key("other").name == "a"


@given("a fleet view holder")
def step_holder(context):
    context.holder = holder.ViewHolder()
    context.calls = []
    context.holder.listen(lambda: context.calls.append(1))


@when("somebody waits for fleet revision 2 and two changes come")
def step_wait(context):
    numbered = many_changes(view.FleetView(), 2)

    async def wait():
        async with asyncio.timeout(GIVE_UP_S):
            waiter = asyncio.create_task(context.holder.wait_for(2))
            await asyncio.sleep(0)
            for change in numbered:
                assert not waiter.done()
                update = messages.ViewUpdate(numbered=(change,))
                assert context.holder.take(update)
            await waiter
        context.waited = True

    asyncio.run(wait())


@then("the wait for the fleet revision ends")
def step_wait_ends(context):
    assert context.waited


@then("the fleet listeners were called twice")
def step_listeners(context):
    assert context.calls == [1, 1]
