"""Steps for the stand-ins of services, stores and the platform."""

from __future__ import annotations

import concurrent.futures
import json

from behave import given
from behave import then
from behave import when

from standins import kv_store
from standins import platform
from standins import service
from standins import weight_store
from tests.support import background

LOAD_MS = 300


def start(context, build):
    _, context.port = context.stack.enter_context(background.running(build))


@given("a stand-in service")
def step_service(context):
    start(context, lambda: service.Service("portal", 0, False))


@given("a stand-in service that checks fencing numbers")
def step_service_checks(context):
    start(context, lambda: service.Service("portal", 0, True))


@given("a stand-in store of {count:d} kept blocks")
def step_store(context, count):
    start(context, lambda: kv_store.KvStore(count))


@given("a stand-in weight store")
def step_weight_store(context):
    start(context, lambda: weight_store.WeightStore(LOAD_MS, 2))


@given("a stand-in platform with a lag of {lag:d} ms")
def step_platform(context, lag):
    start(context, lambda: platform.Platform(lag))


def call_service(context, headers):
    context.status, _, raw = background.call(
        context.port, "POST", "/orders", b"a body", headers
    )
    context.answer = json.loads(raw)


@when('the stand-in service is called twice with key "{key}"')
def step_call_twice(context, key):
    for _ in range(2):
        call_service(context, {"Idempotency-Key": key})


@when("the stand-in service is called with fence {fence:d}")
def step_call_fence(context, fence):
    call_service(context, {"X-Fence": str(fence)})


@when('the stand-in store keeps "{names}"')
def step_keep(context, names):
    for name in names.split():
        background.call(context.port, "PUT", f"/kv/{name}", b"body")


@when("{count:d} loads run at once at the stand-in weight store")
def step_loads(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        path = "/weights/model/2"
        loads = [
            pool.submit(background.call, context.port, "GET", path)
            for _ in range(count)
        ]
    assert [load.result()[0] for load in loads] == [200] * count


@when('the stand-in platform gets instance "{name}" as "{state}"')
def step_set(context, name, state):
    entry = {"instance": name, "state": state}
    background.call(context.port, "POST", "/admin/set", entry)


def service_runs(context):
    return background.call_json(context.port, "GET", "/admin/record")["runs"]


@then('the stand-in service has recorded {count:d} runs of "{key}"')
def step_runs(context, count, key):
    keys = [run["key"] for run in service_runs(context)]
    assert keys == [key] * count


@then("the stand-in service's last answer has run number {number:d}")
def step_run_number(context, number):
    assert context.answer["run_number"] == number


@then("the stand-in service's last status is {status:d}")
def step_status(context, status):
    assert context.status == status


@then('the stand-in service\'s outcomes are "{outcomes}"')
def step_outcomes(context, outcomes):
    found = [run["outcome"] for run in service_runs(context)]
    assert found == outcomes.split()


@then('the stand-in store holds "{kept}" and not "{dropped}"')
def step_holds(context, kept, dropped):
    for name, status in [(n, 200) for n in kept.split()] + [(dropped, 404)]:
        path = f"/kv/{name}"
        assert background.call(context.port, "GET", path)[0] == status


@then("the stand-in weight store has seen {count:d} loads at once")
def step_seen(context, count):
    record = background.call_json(context.port, "GET", "/admin/record")
    assert record["most_at_once"] == count


@then('the stand-in platform lists "{entries}"')
def step_lists(context, entries):
    listed = background.call_json(context.port, "GET", "/instances")
    found = [f"{i['instance']}:{i['state']}" for i in listed["instances"]]
    assert found == entries.split()


@then('the stand-in platform lists ""')
def step_lists_nothing(context):
    listed = background.call_json(context.port, "GET", "/instances")
    assert listed["instances"] == []
