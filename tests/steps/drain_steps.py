"""Steps for a stopping agent that waits for the readers of its answers."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from tests.helpers import agent_bench
from tests.steps import agent_steps


def read_to_end(context, tokens):
    bench = context.bench

    async def read():
        await agent_steps.send_for(context, tokens)
        await bench.read(
            context.channel, context.submit, context.outcome, acks_end=False
        )

    bench.run(read())


@when("an entry reads {tokens:d} tokens without acknowledging the end")
def step_unacknowledged_end(context, tokens):
    read_to_end(context, tokens)


@when(
    "an entry reads {tokens:d} tokens and loses its connection before the end"
)
def step_disconnect_before_end(context, tokens):
    read_to_end(context, tokens)
    context.outcome.ending = None
    step_leaves(context)


@when("the entry acknowledges the end")
def step_acknowledge_end(context):
    async def acknowledge():
        context.bench.ack_end(context.channel, context.submit, context.outcome)

    context.bench.run(acknowledge())


@when("the entry leaves")
def step_leaves(context):
    context.bench.run(context.bench.disconnect("entry-1"))


@when("the entry is killed")
def step_killed(context):
    context.bench.run(context.bench.kill("entry-1"))


@when("the entry is killed and restarts")
def step_restarts(context):
    step_killed(context)
    context.bench.run(context.bench.entry("entry-1"))


@then("the agent still runs after {count:d} times the silence timeout")
def step_still_runs(context, count):
    silence_s = agent_bench.WIRE.silence_ms / 1_000
    context.bench.run(asyncio.sleep(count * silence_s))
    assert not context.bench._agent_task.done()
