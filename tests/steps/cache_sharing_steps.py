"""Steps for the cache scopes of teams that share and of isolated ones."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when

from lycheering.control import commands
from lycheering.control import machine
from lycheering.fleet import changes
from lycheering.fleet import view
from lycheering.routes import api as routes
from tests.helpers import direct_entry
from tests.steps import forward_steps
from tests.steps import routes_steps


def read_table(revision, text):
    """Returns a table with the teams that a text names."""
    teams = []
    for word in text.replace("-", "").split():
        name, _, key_of = word.partition("=")
        own = name.rstrip("*!")
        keys = {own, key_of} - {""} - ({own} if name.endswith("!") else set())
        digests = tuple(map(view.key_digest, sorted(keys)))
        teams.append(
            routes.RouteTableTeam(own, digests, is_isolated=name[-1] == "*")
        )
    return routes_steps.table(revision, teams=tuple(teams))


def put_tables(context, texts, generation):
    for text in texts.split(" / "):
        context.revision = getattr(context, "revision", 0) + 1
        if generation is not None and context.machine.fleet.route_table:
            generation = context.machine.fleet.route_table.cache_generation
        command = commands.PutRouteTable(
            read_table(context.revision, text),
            b"",
            -1 if generation is None else generation,
        )
        reply = routes_steps.apply(context, command)
        assert reply == commands.Applied(True), reply


@when("the tables {texts} take effect in turn")
def step_put(context, texts):
    put_tables(context, texts, 0)


@when("the tables {texts} take effect by commands of an earlier release")
def step_put_earlier(context, texts):
    put_tables(context, texts, None)


@when("{count:d} teams are removed at once")
def step_remove_many(context, count):
    names = " ".join(f"t{number}" for number in range(count))
    put_tables(context, f"{names} / -", 0)


def generation_of(fleet):
    return fleet.route_table.cache_generation


@then("the cache generation in force is {generation:d}")
def step_generation(context, generation):
    found = generation_of(context.machine.fleet)
    assert found == generation, found


@then("a peer that applies the changes has the same generation")
def step_peer(context):
    fleet = context.machine.fleet
    peer = view.FleetView()
    peer.apply_changes(fleet.changes_since(0))
    assert generation_of(peer) == generation_of(fleet)
    other = view.FleetView()
    other.restore(fleet.snapshot())
    assert generation_of(other) == generation_of(fleet)


@then("a state machine restored from its snapshot keeps it with the next table")
def step_restored(context):
    restored = machine.ControlMachine()
    restored.restore(context.machine.snapshot())
    for state in (context.machine, restored):
        context.machine = state
        context.revision = 100
        put_tables(context, "a* c", 0)
        context.snapshots = [*getattr(context, "snapshots", []), state]
    first, second = context.snapshots
    assert first.sharing == second.sharing
    assert generation_of(first.fleet) == generation_of(second.fleet)


@when("a table of an earlier release reaches a peer")
def step_earlier_table(context):
    context.peer = view.FleetView()
    context.peer.restore(context.machine.fleet.snapshot())
    table = read_table(context.revision + 1, "a* b")
    context.peer.add_change(changes.RouteTablePut(table), by_operator=True)


@then("the peer stays at cache generation {generation:d}")
def step_peer_stays(context, generation):
    assert generation_of(context.peer) == generation


@when("its team becomes isolated while a stream waits for its second target")
def step_isolated_meanwhile(context):
    for target in context.targets:
        target.gap_s = 0.1

    async def change_and_ask(entry):
        async def isolate():
            while not any(target.received for target in context.targets):
                await forward_steps.asyncio.sleep(0.01)
            entry.team_options = {"is_isolated": True}
            entry.put_table(revision=2)

        change = forward_steps.asyncio.create_task(isolate())
        data = direct_entry.request(
            "resumable stream", X_Model="m", X_Prefix_Hash="p:500,q:100"
        )
        await direct_entry.ask(entry, data)
        await change

    forward_steps.run(context, change_and_ask)
    context.scopes = sorted(
        item.value_by_header["x-cache-salt"]
        for target in context.targets
        for item in target.received
    )


@then("the cache scopes of its runs are {scopes}")
def step_scopes(context, scopes):
    assert context.scopes == scopes.split(" and "), context.scopes


@given("the team has the name {name} and {isolation}")
def step_team_name(context, name, isolation):
    async def put(entry):
        entry.team = json.loads(name)
        entry.team_options = {"is_isolated": isolation == "is isolated"}
        entry.put_table(revision=2)

    forward_steps.add_preparation(context, put)


@when("a prompt of the team is forwarded")
def step_prompt(context):
    data = direct_entry.request(
        "idempotent", X_Model="m", X_Prefix_Hash="p:500,q:100"
    )
    context.answer = forward_steps.run(
        context, lambda entry: direct_entry.ask(entry, data)
    )


@then("the target got the team {team} and the cache scope {scope}")
def step_got_team(context, team, scope):
    (got,) = context.targets[0].received
    text = got.value_by_header["x-tenant"]
    # the target reads its headers as Latin-1
    expected = json.loads(team)
    assert text in (expected, expected.encode().decode("latin-1")), ascii(text)
    assert got.value_by_header["x-cache-salt"] == json.loads(scope)
