"""Steps for target orders over slow or silent connections."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from tests.helpers import agent_bench
from tests.steps import agent_order_steps
from tests.steps import agent_steps
from tests.support import fault_proxy

ORDER_BYTES = 200  # an order is longer, the load polls beside it are shorter
HELD_MS = 10_000  # delays bytes, as a cut would refuse the connection


@given("an agent beside an engine whose connections can go silent")
def step_silent(context):
    bench = agent_steps.get_bench(context)
    bench.run(bench.start_engine())
    start_behind_proxy(context)


@given("an agent beside an engine whose weights take {load_ms:d} ms to load")
def step_long_load(context, load_ms):
    bench = agent_steps.get_bench(context)
    store = bench.run(
        bench.start_process("weight_store", "--load-ms", str(load_ms))
    )
    bench.run(bench.start_engine("--weight-store", store))
    bench.run(bench.start_agent())


def start_behind_proxy(context):
    bench = context.bench
    direct, port = bench.target_url, bench.target_url.rpartition(":")[2]
    proxy = fault_proxy.FaultProxy(int(port))
    context.proxy = context.stack.enter_context(proxy)
    bench.target_url = f"http://{fault_proxy.HOST}:{context.proxy.port}"
    bench.run(bench.start_agent())
    bench.target_url = direct


async def order(context, version, fence):
    connection = await context.bench.entry("control-1")
    message = agent_order_steps.weights_order(version, fence)
    return await connection.call(message, agent_bench.LONG_MS)


async def outcomes(context):
    return [row["outcome"] for row in await context.bench.record("orders")]


@when(
    'weights "{version}" with fence {fence:d} are ordered and the order is lost'
)
def step_lost_order(context, version, fence):
    bench, proxy = context.bench, context.proxy

    async def go():
        proxy.delay(HELD_MS, fault_proxy.Direction.TO_TARGET)
        pending_order = bench.spawn(order(context, version, fence))
        await agent_bench.until(lambda: proxy.held_bytes > ORDER_BYTES)
        proxy.silence_open()
        proxy.delay(0)
        context.reply = await pending_order

    bench.run(go())


@when(
    'weights "{version}" with fence {fence:d} are ordered and the reply is lost'
)
def step_lost_answer(context, version, fence):
    bench, proxy = context.bench, context.proxy

    async def go():
        proxy.cut(fault_proxy.Direction.TO_CALLER)
        pending_order = bench.spawn(order(context, version, fence))
        async with asyncio.timeout(agent_bench.GIVE_UP_S):
            while await outcomes(context) != ["done"]:
                await asyncio.sleep(agent_bench.POLL_S)
        proxy.silence_open()
        proxy.heal()
        context.reply = await pending_order

    bench.run(go())


@when('weights "{version}" with fence {fence:d} are ordered twice at once')
def step_twice(context, version, fence):
    async def go():
        replies = await asyncio.gather(
            order(context, version, fence), order(context, version, fence)
        )
        assert replies[0] == replies[1], replies
        context.reply = replies[0]

    context.bench.run(go())


@when('weights "{version}" are ordered with fences {first:d} and {second:d}')
def step_two_leaders(context, version, first, second):
    async def go():
        context.replies = await asyncio.gather(
            order(context, version, first), order(context, version, second)
        )

    context.bench.run(go())


@then("both target orders are done")
def step_both_done(context):
    assert [reply.done for reply in context.replies] == [True, True]


@then('the engine received orders with fences "{fences}"')
def step_given(context, fences):
    received = context.bench.run(context.bench.record("orders"))
    assert [row["fence"] for row in received] == [
        int(fence) for fence in fences.split()
    ], received


@then('the engine received orders with fences ""')
def step_none_given(context):
    step_given(context, "")
