"""Steps for the membership of targets."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.control import commands
from lycheering.fleet import records
from lycheering.membership import api
from lycheering.membership import platform_list
from lycheering.membership import reconcile
from lycheering.membership import watcher
from lycheering.settings import model
from lycheering.telemetry import counters
from tests.steps import machine_steps

NOW_MS = 1_000_000


def make_target(name, incarnation, state=records.TargetState.LIVE):
    return records.Target(
        name,
        records.TargetKind.ENGINE,
        "worker-1",
        "127.0.0.1",
        7_000,
        incarnation,
        "fd1",
        state=state,
    )


@given("a target that is {state}")
def step_target(context, state):
    context.target = make_target("t1", "i1", records.TargetState(state))
    context.listed = None
    context.silent_targets = set()
    context.reactivated_ms_by_target = {}


@given("the platform lists its instance as {listed}")
def step_listed(context, listed):
    if listed == "no list":
        context.listed = None
    elif listed == "absent":
        context.listed = {"worker-2": platform_list.ListedState.LIVE}
    else:
        context.listed = {"worker-1": platform_list.ListedState(listed)}


@given("its agent is {contact}")
def step_contact(context, contact):
    context.silent_targets = {"t1"} if contact == "silent" else set()


@given("it returned to live {age_ms:d} ms ago")
def step_reactivated(context, age_ms):
    context.reactivated_ms_by_target = {"t1": NOW_MS - age_ms}


@then("the target becomes {state}")
def step_new_state(context, state):
    observations = reconcile.Observations(
        context.listed,
        context.silent_targets,
        context.reactivated_ms_by_target,
        NOW_MS,
    )
    changes = reconcile.decide_state_changes([context.target], observations)
    result = changes[0].state if changes else context.target.state
    assert result == state, changes


@when('target "{name}" registers as "{incarnation}"')
def step_register(context, name, incarnation):
    target = make_target(name, incarnation)
    command = commands.RegisterTargets((target,), NOW_MS)
    machine_steps.apply(context.machine, command)


@when('target "{name}" deregisters as "{incarnation}"')
def step_deregister(context, name, incarnation):
    leaving = records.TargetState.LEAVING
    command = commands.MarkTarget(
        name, incarnation, leaving, has_deregistered=True
    )
    machine_steps.apply(context.machine, command)


@when('target "{name}" is marked gone as "{incarnation}"')
def step_mark_gone(context, name, incarnation):
    command = commands.MarkTarget(name, incarnation, records.TargetState.GONE)
    machine_steps.apply(context.machine, command)


@then('target "{name}" is {state} as "{incarnation}"')
def step_is(context, name, state, incarnation):
    target = context.machine.fleet.target_by_name[name]
    assert target.state == state, target
    assert target.agent_incarnation == incarnation


@then('the return of target "{name}" is remembered')
def step_remembered(context, name):
    assert context.machine.targets.reactivated_ms_by_target[name] == NOW_MS


@then("the view revision of the state machine is {revision:d}")
def step_view_revision(context, revision):
    assert context.machine.fleet.view_revision == revision


class LocalMembership(api.Membership):
    """A single target, and agent sessions that the steps set."""

    def __init__(self, target):
        self.target = target
        self.incarnation_by_target = {}
        self.state_changes = []

    def is_leader(self):
        return True

    def targets(self):
        return [self.target]

    def reactivated_ms_by_target(self):
        return {}

    async def connected_incarnations(self, targets):
        return self.incarnation_by_target

    async def commit_state_change(self, change):
        self.state_changes.append(change)


@given('a membership watcher without a list, and a leaving target "{name}"')
def step_watcher(context, name):
    target = make_target(name, "i1", records.TargetState.LEAVING)
    context.clock = clock.ManualClock(NOW_MS)
    context.membership = LocalMembership(target)
    context.watcher = watcher.MembershipWatcher(
        context.membership,
        model.LogStoreSettings(data_folder="unused"),
        context.clock,
        counters.Counters(),
    )


@when("the watcher checks, and no agent has a session")
def step_check(context):
    context.membership.incarnation_by_target = {}
    asyncio.run(context.watcher.check())


@when("{pause_ms:d} ms pass and the watcher checks, and no agent has a session")
def step_check_later(context, pause_ms):
    context.clock.advance(pause_ms)
    step_check(context)


@when("{pause_ms:d} ms pass with too few control instances answering")
def step_too_few(context, pause_ms):
    context.clock.advance(pause_ms)
    context.membership.incarnation_by_target = None
    asyncio.run(context.watcher.check())


@then("the watcher has marked nothing")
def step_no_marks(context):
    assert context.membership.state_changes == []


@then('the watcher has marked "{name}" as gone')
def step_marked(context, name):
    found = [
        (change.target, change.state)
        for change in context.membership.state_changes
    ]
    assert found == [(name, records.TargetState.GONE)]
