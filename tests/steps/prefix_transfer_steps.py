"""Steps for the transfer of cached prefixes between targets and stores."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering import clock
from lycheering.forward import api
from lycheering.forward import prefill_rates
from lycheering.forward import prefix_transfer
from lycheering.forward import target_registry
from lycheering.forward import target_state
from tests.helpers import direct_targets

NOW_MS = 10_000.0


def sizes(context):
    return [part.tokens for part in getattr(context, "parts", PARTS)]


PARTS = direct_targets.PARTS


@given("a store of {tokens:d} tokens")
def step_store(context, tokens):
    record = direct_targets.target(99, slots=0)
    context.store = target_state.TargetState(
        record, tokens, NOW_MS, prefill_rates.ServicePrefillRate()
    )


@given("the store has the prompt")
def step_store_has(context):
    store_hashes = prefix_transfer.hash_for_store(
        context.profile, context.states[0]
    )
    context.store.cache.add(store_hashes, sizes(context))


@given("all targets have newer weights")
def step_newer(context):
    for state in context.states:
        state.target = msgspec.structs.replace(
            state.target, version_by_model={direct_targets.MODEL: 2}
        )
    context.profile = direct_targets.profile(version_ages=((2, 10_000.0),))


@given("a prompt with {shared:d} shared and {own:d} own tokens")
def step_prompt(context, shared, own):
    context.parts = (api.PromptPart("s", shared), api.PromptPart("o", own))
    context.profile = direct_targets.profile(context.parts)


@when("target {number:d} gets the prompt and may use the store")
def step_plan(context, number):
    store = getattr(context, "store", None)
    context.plan = prefix_transfer.plan_transfer(
        context.states,
        [store] if store is not None else [],
        context.states[number - 1],
        context.profile,
        NOW_MS,
    )
    registry = target_registry.TargetRegistry(clock.ManualClock())
    context.plan.record_use(registry, sizes(context))


@then("the prompt is saved")
def step_saved(context):
    assert context.plan.is_saved
    assert context.plan.store is context.store


@then("the prompt is not saved")
def step_not_saved(context):
    assert not context.plan.is_saved


@then("it fetches from the store")
def step_fetches(context):
    assert context.plan.fetch_from is context.store
    assert not context.plan.is_saved


@then("it does not fetch from the store")
def step_no_fetch(context):
    assert context.plan.fetch_from is not getattr(context, "store", None)


@then("it fetches from target {number:d} and not from the store")
def step_fetches_target(context, number):
    assert context.plan.fetch_from is context.states[number - 1]
