"""Steps for the run of all tests."""

from __future__ import annotations

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from tools import run_tests


@given('a report with a scenario whose step "{name}" failed with "{error}"')
def step_report(context, name, error):
    steps = [
        {"name": "it is set up", "result": {"status": "passed"}},
        {
            "name": name,
            "result": {"status": "failed", "error_message": [error]},
        },
        {"name": "it is not reached"},
    ]
    scenario = {
        "type": "scenario",
        "name": "A scenario",
        "status": "failed",
        "steps": steps,
    }
    context.report = [{"elements": [scenario]}]


@when("the report is read")
def step_read(context):
    context.outcome = run_tests.Outcome("a.feature", [], [], "")
    run_tests.read_report(context.report, context.outcome)


@then('the scenario counts as failed, with the reason "{reason}"')
def step_reason(context, reason):
    assert context.outcome.failed == ["a.feature: A scenario"]
    assert list(context.outcome.reason_by_place.values()) == [reason]


@given('a feature file that begins with "{tag}"')
def step_feature_file(context, tag):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.feature_file = pathlib.Path(folder) / "a.feature"
    context.feature_file.write_text(f"{tag}\nFeature: A\n")


@then("it runs {when} the others")
def step_when(context, when):
    is_alone = run_tests.runs_alone(context.feature_file)
    assert is_alone == (when == "after")
