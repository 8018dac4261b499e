"""Steps for the platform's list that control instances read."""

from __future__ import annotations

from behave import given
from behave import when

from tests.steps import control_group_steps
from tests.support import platform_list
from tests.support import processes


@given('a platform list with "{name}" live')
def step_platform(context, name):
    context.platform = platform_list.PlatformList()
    context.stack.callback(context.platform.close)
    context.platform.state_by_instance[name] = "live"


@given("a group of {size:d} control instances that read the list")
def step_group_platform(context, size):
    control_group_steps.start_group(
        context, size, platform_url=context.platform.url, platform_poll_ms=200
    )


@when('the platform lists "{name}" as {state}')
def step_list_state(context, name, state):
    context.platform.state_by_instance[name] = state


@when('the platform no longer lists "{name}"')
def step_unlist(context, name):
    del context.platform.state_by_instance[name]


@when("the platform sends invalid answers until the leader has counted one")
def step_nonsense(context):
    context.platform.nonsense = True

    # only the instance that leads at the time reads the list
    def counted():
        answers = [
            context.group.call(name, "GET", "/v1/counters").json
            for name in context.group.running()
        ]
        return any(
            answer["counters"].get("membership.list_failed")
            for answer in answers
        )

    processes.wait_for(counted, "the leader to count it")
