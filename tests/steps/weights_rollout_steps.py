"""Steps for updating direct engines to named weights, on a fast clock."""

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
from lycheering.control.direct import load_aggregator
from lycheering.control.direct import weights_rollout
from lycheering.fleet import records
from lycheering.telemetry import counters

MODEL = "m"
LOAD_MS = 800.0
CLOCK_SPEED = 8.0
LATE_ORDER_MS = 1_500.0


class FastClock(clock.Clock):
    """A clock that runs faster than real time by a constant factor."""

    def now_ms(self):
        return super().now_ms() * CLOCK_SPEED

    async def sleep(self, duration_ms):
        await super().sleep(duration_ms / CLOCK_SPEED)


class FakeEngine:
    """An engine that loads weights as ordered."""

    def __init__(self, name, time):
        self.name = name
        self.time = time
        self.version = 1
        self.sequence = 0
        self.load_count = 0
        self.load_ms = LOAD_MS
        self.is_reachable = True
        self.first_order_fault = ""
        self.first_reported_version = 0
        self.answers_orders = True
        self.highest_fence = 0
        self.refused_fences = []
        self.received_fences = []
        self.loading_until_ms = 0.0
        self.next_version = 1
        self.deadly_version = 0
        self.max_crashes = 0
        self.down_ms = 0.0
        self.crashed_ms = []

    @property
    def is_busy(self):
        return self.time.now_ms() < self.loading_until_ms

    @property
    def is_running(self):
        return not self.crashed_ms or (
            self.time.now_ms() >= self.crashed_ms[-1] + self.down_ms
        )

    def finish_load(self):
        """Ends a load that is due; after a crash the old weights are back."""
        if self.is_busy or self.version == self.next_version:
            return
        crashes = len(self.crashed_ms) < self.max_crashes
        if crashes and self.next_version == self.deadly_version:
            self.crashed_ms.append(self.loading_until_ms)
            self.next_version = self.version
            self.sequence = 0
        else:
            self.version = self.next_version

    def start_load(self, version):
        self.sequence += 1
        self.load_count += 1
        self.next_version = version
        self.loading_until_ms = self.time.now_ms() + self.load_ms


class FakeEngineCalls(api.EngineCalls):
    """Answers the calls to a set of fake engines."""

    def __init__(self, engines, time):
        self.engine_by_name = {engine.name: engine for engine in engines}
        self.time = time
        self.order_count = 0
        self.max_loading = 0
        self.late_orders = []

    async def fetch_report(self, target):
        engine = self.engine_by_name[target.target_id]
        engine.finish_load()
        if not engine.is_reachable or not engine.is_running:
            raise api.EngineUnreachableError("gone")
        version = engine.first_reported_version or engine.version
        engine.first_reported_version = 0
        return api.EngineReport(
            {MODEL: version}, engine.is_busy, engine.sequence
        )

    async def send_order(self, target, order):
        engine = self.engine_by_name[target.target_id]
        self.order_count += 1
        engine.received_fences.append(order.fence)
        fault, engine.first_order_fault = engine.first_order_fault, ""
        if fault == "lost" or not engine.answers_orders:
            return api.OrderResult.UNKNOWN
        if fault == "late":
            self.late_orders.append(
                asyncio.create_task(self._take_later(engine, order))
            )
            return api.OrderResult.UNKNOWN
        return self._take(engine, order)

    async def _take_later(self, engine, order):
        await self.time.sleep(LATE_ORDER_MS)
        self._take(engine, order)

    def _take(self, engine, order):
        if order.fence < engine.highest_fence:
            engine.refused_fences.append(order.fence)
            return api.OrderResult.FENCED
        engine.highest_fence = order.fence
        if engine.is_busy or order.sequence != engine.sequence:
            return api.OrderResult.CONFLICT
        engine.start_load(order.version)
        loading = sum(item.is_busy for item in self.engine_by_name.values())
        self.max_loading = max(self.max_loading, loading)
        return api.OrderResult.ACCEPTED


class FakeGroup:
    """A replicated log with a single member."""

    def __init__(self):
        self.machine = machine.ControlMachine()
        self.is_leading = True
        self.held_target_ids = set()
        self._index = 0

    def is_leader(self):
        return self.is_leading

    async def propose(self, command):
        self._index += 1
        data = commands.encode(command)
        reply = self.machine.apply(self._index, data)
        targets = self.machine.fleet.direct_target_by_key.values()
        self.held_target_ids |= {t.target_id for t in targets if t.is_held}
        return commands.decode_reply(reply)


@given("{count:d} engines on weights 1")
def step_engines(context, count):
    context.time = FastClock()
    context.engine_list = [
        FakeEngine(f"e{number}", context.time) for number in range(count)
    ]
    context.group = FakeGroup()
    context.initially_held = set()


@given("{count:d} of them can't be reached")
def step_unreachable(context, count):
    for engine in context.engine_list[:count]:
        engine.is_reachable = False


@given("the first order to each engine gets no answer and is {fault}")
def step_first_order(context, fault):
    for engine in context.engine_list:
        engine.first_order_fault = "lost" if fault == "lost" else "late"


@given("the first report of each engine says that it has weights {version:d}")
def step_first_report(context, version):
    for engine in context.engine_list:
        engine.first_reported_version = version


@given("one engine never answers an order")
def step_never_answers(context):
    context.engine = context.engine_list[0]
    context.engine.answers_orders = False


@given("one engine refuses every fencing number")
def step_refuses_fences(context):
    context.engine = context.engine_list[0]
    context.engine.highest_fence = 10**9


@then("at most {most:d} fencing numbers were acquired")
def step_fences(context, most):
    fences = {f for e in context.engine_list for f in e.received_fences}
    assert len(fences) <= most, fences


@given("that instance held an engine that now has weights 2")
def step_held(context):
    context.engine = context.engine_list[0]
    context.engine.version = context.engine.next_version = 2
    context.initially_held = {context.engine.name}


@given(
    "weights 2 crash each engine that loads them, which is back after"
    " {down_ms:d} ms"
)
def step_deadly_weights(context, down_ms):
    crash_in_load(context.engine_list, down_ms, 1_000)


@given(
    "{count:d} engines crash once as they load weights 2 and are back after"
    " {down_ms:d} ms"
)
def step_accidents(context, count, down_ms):
    crash_in_load(context.engine_list[:count], down_ms, 1)


def crash_in_load(engines, down_ms, max_crashes):
    for engine in engines:
        engine.deadly_version = 2
        engine.down_ms = down_ms
        engine.max_crashes = max_crashes


@given("each load takes {load_ms:d} ms")
def step_load_time(context, load_ms):
    for engine in context.engine_list:
        engine.load_ms = float(load_ms)


@given("another instance gave orders before")
def step_previous_holder(context):
    asyncio.run(context.group.propose(commands.TakeDirectOrders("other")))


@given("the instance is elected again after {delay_ms:d} ms")
def step_elected_again(context, delay_ms):
    context.elected_again_after_ms = delay_ms


@given("the instance was the holder, and then started")
def step_was_holder(context):
    asyncio.run(context.group.propose(commands.TakeDirectOrders("own")))


async def lose_leadership_once(context, after_ms):
    await context.time.sleep(after_ms)
    context.group.is_leading = False
    await context.time.sleep(200)
    context.group.is_leading = True


@then("an order was given")
def step_ordered(context):
    assert context.early_order_count > 0


@given("the instance is not the leader")
def step_not_leader(context):
    context.group.is_leading = False


@given("an engine has seen a higher fencing number")
def step_higher_fence(context):
    context.engine_list[0].highest_fence = 2


async def _run_updates(context, versions, early_ms, late_ms):
    group = context.group
    context.counters = counters.Counters()
    context.engines = FakeEngineCalls(context.engine_list, context.time)
    targets = tuple(
        records.DirectTarget(
            engine.name,
            "s",
            "127.0.0.1",
            1,
            "d",
            8,
            version_by_model={MODEL: 1},
            is_held=engine.name in context.initially_held,
        )
        for engine in context.engine_list
    )
    await group.propose(commands.ChangeDirectTargets(targets))
    updates = weights_rollout.WeightsRollout(
        group,
        context.engines,
        weights_rollout.RolloutSettings(),
        load_aggregator.LoadAggregator(context.time),
        "own",
        context.time,
        context.counters,
    )
    context.updates = updates
    await updates.start()
    context.held_sample_counts = collections.Counter()
    context.running_samples = []
    sampling = asyncio.create_task(_sample_held(context))
    elected_again_after_ms = getattr(context, "elected_again_after_ms", 0)
    if elected_again_after_ms:
        context.loss = asyncio.create_task(
            lose_leadership_once(context, elected_again_after_ms)
        )
    try:
        await group.propose(commands.NameWeights(MODEL, versions[0]))
        if len(versions) > 1:
            await context.time.sleep(1_000)
            await group.propose(commands.NameWeights(MODEL, versions[1]))
        await context.time.sleep(early_ms)
        context.early_order_count = context.engines.order_count
        await context.time.sleep(late_ms)
    finally:
        sampling.cancel()
        await updates.stop()
        await asyncio.gather(*context.engines.late_orders)


async def _sample_held(context):
    """Samples how often each engine is held, and counts the samples."""
    while True:
        for engine in context.engine_list:
            engine.finish_load()
        running = sum(engine.is_running for engine in context.engine_list)
        context.running_samples.append(running)
        targets = context.group.machine.fleet.direct_target_by_key.values()
        context.held_sample_counts.update(
            t.target_id for t in targets if t.is_held
        )
        context.held_sample_counts["samples"] += 1
        await context.time.sleep(50)


@when("weights 2 are named and {seconds:d} s pass")
def step_named(context, seconds):
    asyncio.run(_run_updates(context, [2], seconds * 1_000, 10_000))


@when("weights 2 are named, weights 3 after 1 s, and {seconds:d} s pass")
def step_named_twice(context, seconds):
    asyncio.run(_run_updates(context, [2, 3], seconds * 1_000, 0))


@when("10 s more pass")
def step_more(context):
    """Does nothing, as the previous step ran for these 10 s as well."""


@then("no order was given")
def step_no_order(context):
    assert context.early_order_count == 0, context.early_order_count


@then("every engine has weights {version:d}")
def step_all_updated(context, version):
    for engine in context.engine_list:
        engine.finish_load()
        assert engine.version == version, (engine.name, engine.version)


@then("every engine that can be reached has weights {version:d}")
def step_reachable_updated(context, version):
    for engine in context.engine_list:
        engine.finish_load()
        assert not engine.is_reachable or engine.version == version


@then("at most {most:d} engines loaded at one time")
def step_loading(context, most):
    assert 0 < context.engines.max_loading <= most


@then("every engine was held before its order and is not held any more")
def step_were_held(context):
    targets = context.group.machine.fleet.direct_target_by_key.values()
    assert context.group.held_target_ids == set(context.engines.engine_by_name)
    assert not any(target.is_held for target in targets)


@then("the other engines have weights {version:d}")
def step_others_updated(context, version):
    for engine in context.engine_list:
        engine.finish_load()
        assert engine is context.engine or engine.version == version


@then("that engine was held for at most {share:d} in 100 of the time")
def step_held_share(context, share):
    counts = context.held_sample_counts
    held = counts[context.engine.name] / counts["samples"]
    assert held <= share / 100, held


@then("no engine that can't be reached is held")
def step_not_held(context):
    for target in context.group.machine.fleet.direct_target_by_key.values():
        engine = context.engines.engine_by_name[target.target_id]
        assert engine.is_reachable or not target.is_held


@then("no load counted as failed")
def step_none_failed(context):
    assert not context.counters.value_by_name.get("weights.failed", 0)


@then("every engine loaded once")
def step_loaded_once(context):
    assert all(engine.load_count == 1 for engine in context.engine_list)


@then("the mean time out of service is at most {max_ms:d} ms")
def step_out_ms(context, max_ms):
    assert context.updates._mean_out_ms <= max_ms, context.updates._mean_out_ms


@then("no fencing number was used again after it was refused")
def step_no_reuse(context):
    refused_fences = context.engine_list[0].refused_fences
    assert refused_fences, "no order was refused"
    for engine in context.engine_list:
        assert engine.received_fences.count(refused_fences[0]) <= 1


@then("loads crashed engines at most {most:d} times")
def step_crashes(context, most):
    crashes = sum(len(engine.crashed_ms) for engine in context.engine_list)
    assert 0 < crashes <= most, crashes


@then("{count:d} or more engines ran for {share:d} in 100 of the time")
def step_ran(context, count, share):
    samples = context.running_samples
    enough = sum(running >= count for running in samples)
    assert enough >= len(samples) * share / 100, (enough, len(samples))
