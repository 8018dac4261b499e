"""Steps for the task that sends orders to targets, on a simulated clock."""

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
LOOP_TURNS = 40  # more event loop turns than the tasks need between two sleeps
GIVE_UP_MS = 60_000
# longer than an order's settling, a new leader's wait and a load together
SETTLED_MS = 2 * target_orders.REPORT_SETTLE_MS + 2 * LOAD_MS


class SteppedClock(clock.ManualClock):
    """A clock whose sleepers wake when it is advanced."""

    async def sleep(self, duration_ms):
        wake_ms = self.time_ms + duration_ms
        while self.time_ms < wake_ms:
            await asyncio.sleep(0)


class ScriptedTarget:
    """A target with its agent; stands in for the connection to the agent."""

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

    async def wait_ready(self, _):
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
    """Targets that carry out all orders.

    Stands in for the group, the fleet status and the connection pool of the
    task.
    """

    def __init__(self, count=1):
        self.clock = SteppedClock()
        self.fleet = view.FleetView()
        self.is_leading = True
        self.target_by_name = {
            f"t{number}": ScriptedTarget(f"t{number}", self.clock)
            for number in range(count)
        }
        for target in self.target_by_name.values():
            self.apply_change(changes.TargetPut(target.record()))
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

    def apply_change(self, change):
        self.fleet.add_change(change, by_operator=False)

    def is_leader(self):
        return self.is_leading

    async def propose(self, _):
        return commands.FenceGranted(len(self.orders) + 1)

    async def collect_incrementally(self):
        report_by_target = {
            name: target.report()
            for name, target in self.target_by_name.items()
        }
        return fleet_status.FleetSnapshot({}, report_by_target, (), {})

    def clear_remote_statuses(self):
        """Does nothing, since the status is always whole."""

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
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        self.clock.advance(STEP_MS)


async def order_twice(scripted):
    only = scripted.targets[0]
    await scripted.task.start()
    await scripted.run_until(lambda: only.orders)
    scripted.apply_change(changes.DefaultSet("weights.version", "v2"))
    await scripted.run_until(lambda: only.weights == "v2")
    await scripted.task.stop()


async def start_loads(scripted):
    """Returns the target whose order waits while the others load."""
    for target in scripted.targets:
        target.role = "general"
    scripted.apply_change(changes.DefaultSet("weights.version", "v2"))
    await scripted.task.start()
    await scripted.run_until(
        lambda: len(scripted.orders) == target_orders.MAX_CONCURRENT_LOADS
    )
    (waiting,) = [t for t in scripted.targets if not t.orders]
    return waiting


async def serve_during_wait(scripted):
    waiting = await start_loads(scripted)
    waiting.weights = "v2"
    await scripted.run_for(SETTLED_MS)
    await scripted.task.stop()


async def lose_leadership(scripted):
    waiting = await start_loads(scripted)
    scripted.is_leading = False
    waiting.loading = "v2"
    await scripted.run_for(2 * target_orders.CHECK_INTERVAL_MS)
    scripted.is_leading = True
    await scripted.run_for(SETTLED_MS)
    waiting.loading, waiting.weights = "", "v2"
    await scripted.run_for(SETTLED_MS)
    await scripted.task.stop()


@given("a leader with scripted targets and a simulated clock")
def step_leader(context):
    context.scripted = ScriptedFleet()


@given("a leader with {count:d} scripted targets and a simulated clock")
def step_leader_of(context, count):
    context.scripted = ScriptedFleet(count)


@when("one target comes to serve the weights while its order waits")
def step_serves(context):
    asyncio.run(serve_during_wait(context.scripted))


@when("another leader starts the load whose order waits here")
def step_other_leader(context):
    asyncio.run(lose_leadership(context.scripted))


@then("each target got at most one order, that one none")
def step_once(context):
    counts = sorted(len(t.orders) for t in context.scripted.targets)
    assert counts == [0, 1, 1], counts


@when("the weights option changes before the first order has settled")
def step_wanted(context):
    asyncio.run(order_twice(context.scripted))


@then("the new weights are ordered within two checks after it has settled")
def step_ordered(context):
    first_ms, second_ms = context.scripted.targets[0].answered_ms
    settled_ms = first_ms + target_orders.REPORT_SETTLE_MS
    allowed_ms = LOAD_MS + 2 * target_orders.CHECK_INTERVAL_MS + 4 * STEP_MS
    assert second_ms <= settled_ms + allowed_ms, (first_ms, second_ms)
