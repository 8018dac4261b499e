"""Steps for the operator commands and their client."""

from __future__ import annotations

import contextlib
import hashlib
import io
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering import run
from lycheering.fleet import records
from lycheering.operator import seed
from lycheering.routing import api as routing_api
from lycheering.routing import explanations
from tests.support import scripted_http

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READ_FIELDS = {"current": True, "config_revision": 5, "view_revision": 9}
DEFAULTS_RESPONSE = READ_FIELDS | {
    "defaults": [{"option": "limits.max_running", "value": 8, "is_set": False}]
}
WRITE_RESPONSE = {"change_id": "k", "config_revision": 6, "view_revision": 10}
CONFLICT_ERROR = {
    "code": 409,
    "reason": "conflict",
    "message": "another change won",
    "winner": {"revision": 6, "operator": "ada", "change_id": "w1"},
}


def ok_response(body):
    return scripted_http.Answer(200, body)


def error_response(error):
    return scripted_http.Answer(error["code"], {"error": error})


def run_command(context, arguments):
    out, err = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        contextlib.suppress(SystemExit),
    ):
        context.exit_code = None
        try:
            context.exit_code = int(run.run(arguments))
        except SystemExit as error:
            context.exit_code = error.code
    context.stdout_text, context.stderr_text = out.getvalue(), err.getvalue()


def endpoint_arguments(context):
    arguments = ["--patience-ms", "100"]
    for port in context.port_by_name.values():
        arguments += ["--at", f"{scripted_http.HOST}:{port}"]
    return arguments


def make_temporary_folder(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    return pathlib.Path(folder)


@given('operator endpoints "{one}" and "{other}"')
def step_endpoints(context, one, other):
    context.endpoint_by_name = {}
    context.port_by_name = {}
    for name in (one, other):
        endpoint = context.stack.enter_context(scripted_http.serving())
        endpoint.answer_reads("/v1/defaults", ok_response(DEFAULTS_RESPONSE))
        endpoint.answer_writes("/v1/defaults", ok_response(WRITE_RESPONSE))
        endpoint.answer_writes("/v1/exceptions", ok_response(WRITE_RESPONSE))
        endpoint.answer_reads(
            "/v1/history", ok_response(READ_FIELDS | {"changes": []})
        )
        endpoint.answer_reads(
            "/v1/targets", ok_response(READ_FIELDS | {"targets": []})
        )
        endpoint.answer_writes(
            "/v1/orders/o1/resolve", ok_response({"order": None})
        )
        endpoint.answer_writes("/v1/teams/t1", ok_response(WRITE_RESPONSE))
        context.endpoint_by_name[name] = endpoint
        context.port_by_name[name] = endpoint.port


@given('the operator endpoint "{name}" is down')
def step_down(context, name):
    # nothing listens on port 1 of the loopback interface
    context.port_by_name[name] = 1


@given('the operator endpoint "{name}" drops the responses to "{path}" writes')
def step_drops_write_responses(context, name, path):
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_writes(path, scripted_http.LOST)


@given('the operator endpoint "{name}" stops responding')
def step_stops_responding(context, name):
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_reads("/v1/defaults", scripted_http.SILENT)
    endpoint.answer_writes("/v1/defaults", scripted_http.SILENT)


@given('the operator endpoint "{name}" drops the responses to "{path}"')
def step_drops_responses(context, name, path):
    context.endpoint_by_name[name].answer_writes(path, scripted_http.LOST)


@given('the operator endpoint "{name}" answers "{path}" writes with a conflict')
def step_conflict(context, name, path):
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_writes(path, error_response(CONFLICT_ERROR))


@given('the operator endpoint "{name}" answers "{path}" writes with findings')
def step_findings(context, name, path):
    error = {
        "code": 400,
        "reason": "bad_request",
        "message": "bad",
        "findings": ["first finding", "second finding"],
    }
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_writes(path, error_response(error))


@given("no operator endpoint has a quorum")
def step_no_quorum(context):
    error = {
        "code": 503,
        "reason": "no_quorum",
        "message": "no quorum",
        "retry_after_ms": 700,
    }
    for endpoint in context.endpoint_by_name.values():
        endpoint.answer_writes("/v1/defaults", error_response(error))


@given(
    'the operator endpoint "{name}" answers that "{process}" lacks the revision'
)
def step_lacking(context, name, process):
    body = READ_FIELDS | {
        "in_force": False,
        "lacking": [process],
        "processes": [],
    }
    context.endpoint_by_name[name].answer_reads("/v1/status", ok_response(body))


@given('an operator key file with "{key}"')
def step_key_file(context, key):
    context.key_file = make_temporary_folder(context) / "key"
    context.key_file.write_text(f"{key}\n")


@when('the operator runs "{command}"')
def step_run(context, command):
    run_command(context, [*command.split(), *endpoint_arguments(context)])


@when('the operator runs "{command}" with the key file')
def step_run_with_key(context, command):
    extra = ["--key-file", str(context.key_file)]
    run_command(
        context, [*command.split(), *extra, *endpoint_arguments(context)]
    )


@then("the operator command exits with {code:d}")
def step_exits(context, code):
    output = context.stdout_text + context.stderr_text
    assert context.exit_code == code, (context.exit_code, output)


@then('standard output contains "{text}"')
def step_stdout_contains(context, text):
    assert text in context.stdout_text, context.stdout_text


@then('standard error contains "{text}"')
def step_stderr_contains(context, text):
    assert text in context.stderr_text, context.stderr_text


@then('standard output is JSON with "{member}"')
def step_stdout_is_json(context, member):
    assert member in json.loads(context.stdout_text)


@then("both operator endpoints received the same change")
def step_same_change(context):
    bodies = []
    for endpoint in context.endpoint_by_name.values():
        bodies += [r.body for r in endpoint.requests if r.method == "POST"]
    assert len(bodies) == 2, bodies
    assert bodies[0] == bodies[1]
    assert bodies[0]["change_id"]


@then("both operator endpoints received the same read")
def step_same_read(context):
    found = [
        [(r.method, r.path) for r in endpoint.requests]
        for endpoint in context.endpoint_by_name.values()
    ]
    assert found[0] == found[1] and len(found[0]) == 1, found


@then('the operator endpoint "{name}" received "{path}" once')
def step_received_once(context, name, path):
    assert len(context.endpoint_by_name[name].received(path)) == 1


@then('the operator endpoint "{name}" did not receive "{path}"')
def step_not_received(context, name, path):
    assert not context.endpoint_by_name[name].received(path)


@then("no operator endpoint received anything")
def step_received_nothing(context):
    for endpoint in context.endpoint_by_name.values():
        assert not endpoint.requests, endpoint.requests


@then(
    'the operator endpoint "{name}" received the change "{change_id}"'
    " expecting revision {revision:d}"
)
def step_received_change(context, name, change_id, revision):
    [request] = context.endpoint_by_name[name].requests
    assert request.body["change_id"] == change_id
    assert request.body["expected_revision"] == revision


@then('the operator endpoint "{name}" received the key "{key}"')
def step_received_key(context, name, key):
    [request] = context.endpoint_by_name[name].requests
    assert request.headers["Authorization"] == f"Bearer {key}"
    assert key not in request.path


# seeds


@given(
    "a seed file with {defaults:d} defaults, {exceptions:d} exception"
    " and {teams:d} team"
)
def step_seed(context, defaults, exceptions, teams):
    lines = ["[seed]", "name = s1", "operator = ada", "reason = start"]
    lines.append("[defaults]")
    lines += [f"limits.max_{n} = 4" for n in ("running", "queued")[:defaults]]
    for number in range(exceptions):
        lines += [f"[exception x{number}]", "scope = team:t1"]
        lines += ["option = limits.team_share", "value = 2", "reason = big"]
    for number in range(teams):
        digest = hashlib.sha256(b"key").hexdigest()
        lines += [f"[team t{number + 1}]", f"key_digests = {digest}"]
    context.seed_file = make_temporary_folder(context) / "fleet.ini"
    context.seed_file.write_text("\n".join(lines))


@given("the seed file")
def step_seed_text(context):
    context.seed_file = make_temporary_folder(context) / "fleet.ini"
    context.seed_file.write_text(context.text)


@given('the operator endpoint "{name}" rejects one change as a conflict')
def step_conflict_once(context, name):
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_writes(
        "/v1/defaults",
        error_response(CONFLICT_ERROR),
        ok_response(WRITE_RESPONSE),
    )
    later_history = READ_FIELDS | {"config_revision": 6, "changes": []}
    endpoint.answer_reads(
        "/v1/history",
        ok_response(READ_FIELDS | {"changes": []}),
        ok_response(later_history),
    )


def change_ids(context):
    return [
        request.body["change_id"]
        for endpoint in context.endpoint_by_name.values()
        for request in endpoint.requests
        if request.method != "GET"
    ]


@when("the seed is loaded")
def step_load_seed(context):
    file = str(context.seed_file)
    run_command(context, ["seed", file, *endpoint_arguments(context)])


@when("the seed is loaded again with its changes in the history")
def step_load_seed_again(context):
    other_fields = dict.fromkeys(("operator", "kind", "subject", "reason"), "x")
    changes = [
        other_fields | {"revision": 6, "at_ms": 0, "change_id": change_id}
        for change_id in change_ids(context)
    ]
    for endpoint in context.endpoint_by_name.values():
        endpoint.answer_reads(
            "/v1/history", ok_response(READ_FIELDS | {"changes": changes})
        )
    step_load_seed(context)


@then(
    'the operator endpoint "{name}" received seed changes with {count:d}'
    " different ids"
)
def step_seed_ids(context, name, count):
    ids = change_ids(context)
    assert len(ids) == len(set(ids)) == count, ids
    assert len({change_id.partition("@")[0] for change_id in ids}) == 1, ids


@then("standard error names these lines of the seed file: {lines}")
def step_seed_lines(context, lines):
    found = []
    for line in context.stderr_text.splitlines():
        place = line.partition(f"{context.seed_file}:")[2]
        found.append(place.partition(":")[0])
    assert found == lines.split(", "), context.stderr_text


@when("the example files are checked")
def step_check_examples(context):
    context.example_files = sorted((ROOT / "examples").rglob("*.ini"))
    files = [str(file) for file in context.example_files]
    run_command(context, ["check", *files])


@then("the example files hold {count:d} teams in each deployment")
def step_example_teams(context, count):
    seeds = [f for f in context.example_files if f.name == "fleet.ini"]
    assert len(seeds) == 2
    for file in seeds:
        changes = seed.load(file).changes
        teams = [c for c in changes if isinstance(c, seed.SeedTeam)]
        assert len(teams) == count
        for change in changes:
            assert change.reason.strip(), change


# explanations


@given(
    'the operator endpoint "{name}" explains request "{request}"'
    " with two candidates"
)
def step_explains(context, name, request):
    targets = [
        records.Target(
            n, records.TargetKind.ENGINE, n, "127.0.0.1", 1, "i", "d"
        )
        for n in ("t1", "t2")
    ]
    candidates = (
        routing_api.Candidate(targets[0], 12.5, 3.0, 2, 40.0, "cached"),
        routing_api.Candidate(targets[1], 20.0, 0.0, 5, 40.0, "idle"),
    )
    explanation = explanations.Explanation(
        request, 1, "affinity", "k", 2, "t2", "t1 was full", candidates
    )
    body = json.loads(msgspec.json.encode({"attempts": [explanation]}))
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_reads(f"/v1/explain/{request}", ok_response(body))


@given('the operator endpoint "{name}" does not know request "{request}"')
def step_not_known(context, name, request):
    error = {"code": 404, "reason": "not_found", "message": "not kept"}
    endpoint = context.endpoint_by_name[name]
    endpoint.answer_reads(f"/v1/explain/{request}", error_response(error))


@when('the operator asks the entry "{name}" to explain "{request}"')
def step_explain(context, name, request):
    entry = f"{scripted_http.HOST}:{context.port_by_name[name]}"
    run_command(context, ["explain", request, "--entry", entry])
