"""Steps for operators' calls that are refused."""

from __future__ import annotations

import http.client

from behave import then


@then('calls with a missing or unknown key are refused as "{reason}"')
def step_unauthorized(context, reason):
    for header in (None, "Bearer nonsense", "Basic x", f"bearer{context.key}"):
        headers = {} if header is None else {"Authorization": header}
        answer = context.group.call(
            "c1", "GET", "/v1/defaults", headers=headers
        )
        assert answer.status == 401, answer
        assert answer.json["error"]["reason"] == reason


@then("calls with the key are answered, and health checks need no key")
def step_authorized(context):
    headers = {"Authorization": f"Bearer {context.key}"}
    answer = context.group.call("c1", "GET", "/v1/defaults", headers=headers)
    assert answer.status == 200
    assert context.group.call("c1", "GET", "/health/live").status == 200


@then("a default with {errors:d} errors is refused with {count:d} findings")
def step_findings(context, errors, count):
    body = context.group.new_change(
        operator=" ",
        reason="",
        option="limits.nope",
        value=1,
        expected_revision=0,
    )
    answer = context.group.settled("c1", "POST", "/v1/defaults", body)
    assert answer.status == 400, answer
    assert len(answer.json["error"]["findings"]) == count, answer


@then("a body that is not JSON, is too long or has unknown members is refused")
def step_bad_bodies(context):
    group = context.group
    bodies = ["text", {"zz": 1}, {"pad": "x" * 2_000_000}, None, [], 7]
    for body in bodies:
        try:
            answer = group.call("c1", "POST", "/v1/defaults", body)
        except (OSError, http.client.HTTPException):
            # the server may close the connection before it reads a long body
            continue
        if answer.status == 503:
            answer = group.settled("c1", "POST", "/v1/defaults", body)
        assert answer.status == 400, answer
        assert answer.json["error"]["findings"], answer
    assert group.defaults("c1")["config_revision"] == 0


@then("calls for unknown objects fail as not found")
def step_not_found(context):
    group = context.group
    change = group.new_change(expected_revision=0)
    calls = [
        ("GET", "/v1/orders/alpha/none", None),
        ("POST", "/v1/targets/none/drain", change),
        ("POST", "/v1/targets/none/undrain", change),
        (
            "POST",
            "/v1/orders/o9/resolve",
            {"operator": "a", "reason": "b", "resolution": "ran"},
        ),
        ("GET", "/v1/nothing", None),
    ]
    for method, path, body in calls:
        answer = group.settled("c1", method, path, body)
        assert answer.status == 404, (path, answer)
