"""Steps for faults drawn from a seed, some at once."""

from __future__ import annotations

from behave import then
from behave import when

from tests.support import storms


@when("a storm drawn from seed {seed:d} strikes the fleet")
def step_storm(context, seed):
    context.storm = storms.Storm(context.struck, seed)
    context.stack.callback(context.storm.close)
    context.judged = context.storm.run()


@then("every completion of the storm is answered whole")
def step_whole(context):
    records = [r for r in context.judged.records if not r.call.service]
    cut = [r.attempts for r in records if not r.looks_whole]
    assert not cut, (context.storm.told, cut)
    assert len(records) == storms.COMPLETIONS, len(records)


@then("no order of the storm ran twice or was told a falsehood")
def step_clean(context):
    verdict = context.judged.verdict
    assert verdict.is_clean, (context.storm.told, verdict.findings)


@then("every change accepted in the storm is in force everywhere")
def step_changes(context):
    context.storm.judge_changes()
