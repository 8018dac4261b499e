"""Steps for the comparison of scores."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from tools import regressions

NUMBERED = ("quiet-1", "trouble-1", "scale-1")


def entry(worths, commit, cmd="score"):
    days = [
        {"name": name, "G": float(worth), "gate": True, "kind": "trouble"}
        for name, worth in zip(NUMBERED, worths, strict=True)
    ]
    return {
        "cmd": cmd,
        "ok": True,
        "site": "some-site",
        "head": commit,
        "days": days,
    }


@given("a score of a deployment with days worth {one:g}, {two:g} and {three:g}")
def step_before(context, one, two, three):
    made = entry((one, two, three), "abc0001")
    context.before = regressions.score_of(made)


@when("it is scored anew with days worth {one:g}, {two:g} and {three:g}")
def step_after(context, one, two, three):
    context.entry = entry((one, two, three), "abc0002")
    context.after = regressions.score_of(context.entry)


@when(
    "it is scored anew with days worth {one:g}, {two:g} and {three:g}, a drawn"
    " one refused"
)
def step_after_drawn(context, one, two, three):
    made = entry((one, two, three), "abc0002")
    made["days"].append(
        {"name": "fresh-1", "G": -1.0, "gate": False, "kind": "replay"}
    )
    context.after = regressions.score_of(made)


@when("a day is played by itself")
def step_run(context):
    context.after = regressions.score_of(entry((1, 1, 1), "abc0002", "run"))


@then("nothing got worse")
def step_nothing(context):
    found = regressions.findings(context.before, context.after)
    assert not found, found


@then('"{finding}" got worse')
def step_finding(context, finding):
    found = regressions.findings(context.before, context.after)
    assert found == [finding], found


@then("that is no score")
def step_none(context):
    assert context.after is None
