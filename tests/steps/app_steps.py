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

TIMEOUT_S = 20
LONG_DRAIN_MS = 20_000
SHORT_DRAIN_MS = 50


class RecordingPart(api.Part):
    """Records its life-cycle calls; can fail, hang or send SIGTERM in one."""

    def __init__(self, name, calls):
        self.name = name
        self.calls = calls
        self.fails_in = ""
        self.hangs_in = ""
        self.signals_in = ""

    async def _step(self, step):
        self.calls.append(f"{step} {self.name}")
        if step == self.signals_in:
            os.kill(os.getpid(), signal.SIGTERM)
            # Lets the event loop handle the signal.
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
    context.calls = []
    context.parts = [RecordingPart(name, context.calls) for name in "abc"]
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


@given("SIGTERM arrives while part {name} of the application starts")
def step_signals(context, name):
    part(context, name).signals_in = "start"


async def run_application(context, until_started):
    application = api.Application(context.drain_timeout_ms)
    for added in context.parts:
        application.add(added)
    async with asyncio.timeout(TIMEOUT_S):
        running = asyncio.create_task(application.run())
        if until_started:
            while "start c" not in context.calls:
                await asyncio.sleep(0)
            os.kill(os.getpid(), signal.SIGTERM)
        await running


def run(context, until_started):
    context.raised = []
    try:
        asyncio.run(run_application(context, until_started))
    except Exception as error:
        context.raised = list(roles.problems(error))


@when("the application runs and gets SIGTERM")
def step_run_and_stop(context):
    run(context, True)


@when("the application runs")
def step_run(context):
    run(context, False)


@then('the application\'s parts were called "{steps}"')
def step_calls(context, steps):
    assert context.calls == steps.split(", "), context.calls


@then('running the application raised "{problem}"')
def step_raised(context, problem):
    assert context.raised == [f"RuntimeError: {problem}"], context.raised


@given("a task owner with a failing task and a running one")
def step_tasks(context):
    context.handler = logbook.TestHandler()
    context.cancelled = []

    async def fail():
        raise RuntimeError("boom")

    async def wait():
        try:
            await asyncio.Event().wait()
        finally:
            context.cancelled.append("wait")

    async def work():
        owner = api.TaskOwner()
        owner.spawn(fail(), "failing")
        owner.spawn(wait(), "waiting")
        await asyncio.sleep(0)
        await owner.cancel_all()
        context.remaining_tasks = asyncio.all_tasks() - {asyncio.current_task()}

    context.work = work


@when("all tasks of the task owner are cancelled")
def step_cancel(context):
    with context.handler.applicationbound():
        asyncio.run(context.work())


@then("the failure is logged and no task remains")
def step_logged(context):
    assert context.cancelled == ["wait"]
    assert not context.remaining_tasks
    [record] = context.handler.records
    assert "event=task_failed task=failing" in record.message


@given("a task owner with lasting work that fails twice")
def step_lasting(context):
    context.starts = 0

    async def work():
        context.starts += 1
        if context.starts < 3:
            raise RuntimeError("boom")
        await asyncio.Event().wait()

    context.work = work


@when("the lasting work has been started {count:d} times")
def step_started(context, count):
    context.handler = logbook.TestHandler()

    async def run():
        owner = api.TaskOwner()
        owner.spawn_with_restarts(context.work, "lasting")
        async with asyncio.timeout(TIMEOUT_S):
            while context.starts < count:
                await asyncio.sleep(0.01)
        await owner.cancel_all()

    with context.handler.applicationbound():
        asyncio.run(run())


@then("{count:d} failures of the lasting work are logged")
def step_lasting_logged(context, count):
    messages = [record.message for record in context.handler.records]
    assert len(messages) == count, messages
    assert all(
        "event=task_restarting task=lasting" in line for line in messages
    )
