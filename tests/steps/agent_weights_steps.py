"""Steps for what an agent tells while weights are replaced."""

from __future__ import annotations

from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.wire import messages
from tests.helpers import agent_bench


def report(bench):
    async def inquire():
        connection = await bench.entry()
        return await connection.call(messages.CacheInquiry((), 0))

    return bench.run(inquire())


@when('the weights "{version}" are wanted')
def step_wanted(context, version):
    bench = context.bench

    def known():
        fleet = bench.context.holder.fleet
        return fleet.text("weights.version") == version

    async def want():
        bench.control.change(changes.DefaultSet("weights.version", version))
        await agent_bench.until(known)

    bench.run(want())


@then("the agent tells that its weights are outdated")
def step_outdated(context):
    assert report(context.bench).weights_outdated


@then("the agent tells that its weights are current")
def step_current(context):
    assert not report(context.bench).weights_outdated
