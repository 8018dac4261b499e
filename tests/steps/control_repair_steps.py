"""Steps for replacing a control instance that lost its disk."""

from __future__ import annotations

from behave import then
from behave import when

from tests.steps import control_group_steps
from tests.support import processes


@when('"{name}" loses its disk and is started again')
def step_lose_disk(context, name):
    context.group.lose_disk(name)
    context.group.start(name)
    processes.wait_for(
        lambda: context.group.call(name, "GET", "/health/live").status == 200,
        f"{name} to live",
    )


@when('the operator replaces "{name}" by a new member of the same name')
def step_replace(context, name):
    rows = context.group.call("c2", "GET", "/v1/members").json["members"]
    context.ids_before = {row["instance"]: row["id"] for row in rows}
    body = {
        "old": name,
        "new": name,
        "ip": processes.HOST,
        "port": context.group.wire_port[name],
    }

    def replaced():
        path = "/v1/members/replace"
        answer = context.group.call("c2", "POST", path, body, timeout_s=70)
        return answer if answer.status != 503 else None

    context.answer = processes.wait_for(replaced, "the replacement")
    context.replaced = name


@then("the replacement is reported with a new identity that votes")
def step_replaced(context):
    answer = context.answer.json
    before = context.ids_before[context.replaced]
    assert answer["left"] == before, answer
    rows = context.group.call("c2", "GET", "/v1/members").json["members"]
    row = next(r for r in rows if r["instance"] == context.replaced)
    assert row["id"] == answer["joined"] != before
    assert row["votes"] and len(rows) == 3


@then("the repeated replacement changes nothing")
def step_replaced_again(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.json["left"] == ""
    before = context.ids_before[context.replaced]
    assert context.answer.json["joined"] == before


@then('"{name}" has all {count:d} changes in its history')
def step_has_all(context, name, count):
    path = "/v1/history?limit=1000"
    answer = processes.wait_for(
        lambda: control_group_steps.current(context.group, name, path),
        f"{name} to be current",
    )
    revisions = [row["revision"] for row in reversed(answer["changes"])]
    assert revisions[:count] == list(range(1, count + 1))
