"""Steps for stores of cache entries, on a quick clock."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering.control import commands
from lycheering.control.direct import api
from lycheering.control.direct import store_watch
from lycheering.control.direct import target_lister
from lycheering.fleet import records
from lycheering.routes import api as routes
from lycheering.telemetry import counters
from tests.steps import routes_steps
from tests.steps import weights_roll_steps

SOON_MS = 4_000.0
STORE = routes.StoreTraits("10.0.0.9", 80, "d", 1_000)


class Stores(api.StoreCalls):
    """Answers for one store."""

    def __init__(self, time, run=7, delay_ms=0.0):
        self.time = time
        self.run = run
        self.delay_ms = delay_ms
        self.asked = 0

    async def run_of(self, ip, port):
        assert (ip, port) == (STORE.ip, STORE.port)
        self.asked += 1
        await self.time.sleep(self.delay_ms)
        if self.run is None:
            raise api.StoreUnreachableError("gone")
        return self.run


class EmptyList(api.TargetList):
    """A list that names a plain target and no store."""

    async def read(self):
        return [records.DirectTarget("a", "s", "10.0.0.1", 80, "d", 4)]


async def group_with_table():
    group = weights_roll_steps.Group()
    table = routes.RouteTable(
        1,
        (routes_steps.route("/a/"),),
        (routes.Service("s"), routes.Service("k", store=STORE)),
    )
    await group.propose(commands.PutRouteTable(table, b""))
    return group


def stores_in_force(group):
    return {
        target.born_ms
        for target in group.machine.fleet.direct_target_by_key.values()
        if target.service == "k"
    }


@given("the store k is in force with run 7")
def step_in_force(context):
    async def run():
        group = await group_with_table()
        change = store_watch.difference(group.machine.fleet, {"k": 7})
        await group.propose(change)
        return group

    context.group = asyncio.run(run())
    assert stores_in_force(context.group) == {7}


@when("the stores answer with {runs}")
def step_answer(context, runs):
    run_by_service = {}
    if runs != "none":
        service, run = runs.split(": ")
        run_by_service[service] = None if run == "no" else int(run)
    context.change = store_watch.difference(
        context.group.machine.fleet, run_by_service
    )


@then("no store is changed")
def step_unchanged(context):
    assert not context.change.put, context.change
    assert not context.change.removed, context.change


@then("the old run of k is removed and the new one is put")
def step_new_run(context):
    assert [target.born_ms for target in context.change.put] == [8]
    assert len(context.change.removed) == 1


@then("k is removed")
def step_removed(context):
    assert not context.change.put
    assert len(context.change.removed) == 1


async def for_a_while(context, make, time, span_ms):
    part = make()
    await part.start()
    try:
        await time.sleep(span_ms)
    finally:
        await part.stop()


@when("a list without stores is read by the leader")
def step_list(context):
    time = weights_roll_steps.QuickClock()

    def make():
        return target_lister.TargetLister(
            context.group, EmptyList(), 100.0, time, counters.Counters()
        )

    asyncio.run(for_a_while(context, make, time, 600.0))
    names = {
        target.target_id
        for target in context.group.machine.fleet.direct_target_by_key.values()
    }
    assert "a" in names, names


@when("a new leader watches a store that is slow to answer")
def step_slow(context):
    time = weights_roll_steps.QuickClock()
    stores = Stores(time, delay_ms=60_000.0)

    def make():
        return store_watch.StoreWatch(
            context.group, stores, time, counters.Counters()
        )

    asyncio.run(for_a_while(context, make, time, 1_500.0))
    assert stores.asked == 1


@then("the store k is still in force")
def step_still(context):
    assert stores_in_force(context.group) == {7}


@given("a watch over a store that answers")
def step_watch(context):
    context.script = [(7, {7})]


@when("the store answers no more")
def step_no_more(context):
    context.script.append((None, set()))


@when("the store answers with another run")
def step_another(context):
    context.script.append((9, {9}))


@then("the store is soon out of force")
@then("the store is soon in force")
def step_soon(context):
    async def play():
        time = weights_roll_steps.QuickClock()
        group = await group_with_table()
        stores = Stores(time)
        watch = store_watch.StoreWatch(group, stores, time, counters.Counters())
        await watch.start()
        try:
            for run, expected in context.script:
                stores.run = run
                until_ms = time.now_ms() + SOON_MS
                while stores_in_force(group) != expected:
                    assert time.now_ms() < until_ms, stores_in_force(group)
                    await time.sleep(50.0)
        finally:
            await watch.stop()

    asyncio.run(play())
