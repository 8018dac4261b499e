"""Steps for faults that strike a whole fleet at one step of its calls."""

from __future__ import annotations

import time

from behave import given
from behave import then
from behave import when

from bench import checker
from tests.support import held_fleet

# what lasts until all callers have their answers
LASTING = (
    "agent_crash",
    "control_loss",
    "control_partition",
    "engine_crash",
    "event_loss",
)


@given("a fleet of real processes with a fault proxy on every connection")
def step_fleet(context):
    if not hasattr(context.kept, "struck"):
        context.kept.struck = context.feature_stack.enter_context(
            held_fleet.running()
        )
    context.struck = context.kept.struck
    context.end = held_fleet.do_nothing
    context.struck.restore()


@when("{fault} strikes the fleet while calls are at {step}")
def step_strike(context, fault, step):
    struck = context.struck
    if fault == "restart_behind":
        struck.pile_up_changes()
    release = struck.bring_to(step)
    end = struck.strike(fault)
    release()
    if fault in LASTING:
        context.end = end
    else:
        end()


@then("every call of the fleet is answered whole")
def step_whole(context):
    context.judged = context.struck.finish()
    context.end()
    verdict = context.judged.verdict
    total = len(context.judged.records)
    assert verdict.is_clean, verdict.findings
    assert verdict.whole == total > 0, (
        verdict.line(),
        [r.attempts for r in context.judged.records if not r.looks_whole],
    )


@then("no caller of the fleet saw the fault")
def step_unseen(context):
    again = [r.attempts for r in context.judged.records if len(r.attempts) > 1]
    assert not again, again


@then("the restarted entry serves by the newest change at once")
def step_newest(context):
    answer = context.struck.first_answer("entry-1")
    assert answer.status == 200, answer


@then("every index of the fleet is synced again")
def step_synced(context):
    context.struck.wait_synced()


@when("{fault} strikes the fleet while an agent's drain is at {step}")
def step_strike_drain(context, fault, step):
    struck = context.struck
    if fault == "restart_behind":
        struck.pile_up_changes()
    orders = fault == "silence_once_call"
    release = struck.drain_at(step, orders)
    end = struck.strike("silent_inner" if orders else fault)
    release()
    if fault in LASTING:
        context.end = end
    else:
        end()


@then("the agent of the fleet ends with {code:d}")
def step_agent_ends(context, code):
    agent = context.struck.process(f"agent-{context.struck.draining}")
    assert agent.wait() == code, agent.log_text()[-2_000:]


@then("the stopped entry of the fleet ends with {code:d}")
def step_entry_ends(context, code):
    entry = context.struck.process("entry-0")
    assert entry.wait() == code, entry.log_text()[-2_000:]


@when("the platform lists a busy target of the fleet as leaving")
def step_leaving(context):
    context.struck.list_as_leaving()


@when("{bound:d} ms pass since the platform's list says so")
def step_bound_passes(context, bound):
    time.sleep(held_fleet.PLATFORM_LAG_S + bound / 1_000)


@then("calls of the fleet that come now are answered without that target")
def step_without_target(context):
    struck = context.struck
    late = struck.start(struck.trace())
    step_whole(context)
    runs = struck.runs(struck.draining)
    assert runs, "the target ran nothing before it left"
    late_runs = [
        r for r in runs if checker.call_id_of(r.request_id) in late.ids
    ]
    assert not late_runs, late_runs


@then("no order of the fleet ran twice or was told a falsehood")
def step_orders(context):
    found = context.struck.finish()
    assert found.verdict.is_clean, (
        found.verdict.findings,
        [r.attempts for r in found.records if not r.looks_whole],
    )
