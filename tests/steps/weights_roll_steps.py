"""Steps for bringing direct engines to named weights, on a quick clock."""

from __future__ import annotations

import asyncio
import collections

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.control import commands
from lycheering.control import machine
from lycheering.control.direct import api
from lycheering.control.direct import load_hub
from lycheering.control.direct import weights_roll
from lycheering.fleet import records
from lycheering.telemetry import counters

MODEL = "m"
LOAD_MS = 800.0
SPEED = 8.0
LATE_MS = 1_500.0


class QuickClock(clock.Clock):
    """Real time, run through faster."""

    def now_ms(self):
        return super().now_ms() * SPEED

    async def sleep(self, duration_ms):
        await super().sleep(duration_ms / SPEED)


class Engine:
    """An engine as orders see it."""

    def __init__(self, name, time):
        self.name = name
        self.time = time
        self.version = 1
        self.sequence = 0
        self.loads = 0
        self.load_ms = LOAD_MS
        self.reachable = True
        self.first_answer = ""
        self.answers = True
        self.highest_fence = 0
        self.refused = []
        self.fences = []
        self.loading_until_ms = 0.0
        self.next_version = 1

    @property
    def is_busy(self):
        return self.time.now_ms() < self.loading_until_ms

    def settle(self):
        if not self.is_busy:
            self.version = self.next_version

    def begin(self, version):
        self.sequence += 1
        self.loads += 1
        self.next_version = version
        self.loading_until_ms = self.time.now_ms() + self.load_ms


class Engines(api.EngineCalls):
    """Answers reports and orders for a set of engines."""

    def __init__(self, engines, time):
        self.by_name = {engine.name: engine for engine in engines}
        self.time = time
        self.orders = 0
        self.most_loading = 0
        self.late = []

    async def report(self, target):
        engine = self.by_name[target.target_id]
        if not engine.reachable:
            raise api.EngineUnreachableError("gone")
        engine.settle()
        return api.EngineReport(
            {MODEL: engine.version}, engine.is_busy, engine.sequence
        )

    async def order(self, target, order):
        engine = self.by_name[target.target_id]
        self.orders += 1
        engine.fences.append(order.fence)
        kind, engine.first_answer = engine.first_answer, ""
        if kind == "lost" or not engine.answers:
            return api.OrderResult.UNKNOWN
        if kind == "late":
            self.late.append(asyncio.create_task(self._late(engine, order)))
            return api.OrderResult.UNKNOWN
        return self._take(engine, order)

    async def _late(self, engine, order):
        await self.time.sleep(LATE_MS)
        self._take(engine, order)

    def _take(self, engine, order):
        if order.fence < engine.highest_fence:
            engine.refused.append(order.fence)
            return api.OrderResult.FENCED
        engine.highest_fence = order.fence
        if engine.is_busy or order.sequence != engine.sequence:
            return api.OrderResult.CONFLICT
        engine.begin(order.version)
        loading = sum(item.is_busy for item in self.by_name.values())
        self.most_loading = max(self.most_loading, loading)
        return api.OrderResult.ACCEPTED


class Group:
    """A replicated log of one instance."""

    def __init__(self):
        self.machine = machine.ControlMachine()
        self.leads = True
        self.held = set()
        self._index = 0

    def is_leader(self):
        return self.leads

    async def propose(self, command):
        self._index += 1
        data = commands.encode(command)
        reply = self.machine.apply(self._index, data)
        targets = self.machine.fleet.direct_target_by_key.values()
        self.held |= {t.target_id for t in targets if t.is_held}
        return commands.decode_reply(reply)


@given("{count:d} engines on weights 1")
def step_engines(context, count):
    context.time = QuickClock()
    context.engine_list = [
        Engine(f"e{number}", context.time) for number in range(count)
    ]
    context.group = Group()
    context.held_before = set()


@given("{count:d} of them can't be reached")
def step_lost(context, count):
    for engine in context.engine_list[:count]:
        engine.reachable = False


@given("the first order to each engine gets no answer and is {kind}")
def step_first(context, kind):
    for engine in context.engine_list:
        engine.first_answer = "lost" if kind == "lost" else "late"


@given("one engine answers no order for good")
def step_never(context):
    context.engine = context.engine_list[0]
    context.engine.answers = False


@given("it held an engine that has weights 2 by now")
def step_held(context):
    context.engine = context.engine_list[0]
    context.engine.version = context.engine.next_version = 2
    context.held_before = {context.engine.name}


@given("each load takes {load_ms:d} ms")
def step_slow(context, load_ms):
    for engine in context.engine_list:
        engine.load_ms = float(load_ms)


@given("another instance gave orders before")
def step_before(context):
    asyncio.run(context.group.propose(commands.TakeDirectOrders("other")))


@given("the instance does not lead")
def step_follows(context):
    context.group.leads = False


@given("an engine has seen a higher number")
def step_higher(context):
    context.engine_list[0].highest_fence = 2


async def _roll(context, versions, first_ms, rest_ms):
    group = context.group
    context.counters = counters.Counters()
    context.engines = Engines(context.engine_list, context.time)
    targets = tuple(
        records.DirectTarget(
            engine.name,
            "s",
            "127.0.0.1",
            1,
            "d",
            8,
            version_by_model={MODEL: 1},
            is_held=engine.name in context.held_before,
        )
        for engine in context.engine_list
    )
    await group.propose(commands.ChangeDirectTargets(targets))
    roll = weights_roll.WeightsRoll(
        group,
        context.engines,
        weights_roll.RollSettings(),
        load_hub.LoadHub(context.time),
        "own",
        context.time,
        context.counters,
    )
    context.roll = roll
    await roll.start()
    context.held_counts = collections.Counter()
    watching = asyncio.create_task(_watch_held(context))
    try:
        await group.propose(commands.NameWeights(MODEL, versions[0]))
        if len(versions) > 1:
            await context.time.sleep(1_000)
            await group.propose(commands.NameWeights(MODEL, versions[1]))
        await context.time.sleep(first_ms)
        context.orders_first = context.engines.orders
        await context.time.sleep(rest_ms)
    finally:
        watching.cancel()
        await roll.stop()
        await asyncio.gather(*context.engines.late)


async def _watch_held(context):
    """Counts how often each engine is found held, and all looks."""
    while True:
        targets = context.group.machine.fleet.direct_target_by_key.values()
        context.held_counts.update(t.target_id for t in targets if t.is_held)
        context.held_counts["looks"] += 1
        await context.time.sleep(50)


@when("weights 2 are named and {seconds:d} s pass")
def step_named(context, seconds):
    asyncio.run(_roll(context, [2], seconds * 1_000, 10_000))


@when("weights 2 are named, weights 3 after 1 s, and {seconds:d} s pass")
def step_named_twice(context, seconds):
    asyncio.run(_roll(context, [2, 3], seconds * 1_000, 0))


@when("10 s more pass")
def step_more(context):
    """Passed already, after the orders were counted."""


@then("no order was given")
def step_no_order(context):
    assert context.orders_first == 0, context.orders_first


@then("every engine has weights {version:d}")
def step_all(context, version):
    for engine in context.engine_list:
        engine.settle()
        assert engine.version == version, (engine.name, engine.version)


@then("every engine that can be reached has weights {version:d}")
def step_all_reachable(context, version):
    for engine in context.engine_list:
        engine.settle()
        assert not engine.reachable or engine.version == version


@then("at most {most:d} engines loaded at one time")
def step_loading(context, most):
    assert 0 < context.engines.most_loading <= most


@then("every engine was held before its order and is held no more")
def step_were_held(context):
    targets = context.group.machine.fleet.direct_target_by_key.values()
    assert context.group.held == set(context.engines.by_name)
    assert not any(target.is_held for target in targets)


@then("the other engines have weights {version:d}")
def step_others(context, version):
    for engine in context.engine_list:
        engine.settle()
        assert engine is context.engine or engine.version == version


@then("that engine was held for at most {share:d} in 100 of the time")
def step_held_share(context, share):
    counts = context.held_counts
    held = counts[context.engine.name] / counts["looks"]
    assert held <= share / 100, held


@then("no engine that can't be reached is held")
def step_not_held(context):
    for target in context.group.machine.fleet.direct_target_by_key.values():
        engine = context.engines.by_name[target.target_id]
        assert engine.reachable or not target.is_held


@then("no load counted as failed")
def step_none_failed(context):
    assert not context.counters.value_by_name.get("weights.failed", 0)


@then("every engine loaded once")
def step_once(context):
    assert all(engine.loads == 1 for engine in context.engine_list)


@then("an engine is taken to be out of service for at most {most_ms:d} ms")
def step_out_ms(context, most_ms):
    assert context.roll._out_ms <= most_ms, context.roll._out_ms


@then("no number was used again after it was refused")
def step_no_reuse(context):
    refused = context.engine_list[0].refused
    assert refused, "no order was refused"
    for engine in context.engine_list:
        assert engine.fences.count(refused[0]) <= 1
