"""Steps for the list of direct targets."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.control.direct import target_list_poller
from lycheering.fleet import records
from lycheering.routes import api as routes


def target(name, version=1, born_ms=1, **fields):
    return records.DirectTarget(
        target_id=name,
        service="s",
        ip="127.0.0.1",
        port=1,
        failure_domain="d",
        slots=8,
        version_by_model={"m": version},
        born_ms=born_ms,
        **fields,
    )


def compare_with_list(context, *targets):
    context.change = target_list_poller.compute_target_changes(
        context.active_by_key, targets, context.named_version_by_model
    )


def ids(targets):
    return [item.target_id for item in targets]


@when('the list has an entry of service "{service}" with the models "{models}"')
def step_entry_with_models(context, service, models):
    names = [] if models == "none" else models.split(", ")
    listed = msgspec.structs.replace(
        target("a"),
        service=service,
        version_by_model=dict.fromkeys(names, 1),
    )
    table = routes.RouteTable(
        1,
        (),
        (
            routes.Service(
                "engines", engine=routes.EngineCapacity(8, 9, ("m",))
            ),
            routes.Service("unlabeled", engine=routes.EngineCapacity(8, 9)),
            routes.Service("plain"),
        ),
    )
    context.usable = target_list_poller.usable_targets([listed], table)


@then("the entry is {fate}")
def step_fate(context, fate):
    assert len(context.usable) == int(fate == "used"), context.usable


@given("the direct targets a, b and c are active")
def step_active(context):
    context.active_by_key = {t.key: t for t in map(target, "abc")}
    context.named_version_by_model = {}


@given("weights {version:d} are the newest named")
def step_newest_named(context, version):
    context.named_version_by_model = {"m": version}


@given("a was updated to weights 3 and is held for an order")
def step_updated(context):
    updated = target("a", 3, is_held=True)
    context.active_by_key[updated.key] = updated


@when("the list names a, c and d")
def step_new(context):
    compare_with_list(context, *map(target, "acd"))


@when("the list names a, b and c")
def step_same(context):
    compare_with_list(context, *map(target, "abc"))


@when("the list names a with weights {version:d}, b and c")
def step_version(context, version):
    compare_with_list(context, target("a", version), target("b"), target("c"))


@when("the list names a as leaving, b and c")
def step_leaving(context):
    leaving = msgspec.structs.replace(
        target("a"), state=records.TargetState.LEAVING
    )
    compare_with_list(context, leaving, target("b"), target("c"))


@when("the list names a after a restart, b and c")
def step_restarted(context):
    compare_with_list(context, target("a", born_ms=2), target("b"), target("c"))


@then("b is removed and d is added")
def step_changed(context):
    assert ids(context.change.put) == ["d"]
    assert context.change.removed == (target("b").key,)


@then("nothing is changed")
def step_unchanged(context):
    assert not context.change.put, context.change
    assert not context.change.removed, context.change


@then("a is changed to weights {version:d}")
def step_changed_to_version(context, version):
    (changed,) = context.change.put
    assert changed.version_by_model == {"m": version}


@then("a is changed to leaving")
def step_changed_to_leaving(context):
    (changed,) = context.change.put
    assert changed.state is records.TargetState.LEAVING
    assert not context.change.removed


@then("the old run of a is removed and the new one is added")
def step_new_run(context):
    assert context.change.removed == (target("a").key,)
    (changed,) = context.change.put
    assert changed.born_ms == 2
