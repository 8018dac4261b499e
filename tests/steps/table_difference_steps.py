"""Steps for the difference between a route table and its predecessor."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.control import machine
from lycheering.fleet import changes
from lycheering.fleet import view
from lycheering.routes import api as routes
from tests.steps import routes_steps


def team(number, suffix=""):
    return routes.RouteTableTeam(
        f"t{number}", (view.key_digest(f"key{number}{suffix}"),)
    )


def changed_table(current, how):
    table_routes, teams = list(current.routes), list(current.teams)
    services, limits = list(current.services), current.limits
    match how:
        case "with one route more":
            table_routes.append(routes_steps.route("/new/"))
        case "without one route":
            del table_routes[3]
        case "with another timeout on a route":
            table_routes[3] = msgspec.structs.replace(
                table_routes[3], timeout_ms=5.0
            )
        case "without one team":
            del teams[3]
        case "with another key of a team":
            teams[3] = team(3, "new")
        case "with another service":
            services.append(routes.Service("z"))
        case "with other limits":
            limits = routes.CallerLimits(idle_timeout_ms=9.0)
        case "with two teams of one name":
            teams.append(msgspec.structs.replace(team(99), name=teams[0].name))
    return routes.RouteTable(
        current.revision + 1,
        tuple(table_routes),
        tuple(services),
        tuple(teams),
        limits,
    )


def is_same_table(one, other):
    return (
        one.revision == other.revision
        and sorted(one.routes, key=lambda route: route.name)
        == sorted(other.routes, key=lambda route: route.name)
        and {s.name for s in one.services} == {s.name for s in other.services}
        and sorted(one.teams, key=lambda item: item.name)
        == sorted(other.teams, key=lambda item: item.name)
        and one.limits == other.limits
    )


@given(
    "a control state machine with a table of {count:d} routes and"
    " {team_count:d} teams"
)
def step_machine(context, count, team_count):
    context.machine = machine.ControlMachine()
    context.index = 0
    table = routes_steps.table(
        1,
        *(routes_steps.route(f"/r{n}/") for n in range(count)),
        teams=tuple(team(n) for n in range(team_count)),
    )
    routes_steps.put(context, table, b"")
    context.peer = view.FleetView()
    context.peer.apply_changes(context.machine.fleet.changes_since(0))


@when("a table {how} is submitted")
def step_put(context, how):
    context.new_table = changed_table(context.machine.fleet.route_table, how)
    routes_steps.put(context, context.new_table, b"")
    since = context.peer.view_revision
    context.sent_changes = context.machine.fleet.changes_since(since)


@then("the change sent is smaller than a tenth of the table")
def step_short(context):
    size = len(msgspec.msgpack.encode(context.sent_changes))
    assert size < len(msgspec.msgpack.encode(context.new_table)) / 10, size


@then("a peer that applies it has the table in force")
def step_applied(context):
    context.peer.apply_changes(context.sent_changes)
    assert is_same_table(context.peer.route_table, context.new_table)
    assert is_same_table(context.machine.fleet.route_table, context.new_table)


@then("the whole table is sent")
def step_whole(context):
    (sent,) = context.sent_changes
    assert isinstance(sent.change, changes.RouteTablePut)
