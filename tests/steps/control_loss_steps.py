"""Steps for control instances that are lost, replaced or behind.

Other operations, such as orders or weight loads, run meanwhile.
"""

from __future__ import annotations

from behave import then
from behave import when

from tests.steps import config_fault_steps
from tests.support import config_fleet


def operator_fleet(context):
    """Returns the scenario's fleet with the calls of operators."""
    if not hasattr(context.kept, "operated"):
        context.kept.operated = config_fleet.ConfigFleet(context.running)
        context.feature_stack.callback(context.kept.operated.close)
    return context.kept.operated


def replace_lost_instance(context):
    """Replaces the instance that the scenario left without its disk."""
    repair = getattr(context.kept, "replace_lost_instance", None)
    if repair is not None:
        repair()
        context.kept.replace_lost_instance = None


@when("the leader of control loses its disk")
def step_lose_disk(context):
    fleet = operator_fleet(context)
    context.victim = fleet.leader()
    config_fault_steps.lose_disk(context, fleet)
    context.kept.replace_lost_instance = context.replace_lost_instance


@when("the instance that lost its disk is replaced")
def step_replace(context):
    replace_lost_instance(context)


@when("a control instance that lost its disk was replaced")
def step_repaired(context):
    fleet = operator_fleet(context)
    context.victim = fleet.followers()[0]
    config_fault_steps.lose_disk(context, fleet)
    context.replace_lost_instance()


@when("the leader of control is lost too")
def step_lose_second(context):
    fleet = operator_fleet(context)
    fleet.fleet.kill(fleet.leader())


@when("{count:d} changes are made while a control instance and {name} are down")
def step_pile_up(context, count, name):
    fleet = operator_fleet(context)
    context.behind = [fleet.followers()[0], name]
    for lost in context.behind:
        fleet.fleet.kill(lost)
    fleet.pile_up(count, fleet.leader())


@when("those that are behind start and the leader of control is lost")
def step_start_behind(context):
    fleet = operator_fleet(context)
    leader = fleet.leader()
    fleet.start(*context.behind)
    fleet.fleet.kill(leader)


@then("no change of the operators was lost")
def step_changes_kept(context):
    fleet = operator_fleet(context)
    fleet.heal()
    assert fleet.decide(fleet.new_change()).status == 200
    fleet.wait_in_force()
    fleet.judge()
