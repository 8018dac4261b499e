"""Steps for route tables and their place in the replicated state."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.control import commands
from lycheering.control import machine
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.routes import api as routes

HOST = "one.test"
MODEL = "m"


def route(prefix, service="s", timeout_ms=1000.0, weight=1, host=HOST):
    return routes.Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind=routes.RouteKind.IDEMPOTENT,
        timeout_ms=timeout_ms,
        objective_ms=100.0,
        priority=0,
        shares=(routes.ServiceShare(service, weight),),
    )


def table(revision, *found, teams=()):
    return routes.RouteTable(
        revision, found or (route("/a/"),), (routes.Service("s"),), teams
    )


def put(context, made, source):
    command = commands.encode(commands.PutRouteTable(made, source))
    context.index += 1
    reply = context.machine.apply(context.index, command)
    context.reply = commands.decode_reply(reply)


def apply(context, command):
    context.index += 1
    reply = context.machine.apply(context.index, commands.encode(command))
    return commands.decode_reply(reply)


@given('a route table with the prefixes "{one}", "{two}" and "{three}"')
def step_prefixes(context, one, two, three):
    made = table(1, route(one), route(two), route(three))
    context.route_index = routes.RouteIndex(made)


@when('the route of host "{host}" and path "{path}" is looked up')
def step_look_up(context, host, path):
    context.found = context.route_index.route_of(host, path)


@then('the route\'s prefix is "{prefix}"')
def step_prefix(context, prefix):
    found = context.found.path_prefix if context.found else "none"
    assert found == prefix, found


@given(
    "a route table with a wrong service, a doubled place, no weight, no"
    " timeout and a shared key"
)
def step_wrong(context):
    digest = view.key_digest("k")
    context.route_table = table(
        1,
        route("/a/", service="unknown"),
        route("/a/"),
        route("/b/", weight=0),
        route("/c/", timeout_ms=0.0),
        teams=(
            routes.KeyedTeam("one", (digest,)),
            routes.KeyedTeam("two", (digest,)),
        ),
    )


@then("the table has {count:d} findings")
def step_findings(context, count):
    found = routes.findings_of(context.route_table)
    assert len(found) == count, found


@given("a control machine")
def step_machine(context):
    context.machine = machine.ControlMachine()
    context.index = 0


@when("the route tables with revisions {revisions} are put")
def step_put(context, revisions):
    for text in revisions.split(","):
        put(context, table(int(text)), b"source %d" % int(text))


@then("the table in force has revision {revision:d}")
def step_in_force(context, revision):
    assert context.machine.fleet.route_table.revision == revision


@then("the source read back is that of revision {revision:d}")
def step_source(context, revision):
    assert context.machine.table_source == b"source %d" % revision


@when("a table of revision 4 and then another of revision 4 are put")
def step_two(context):
    put(context, table(4, route("/first/")), b"first")
    put(context, table(4, route("/second/")), b"second")


@then("the first of the two is in force and read back")
def step_first(context):
    held = context.machine.fleet.route_table
    assert held.routes[0].path_prefix == "/first/"
    assert context.machine.table_source == b"first"
    assert context.reply == commands.Applied(False)


@when("an invalid table of revision {revision:d} is put")
def step_invalid(context, revision):
    put(context, table(revision, route("/a/", service="unknown")), b"bad")


@then("the command was refused")
def step_refused(context):
    assert isinstance(context.reply, commands.Refused), context.reply


@when("the weights {versions} of a model are named")
def step_weights(context, versions):
    for text in versions.split(","):
        apply(context, commands.NameWeights(MODEL, int(text)))


@then("the weights wanted are {version:d}")
def step_wanted(context, version):
    assert context.machine.fleet.version_by_model == {MODEL: version}


@when("a direct target is listed")
def step_listed(context):
    target = records.DirectTarget("t", "s", "127.0.0.1", 1, "d", 4)
    apply(context, commands.ChangeDirectTargets((target,)))


@when('direct orders are taken by "{one}" and then by "{two}"')
def step_orders(context, one, two):
    context.taken = [
        apply(context, commands.TakeDirectOrders(name)) for name in (one, two)
    ]


@then("a machine restored from its snapshot is equal")
def step_restored(context):
    restored = machine.ControlMachine()
    restored.restore(context.machine.snapshot())
    assert restored.snapshot() == context.machine.snapshot()
    assert restored.fleet.route_table == context.machine.fleet.route_table


@then("each holder of direct orders had a higher fencing number")
def step_fences(context):
    first, second = context.taken
    assert second.fence > first.fence
    assert second.previous_holder == "a"
