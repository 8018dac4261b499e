"""Steps for the task that orders targets, on a clock moved by hand."""

from __future__ import annotations

import asyncio
import types

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.control import commands
from lycheering.control import fleet_status
from lycheering.control import target_orders
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.telemetry import counters
from lycheering.wire import messages

STEP_MS = 50
LOAD_MS = 800
TURNS = 40  # more than the tasks take from one sleep to the next
GIVE_UP_MS = 60_000
# more than an order settles, a leader waits and a load takes
SETTLED_MS = 2 * target_orders.REPORT_SETTLE_MS + 2 * LOAD_MS


class SteppedClock(clock.ManualClock):
    """A clock whose sleepers wake as it is put forward."""

    async def sleep(self, duration_ms):
        wake_ms = self.time_ms + duration_ms
        while self.time_ms < wake_ms:
            await asyncio.sleep(0)


class ScriptedTarget:
    """A target and its agent, as a connection to the agent shows them."""

    def __init__(self, name, time):
        self.name = name
        self.peer_incarnation = "i1"
        self.weights = "v1"
        self.role = "mixed"
        self.loading = ""
        self.orders = []
        self.answered_ms = []
        self._clock = time

    def record(self):
        return records.Target(
            self.name,
            records.TargetKind.ENGINE,
            f"worker-{self.name}",
            "127.0.0.1",
            1,
            "i1",
            "fd1",
            model="drafting",
        )

    def report(self):
        return messages.TargetReport(
            self.name,
            "i1",
            "e1",
            self.weights,
            (),
            self.role,
            messages.LoadReport(),
            self.loading,
        )

    async def ready(self, _):
        return None

    async def call(self, order, _):
        self.orders.append(order)
        self.loading = order.version
        await self._clock.sleep(LOAD_MS)
        self.loading = ""
        self.answered_ms.append(self._clock.now_ms())
        self.role = order.role or self.role
        self.weights = order.version or self.weights
        return messages.TargetOrderReply(True, order.fence)


class ScriptedFleet:
    """Targets that do what they are told, as the task on the leader sees them.

    It stands in for the group, the status and the connections.
    """

    def __init__(self, count=1):
        self.clock = SteppedClock()
        self.fleet = view.FleetView()
        self.leads = True
        self.target_by_name = {
            f"t{number}": ScriptedTarget(f"t{number}", self.clock)
            for number in range(count)
        }
        for target in self.target_by_name.values():
            self.want(changes.TargetPut(target.record()))
        self.machine = types.SimpleNamespace(fleet=self.fleet)
        self.log = types.SimpleNamespace(check_lease=lambda: None)
        self.task = target_orders.TargetOrdersTask(
            self, self, self, self.clock, counters.Counters()
        )

    @property
    def targets(self):
        return list(self.target_by_name.values())

    @property
    def orders(self):
        return [order for target in self.targets for order in target.orders]

    def want(self, change):
        self.fleet.make(change, by_operator=False)

    def is_leader(self):
        return self.leads

    async def propose(self, _):
        return commands.FenceGranted(len(self.orders) + 1)

    async def collect_incrementally(self):
        report_by_target = {
            name: target.report()
            for name, target in self.target_by_name.items()
        }
        return fleet_status.FleetSnapshot({}, report_by_target, (), {})

    def clear_remote_statuses(self):
        """Has nothing that it builds on."""

    def get(self, address):
        return self.target_by_name[address.name]

    async def run_until(self, condition):
        while not condition() and self.clock.now_ms() < GIVE_UP_MS:
            await self.step()
        assert condition(), self.orders

    async def run_for(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            await self.step()

    async def step(self):
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.clock.advance(STEP_MS)


async def order_twice(scripted):
    only = scripted.targets[0]
    await scripted.task.start()
    await scripted.run_until(lambda: only.orders)
    scripted.want(changes.DefaultSet("weights.version", "v2"))
    await scripted.run_until(lambda: only.weights == "v2")
    await scripted.task.stop()


async def begin_loads(scripted):
    """Returns the target whose order waits while the others load."""
    for target in scripted.targets:
        target.role = "general"
    scripted.want(changes.DefaultSet("weights.version", "v2"))
    await scripted.task.start()
    await scripted.run_until(
        lambda: len(scripted.orders) == target_orders.MAX_CONCURRENT_LOADS
    )
    (waiting,) = [t for t in scripted.targets if not t.orders]
    return waiting


async def serve_meanwhile(scripted):
    waiting = await begin_loads(scripted)
    waiting.weights = "v2"
    await scripted.run_for(SETTLED_MS)
    await scripted.task.stop()


async def lose_office(scripted):
    waiting = await begin_loads(scripted)
    scripted.leads = False
    waiting.loading = "v2"
    await scripted.run_for(2 * target_orders.CHECK_INTERVAL_MS)
    scripted.leads = True
    await scripted.run_for(SETTLED_MS)
    waiting.loading, waiting.weights = "", "v2"
    await scripted.run_for(SETTLED_MS)
    await scripted.task.stop()


@given("a leader of scripted targets on a clock of its own")
def step_leader(context):
    context.scripted = ScriptedFleet()


@given("a leader of {count:d} scripted targets on a clock of its own")
def step_leader_of(context, count):
    context.scripted = ScriptedFleet(count)


@when("one target serves the wanted weights while its order waits")
def step_serves(context):
    asyncio.run(serve_meanwhile(context.scripted))


@when("another leader begins the load whose order waits here")
def step_other_leader(context):
    asyncio.run(lose_office(context.scripted))


@then("each target was ordered once at most, that one never")
def step_once(context):
    counts = sorted(len(t.orders) for t in context.scripted.targets)
    assert counts == [0, 1, 1], counts


@when("other weights are wanted before the first order has settled")
def step_wanted(context):
    asyncio.run(order_twice(context.scripted))


@then("they are ordered within two checks of its settling")
def step_ordered(context):
    first_ms, second_ms = context.scripted.targets[0].answered_ms
    settled_ms = first_ms + target_orders.REPORT_SETTLE_MS
    allowed_ms = LOAD_MS + 2 * target_orders.CHECK_INTERVAL_MS + 4 * STEP_MS
    assert second_ms <= settled_ms + allowed_ms, (first_ms, second_ms)
