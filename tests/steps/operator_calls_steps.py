"""Steps for what operators of the benches ask of control instances."""

from __future__ import annotations

from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import json_calls
from bench import operator_calls


@given(
    "control instances that answer with revision {behind:d}, not current, and"
    " {current:d}"
)
def step_instances(context, behind, current):
    context.reply_by_url = {
        "http://behind/v1/defaults": {
            "config_revision": behind,
            "current": False,
        },
        "http://current/v1/defaults": {
            "config_revision": current,
            "current": True,
        },
    }
    context.operators = operator_calls.OperatorCalls()
    context.operators.operator_urls = ["http://behind", "http://current"]


@when("an operator prepares a change")
def step_prepare(context):
    def answer(url, method="GET", body=None):
        return context.reply_by_url[url]

    with mock.patch.object(json_calls, "call_json", answer):
        context.change = context.operators.change("a test")


@then("the change expects revision {revision:d}")
def step_expects(context, revision):
    assert context.change["expected_revision"] == revision, context.change
