"""Steps for the application object."""

from __future__ import annotations

import asyncio
import os
import signal

from behave import given
from behave import then
from behave import when
import logbook

from lycheering.app import api
from lycheering.commands import roles

GIVE_UP_S = 20
LONG_DRAIN_MS = 20_000
SHORT_DRAIN_MS = 50


class RecordingPart(api.Part):
    """Records what it is asked, and fails where it is told to."""

    def __init__(self, name, seen):
        self.name = name
        self.seen = seen
        self.fails_in = ""
        self.hangs_in = ""
        self.signals_in = ""

    async def _step(self, step):
        self.seen.append(f"{step} {self.name}")
        if step == self.signals_in:
            os.kill(os.getpid(), signal.SIGTERM)
            # lets the event loop see the signal
            await asyncio.sleep(0.05)
        if step == self.fails_in:
            raise RuntimeError(f"{self.name} failed to {step}")
        if step == self.hangs_in:
            await asyncio.Event().wait()

    async def start(self):
        await self._step("start")

    async def drain(self):
        await self._step("drain")

    async def stop(self):
        await self._step("stop")


@given("an application with parts a, b and c")
def step_application(context):
    context.seen = []
    context.parts = [RecordingPart(name, context.seen) for name in "abc"]
    context.drain_timeout_ms = LONG_DRAIN_MS


def part(context, name):
    return next(part for part in context.parts if part.name == name)


@given("part {name} of the application fails to {step}")
def step_fails(context, name, step):
    part(context, name).fails_in = step


@given("part {name} of the application never drains")
def step_hangs(context, name):
    part(context, name).hangs_in = "drain"
    context.drain_timeout_ms = SHORT_DRAIN_MS


@given("part {name} of the application is told to stop while it starts")
def step_signals(context, name):
    part(context, name).signals_in = "start"


async def run_application(context, until_started):
    application = api.Application(context.drain_timeout_ms)
    for added in context.parts:
        application.add(added)
    async with asyncio.timeout(GIVE_UP_S):
        running = asyncio.create_task(application.run())
        if until_started:
            while "start c" not in context.seen:
                await asyncio.sleep(0)
            os.kill(os.getpid(), signal.SIGTERM)
        await running


def run(context, until_started):
    context.raised = []
    try:
        asyncio.run(run_application(context, until_started))
    except Exception as error:
        context.raised = list(roles.problems(error))


@when("the application runs and is told to stop")
def step_run_and_stop(context):
    run(context, True)


@when("the application runs")
def step_run(context):
    run(context, False)


@then('the application\'s parts saw "{steps}"')
def step_saw(context, steps):
    assert context.seen == steps.split(", "), context.seen


@then('running the application raised "{problem}"')
def step_raised(context, problem):
    assert context.raised == [f"RuntimeError: {problem}"], context.raised


@given("an application's task owner with a task that fails and one that runs")
def step_tasks(context):
    context.handler = logbook.TestHandler()
    context.ended = []

    async def fail():
        raise RuntimeError("boom")

    async def wait():
        try:
            await asyncio.Event().wait()
        finally:
            context.ended.append("wait")

    async def work():
        owner = api.TaskOwner()
        owner.spawn(fail(), "failing")
        owner.spawn(wait(), "waiting")
        await asyncio.sleep(0)
        await owner.cancel_all()
        context.left = asyncio.all_tasks() - {asyncio.current_task()}

    context.work = work


@when("all of the task owner's tasks are cancelled")
def step_cancel(context):
    with context.handler.applicationbound():
        asyncio.run(context.work())


@then("the task owner logged the failure and no task is left")
def step_logged(context):
    assert context.ended == ["wait"]
    assert not context.left
    [record] = context.handler.records
    assert "event=task_failed task=failing" in record.message


@given("an application's task owner with lasting work that fails twice")
def step_lasting(context):
    context.begun = 0

    async def work():
        context.begun += 1
        if context.begun < 3:
            raise RuntimeError("boom")
        await asyncio.Event().wait()

    context.work = work


@when("the lasting work has begun {count:d} times")
def step_begun(context, count):
    context.handler = logbook.TestHandler()

    async def run():
        owner = api.TaskOwner()
        owner.spawn_lasting(context.work, "lasting")
        async with asyncio.timeout(GIVE_UP_S):
            while context.begun < count:
                await asyncio.sleep(0.01)
        await owner.cancel_all()

    with context.handler.applicationbound():
        asyncio.run(run())


@then("the task owner logged {count:d} failures of the lasting work")
def step_lasting_logged(context, count):
    told = [record.message for record in context.handler.records]
    assert len(told) == count, told
    assert all("event=task_begins_anew task=lasting" in line for line in told)
