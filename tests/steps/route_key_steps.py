"""Steps for tables whose list of teams is there, empty or missing."""

from __future__ import annotations

import json

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.control import commands
from lycheering.control import machine
from lycheering.fleet import changes
from lycheering.fleet import view
from lycheering.platform import documents
from lycheering.routes import records
from tests.helpers import direct_entry
from tests.helpers import platform_document
from tests.steps import forward_steps

EARLIER_FIELDS = 5
KEY_BY_NAME = {"withdrawn": direct_entry.KEY, "unknown": "other", "none": None}


def read(teams, version=2):
    document = {**platform_document.DOCUMENT, "version": version}
    if teams == "empty":
        document["teams"] = []
    elif teams == "missing":
        del document["teams"]
    return documents.read_table(json.dumps(document).encode())


def machine_with(*tables):
    state = machine.ControlMachine()
    for index, table in enumerate(tables, 1):
        command = commands.PutRouteTable(table, b"", 0)
        state.apply(index, commands.encode(command))
    return state


@given("a document whose list of teams is {teams}")
def step_document(context, teams):
    context.route_table = read(teams)


@when("its table is passed on as {form}")
def step_passed_on(context, form):
    table = context.route_table
    encoded = msgspec.msgpack.encode(table)
    match form:
        case "a record":
            found = msgspec.msgpack.decode(encoded, type=records.RouteTable)
        case "a record of an earlier release":
            fields = msgspec.msgpack.decode(encoded)[:EARLIER_FIELDS]
            found = msgspec.convert(fields, records.RouteTable)
        case "a snapshot":
            state = machine.ControlMachine()
            state.restore(machine_with(table).snapshot())
            found = state.fleet.route_table
        case "a view at an entry":
            peer = view.FleetView()
            peer.restore(machine_with(table).fleet.snapshot())
            found = peer.route_table
        case _:
            before = "missing" if form.endswith("missing one") else "there"
            state = machine_with(read(before, 1), table)
            peer = view.FleetView()
            numbered = state.fleet.changes_since(0)
            assert isinstance(numbered[-1].change, changes.RouteTableChanged)
            peer.apply_changes(numbered)
            found = peer.route_table
    context.found = found


@then("requests need a key: {needed}")
def step_needed(context, needed):
    assert context.found.needs_key is (needed == "yes"), context.found


@given("an entry whose list of teams is {teams}")
def step_entry(context, teams):
    async def put(entry):
        entry.needs_key = teams == "empty"
        entry.has_teams = False
        entry.put_table(revision=2)

    forward_steps.add_preparation(context, put)


@when('a request of kind "{kind}" comes with the key {key}')
def step_ask(context, kind, key):
    text = KEY_BY_NAME[key]
    bearer = f"Bearer {text}" if text else None
    data = direct_entry.request(kind, Authorization=bearer)
    context.answer = forward_steps.run(
        context, lambda entry: direct_entry.ask(entry, data)
    )
