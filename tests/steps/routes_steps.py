"""Steps for route tables and the replicated state that contains them."""

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


def table(revision, *table_routes, teams=()):
    return routes.RouteTable(
        revision, table_routes or (route("/a/"),), (routes.Service("s"),), teams
    )


def put(context, route_table, source):
    command = commands.encode(commands.PutRouteTable(route_table, source))
    context.index += 1
    reply = context.machine.apply(context.index, command)
    context.reply = commands.decode_reply(reply)


def apply(context, command):
    context.index += 1
    reply = context.machine.apply(context.index, commands.encode(command))
    return commands.decode_reply(reply)


@given('a route table with the prefixes "{one}", "{two}" and "{three}"')
def step_prefixes(context, one, two, three):
    route_table = table(1, route(one), route(two), route(three))
    context.route_index = routes.RouteIndex(route_table)


@when('the route of host "{host}" and path "{path}" is looked up')
def step_look_up(context, host, path):
    context.found = context.route_index.find_route(host, path)


@then('the route\'s prefix is "{prefix}"')
def step_prefix(context, prefix):
    found = context.found.path_prefix if context.found else "none"
    assert found == prefix, found


@given(
    "a route table with an unknown service, a duplicate prefix, no weight, no"
    " timeout and a shared key"
)
def step_errors(context):
    digest = view.key_digest("k")
    context.route_table = table(
        1,
        route("/a/", service="unknown"),
        route("/a/"),
        route("/b/", weight=0),
        route("/c/", timeout_ms=0.0),
        teams=(
            routes.RouteTableTeam("one", (digest,)),
            routes.RouteTableTeam("two", (digest,)),
        ),
    )


@then("the table has {count:d} findings")
def step_findings(context, count):
    findings = routes.check_table(context.route_table)
    assert len(findings) == count, findings


@given("a control state machine without a route table")
def step_machine(context):
    context.machine = machine.ControlMachine()
    context.index = 0


@when("the route tables with revisions {revisions} are submitted")
def step_put(context, revisions):
    for text in revisions.split(","):
        put(context, table(int(text)), b"source %d" % int(text))


@then("the table in force has revision {revision:d}")
def step_in_force(context, revision):
    assert context.machine.fleet.route_table.revision == revision


@then("the source returned is that of revision {revision:d}")
def step_source(context, revision):
    assert context.machine.route_table_source == b"source %d" % revision


@when(
    "a table of revision 4 and then a different one of revision 4 are submitted"
)
def step_same_revision(context):
    put(context, table(4, route("/first/")), b"first")
    put(context, table(4, route("/second/")), b"second")


@then("the first of the two is in force and its source is returned")
def step_first(context):
    current = context.machine.fleet.route_table
    assert current.routes[0].path_prefix == "/first/"
    assert context.machine.route_table_source == b"first"
    assert context.reply == commands.Applied(False)


@when("an invalid table of revision {revision:d} is submitted")
def step_invalid(context, revision):
    put(context, table(revision, route("/a/", service="unknown")), b"bad")


@then("the command was refused")
def step_refused(context):
    assert isinstance(context.reply, commands.Refused), context.reply


@when("the weights versions {versions} of a model are announced")
def step_weights(context, versions):
    for text in versions.split(","):
        apply(context, commands.NameWeights(MODEL, int(text)))


@then("the weights version in force is {version:d}")
def step_version(context, version):
    assert context.machine.fleet.requested_version_by_model == {MODEL: version}


@when("a direct target is added")
def step_direct_target(context):
    target = records.DirectTarget("t", "s", "127.0.0.1", 1, "d", 4)
    apply(context, commands.ChangeDirectTargets((target,)))


@when('"{one}" and then "{two}" take over direct orders')
def step_direct_orders(context, one, two):
    context.take_over_replies = [
        apply(context, commands.TakeDirectOrders(name)) for name in (one, two)
    ]


@then("a state machine restored from its snapshot is equal")
def step_restored(context):
    restored = machine.ControlMachine()
    restored.restore(context.machine.snapshot())
    assert restored.snapshot() == context.machine.snapshot()
    assert restored.fleet.route_table == context.machine.fleet.route_table


@then("the second holder of direct orders has a higher fencing number")
def step_fences(context):
    first, second = context.take_over_replies
    assert second.fence > first.fence
    assert second.previous_holder == "a"
