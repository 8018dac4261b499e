"""Steps for the check of a configuration before it is sent."""

from __future__ import annotations

import contextlib
import copy
import http.server
import io
import json
import pathlib
import tempfile
import threading

from behave import given
from behave import then
from behave import when

from lycheering.commands import root
from lycheering.config_check import fleet_options
from lycheering.config_check import route_tables
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import scopes
from lycheering.operator import seed as seeds
from lycheering.operator import values
from lycheering.platform import documents

EXAMPLE = "examples/tahanan/fleet.ini"
SOUND = {
    "version": 7,
    "routes": [
        {
            "name": "one",
            "host": "a.test",
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 2000,
            "objective_ms": 200,
            "service": "llm",
            "max_sends": 2,
        },
        {
            "name": "two",
            "host": "a.test",
            "path_prefix": "/b/",
            "kind": "once",
            "timeout_ms": 2000,
            "shares": [
                {"service": "llm", "weight": 3},
                {"service": "plain", "weight": 1},
            ],
        },
    ],
    "services": [
        {"name": "llm", "engine": {"slots": 8, "kv_capacity_tokens": 9}},
        {"name": "plain"},
        {"name": "keep", "kv_store_addr": "127.0.0.1:1"},
    ],
    "teams": [{"name": "a", "keys": ["k"]}],
    "limits": {},
}
FLEET = fleet_options.ActiveFleet(
    {"limits.max_running": 8},
    {
        (records.Scope(options.ScopeKind.TARGET, "t3"), "kv.import"): False,
        # other targets have it, so that the default is an exception again
        (
            records.Scope(options.ScopeKind.MODEL, "m1"),
            "limits.max_queued",
        ): 9,
    },
    {"a": 1},
    (
        fleet_options.Subject("t1", model="m1", failure_domain="d1"),
        fleet_options.Subject("t2", model="m1", failure_domain="d2"),
        fleet_options.Subject("t3", model="m2", failure_domain="d2"),
    ),
)


def read(document):
    return documents.read_table(json.dumps(document).encode())


@given("a route table")
def step_table(context):
    context.document = copy.deepcopy(SOUND)


@given("the table has in {path} the value {value}")
def step_change(context, path, value):
    *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
    part = context.document
    for name in parents:
        part = part[name]
    part[last] = json.loads(value)


@given("the table has no teams")
def step_no_teams(context):
    del context.document["teams"]


@when("the route table is checked")
def step_check(context):
    context.report = route_tables.check(read(context.document))


@when("the route table is checked against the sound one")
def step_check_against(context):
    context.report = route_tables.check(read(context.document), read(SOUND))


@given("a seed that has {entries}")
def step_seed(context, entries):
    changes = []
    scope = None
    for word in entries.split():
        option, is_value, text = word.partition("=")
        if not is_value:
            scope = scopes.parse(word)
            continue
        value = values.parse(option, text)
        change = seeds.SeedDefault(option, value, "why")
        if scope is not None:
            change = seeds.SeedException(scope, option, value, "why")
        changes.append(change)
    context.seed = seeds.Seed("s", "o", tuple(changes))


@when("the seed file is checked against the fleet in force")
def step_check_seed(context):
    context.report = fleet_options.check(context.seed, FLEET)


@then("the check finds nothing")
def step_nothing(context):
    assert not context.report.findings, context.report.findings


@then('the check finds "{finding}"')
def step_finds(context, finding):
    found = [str(item) for item in context.report.findings]
    assert finding in found, found


@then('the differences are "{differences}"')
def step_differences(context, differences):
    found = ", ".join(context.report.differences) or "none"
    assert found == differences, found


def run_command(context, *arguments):
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        context.code = root.run(["check-config", *arguments])
    context.printed = printed.getvalue()


def write_table(context, **changes):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / "table.json"
    path.write_text(json.dumps(copy.deepcopy(SOUND) | changes))
    return str(path)


@when("the command checks a table against a control instance")
def step_command_online(context):
    class Control(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            body = json.dumps(SOUND).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Control)
    context.stack.callback(server.server_close)
    context.stack.callback(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    file = write_table(context, version=8, teams=[])
    run_command(context, file, "--at", f"127.0.0.1:{server.server_port}")


@then("it prints the difference and ends with 0")
def step_printed(context):
    assert "removed team a\n" in context.printed, context.printed
    assert context.code == 0, context.code


@when("the command checks {what}")
def step_command(context, what):
    warned = {"limits": {"header_timeout_ms": 16_000}}
    refused = {"limits": {"idle_timeout_ms": 0}}
    arguments_by_what = {
        "a sound table": lambda: [write_table(context)],
        "a table with a warning": lambda: [write_table(context, **warned)],
        "a table with a warning, strictly": lambda: [
            write_table(context, **warned),
            "--strict",
        ],
        "a table with an error": lambda: [write_table(context, **refused)],
        "a table that is no table": lambda: [write_table(context, routes=1)],
        "the example of a seed": lambda: [EXAMPLE],
        "a file that does not exist": lambda: ["missing.json"],
        "a table, with nobody to ask": lambda: [
            write_table(context),
            "--at",
            "127.0.0.1:1",
        ],
    }
    run_command(context, *arguments_by_what[what]())


@then("it ends with {code:d}")
def step_code(context, code):
    assert context.code == code, (context.code, context.printed)
