"""Steps for closing a connection whose task raises an error."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then

from lycheering.wire import api
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import messages
from tests.helpers import agent_bench

GIVE_UP_S = 20


@given("a connection whose session task raises an error when it is cancelled")
def step_failing(context):
    link = agent_bench.new_link(None, "entry-1", messages.Role.ENTRY)
    address = api.Address("target-1", "127.0.0.1", 1)
    connection = client.Connection(address, link)

    async def wait_long():
        await asyncio.sleep(GIVE_UP_S)

    async def fail_when_cancelled():
        try:
            await asyncio.sleep(GIVE_UP_S)
        finally:
            raise errors.PeerUnreachableError("bye")

    async def run_session():
        async with asyncio.TaskGroup() as group:
            group.create_task(wait_long())
            group.create_task(fail_when_cancelled())

    connection._run_session = run_session
    context.connection = connection


async def wait_idle():
    await asyncio.sleep(GIVE_UP_S)


@then("closing the connection ends its task")
def step_closing(context):
    async def close():
        context.connection.start()
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(context.connection.close())
        done, _ = await asyncio.wait([closing], timeout=GIVE_UP_S)
        if not done:
            # ends the task, so that the test fails instead of hanging
            context.connection._run_session = wait_idle
            context.connection._task.cancel()
            await asyncio.sleep(0.2)
        return bool(done)

    assert asyncio.run(close())
