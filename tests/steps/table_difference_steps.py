"""Steps for what a route table changes in the one before it."""

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
    return routes.KeyedTeam(
        f"t{number}", (view.key_digest(f"key{number}{suffix}"),)
    )


def changed_table(held, how):
    found, teams = list(held.routes), list(held.teams)
    services, limits = list(held.services), held.limits
    match how:
        case "with one route more":
            found.append(routes_steps.route("/new/"))
        case "without one route":
            del found[3]
        case "with another timeout on a route":
            found[3] = msgspec.structs.replace(found[3], timeout_ms=5.0)
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
        held.revision + 1, tuple(found), tuple(services), tuple(teams), limits
    )


def same(one, other):
    return (
        one.revision == other.revision
        and sorted(one.routes, key=lambda r: r.name)
        == sorted(other.routes, key=lambda r: r.name)
        and {s.name for s in one.services} == {s.name for s in other.services}
        and sorted(one.teams, key=lambda t: t.name)
        == sorted(other.teams, key=lambda t: t.name)
        and one.limits == other.limits
    )


@given("a control machine with a table of {count:d} routes and {teams:d} teams")
def step_machine(context, count, teams):
    context.machine = machine.ControlMachine()
    context.index = 0
    table = routes_steps.table(
        1,
        *(routes_steps.route(f"/r{n}/") for n in range(count)),
        teams=tuple(team(n) for n in range(teams)),
    )
    routes_steps.put(context, table, b"")
    context.peer = view.FleetView()
    context.peer.apply_all(context.machine.fleet.changes_since(0))


@when("a table {how} is put")
def step_put(context, how):
    context.new_table = changed_table(context.machine.fleet.route_table, how)
    routes_steps.put(context, context.new_table, b"")
    since = context.peer.view_revision
    context.told = context.machine.fleet.changes_since(since)


@then("the change told is shorter than a tenth of the table")
def step_short(context):
    told = len(msgspec.msgpack.encode(context.told))
    assert told < len(msgspec.msgpack.encode(context.new_table)) / 10, told


@then("a peer that applies it has the table in force")
def step_applied(context):
    context.peer.apply_all(context.told)
    assert same(context.peer.route_table, context.new_table)
    assert same(context.machine.fleet.route_table, context.new_table)


@then("the whole table is told")
def step_whole(context):
    (told,) = context.told
    assert isinstance(told.change, changes.RouteTablePut)
