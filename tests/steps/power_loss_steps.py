"""Steps for members of a replicated log that lose power."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from tests.replication import fakes
from tests.steps import replication_steps
from tests.support import log_group
from tests.support import power_loss


@given("a group of members a, b, c whose syncs are recorded")
def step_recorded_group(context):
    context.recorder = power_loss.SyncRecorder()
    context.stack.enter_context(context.recorder.recording())
    replication_steps.start_group(context, fakes.FAST_SETTINGS)


@when("{count:d} commands are acknowledged and all members lose power at once")
def step_lose_power(context, count):
    group = context.group

    async def lose_power():
        for number in range(count):
            await group.propose(b"%d" % number)
        # nothing that is written from here on is there afterwards
        context.recorder.has_power = False
        leader = await group.leader()
        await group.stop_all()
        return leader

    context.acknowledged = [b"%d" % number for number in range(count)]
    context.leader_name = log_group.run(context, lose_power())


@when("the {role} has lost its disk too and all start again")
def step_start_again(context, role):
    group = context.group
    lost = context.leader_name
    if role == "follower":
        lost = next(name for name in replication_steps.NAMES if name != lost)
    for name in replication_steps.NAMES:
        context.recorder.lose_unsynced((group.folder / name).resolve())
    group.lose_disk(lost)

    async def start():
        for name in replication_steps.NAMES:
            group.start(name)
        return await group.leader()

    context.lost_name = lost
    context.leader_name = log_group.run(context, start())


@then("every acknowledged command is there once")
def step_all_there(context):
    assert context.leader_name != context.lost_name
    machine = context.group.machine_by_instance[context.leader_name]

    def is_restored():
        return len(machine.commands) >= len(context.acknowledged)

    log_group.wait(context, is_restored, "the leader to have all commands")
    assert machine.commands == context.acknowledged, machine.commands
