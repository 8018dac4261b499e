"""Steps for crowds of clients that misbehave."""

from __future__ import annotations

import contextlib
import tempfile

from behave import given
from behave import then
from behave import when

from tests.soak import direct_fleet
from tests.support import crowds
from tests.support import processes

ENTRY = "entry-0"
CONTROL = "control-0"
# of each door: whose it is, its port, and what is asked there
DOOR_BY_NAME = {
    "callers' door": (
        ENTRY,
        direct_fleet.CALLER_PORT,
        (b"POST /safe/x", crowds.ID_FIELD, crowds.KEY_FIELD),
    ),
    "callers' door without a key": (
        ENTRY,
        direct_fleet.CALLER_PORT,
        (b"POST /safe/x", crowds.ID_FIELD),
    ),
    "callers' door without a route": (
        ENTRY,
        direct_fleet.CALLER_PORT,
        (b"POST /none/x", crowds.ID_FIELD, crowds.KEY_FIELD),
    ),
    "ready door": (
        ENTRY,
        direct_fleet.READY_PORT,
        (b"POST /health/ready",),
    ),
    "operators' door": (
        CONTROL,
        direct_fleet.OPERATOR_PORT + 1,
        (b"PUT /v1/routes",),
    ),
    "control door": (
        CONTROL,
        direct_fleet.OPERATOR_PORT,
        (b"POST /v1/defaults",),
    ),
    "inner door": (CONTROL, direct_fleet.WIRE_PORT, (b"",)),
    "metrics door": (
        CONTROL,
        direct_fleet.METRICS_PORT,
        (b"POST /metrics",),
    ),
}


@given("a fleet whose limits are lowered for crowds")
def step_fleet(context):
    context.fleet = context.stack.enter_context(
        direct_fleet.running(
            controls=1,
            entries=1,
            targets=1,
            tolerated_members=0,
            limit_by_name={"max_body_bytes": crowds.MAX_BODY_BYTES},
            more_sections=crowds.lowered_settings(),
        )
    )
    wait_served(context)
    context.usage_by_name = {
        name: crowds.Usage(context.fleet.process(name))
        for name in (ENTRY, CONTROL)
    }


def wait_served(context):
    """Waits for the answers to one ordinary request at each process."""
    fleet = context.fleet

    def served():
        answer = processes.call(
            direct_fleet.CALLER_PORT,
            "POST",
            "/safe/x",
            "question",
            {
                "Host": direct_fleet.HOST_NAME,
                "X-Attempt-Id": "ordinary",
                "Authorization": f"Bearer {direct_fleet.KEY}",
            },
            host=fleet.ip_by_name[ENTRY],
        )
        return answer.status == 200 and fleet.is_ready(ENTRY)

    processes.wait_for(served, "an ordinary request to be served")
    processes.wait_for(
        lambda: fleet.operate(CONTROL, "GET").status == 200,
        "an operator to be answered",
    )


@when('a crowd sends "{form}" to the {door}')
def step_crowd(context, form, door):
    send(context, form, door)


def send(context, form, door):
    name, port, parts = DOOR_BY_NAME[door]
    pieces_by_form = crowds.PIECES_BY_FORM | crowds.INNER_PIECES_BY_FORM
    count = (
        crowds.MANY_CONNECTIONS if form in crowds.FEW_BYTES else crowds.CROWD
    )
    crowd = crowds.Crowd(
        (context.fleet.ip_by_name[name], port),
        pieces_by_form[form](*parts),
        count,
    )
    with contextlib.closing(crowd):
        crowd.wait_sent()
        context.usage_by_name[name].sample()
        if context.fleet.process(name).running:
            wait_served(context)


@when("crowds of all forms come to the callers' door one after the other")
def step_all_forms(context):
    for form in crowds.PIECES_BY_FORM:
        send(context, form, "callers' door")


@then("no process has ended or exceeded its bounds")
def step_bounds(context):
    findings = {
        name: usage.findings() for name, usage in context.usage_by_name.items()
    }
    assert not any(findings.values()), findings


@then("ordinary requests are answered")
def step_served(context):
    wait_served(context)


@given("an entry of the agents' way whose limits are lowered for crowds")
def step_agents_way(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    group = context.stack.enter_context(processes.ProcessGroup(folder))
    context.port = processes.PORTS.take()
    # it refuses what callers ask, as no control instance answers it
    control = f"c1@{processes.HOST}:{processes.PORTS.take()}"
    sections = {
        "instance": {"name": "e1", "failure_domain": "d1"},
        "control": {"members": control},
        "entry": {"http_port": context.port},
    } | crowds.lowered_settings()
    lines = []
    for section, options in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in options.items()]
    path = group.folder / "e1.ini"
    path.write_text("\n".join(lines) + "\n")
    process = group.prepare("e1", "-m", "lycheering", "entry", str(path))
    process.start()
    wait_live(context)
    context.usage = crowds.Usage(process)


def wait_live(context):
    processes.wait_for(
        lambda: (
            processes.call(context.port, "GET", "/health/live").status == 200
        ),
        "the entry to say that it lives",
    )


@when('a crowd sends "{form}" to its path "{path}"')
def step_path_crowd(context, form, path):
    line = b"POST " + path.encode()
    count = (
        crowds.MANY_CONNECTIONS if form in crowds.FEW_BYTES else crowds.CROWD
    )
    crowd = crowds.Crowd(
        (processes.HOST, context.port),
        crowds.PIECES_BY_FORM[form](line, crowds.KEY_FIELD),
        count,
    )
    with contextlib.closing(crowd):
        crowd.wait_sent()
        context.usage.sample()
        wait_live(context)


@then("it says that it lives, and has not exceeded its bounds")
def step_agents_way_bounds(context):
    wait_live(context)
    assert not context.usage.findings(), context.usage.findings()
