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


class SteppedClock(clock.ManualClock):
    """A clock whose sleepers wake as it is put forward."""

    async def sleep(self, duration_ms):
        wake_ms = self.time_ms + duration_ms
        while self.time_ms < wake_ms:
            await asyncio.sleep(0)


class ScriptedFleet:
    """One target that does what it is told, as the task on the leader sees it.

    It stands in for the group, the status, the connections and the agent.
    """

    def __init__(self):
        self.clock = SteppedClock()
        self.fleet = view.FleetView()
        self.orders = []
        self.answered_ms = []
        self.weights = "v1"
        self.role = "mixed"
        target = records.Target(
            "t0",
            records.TargetKind.ENGINE,
            "worker-0",
            "127.0.0.1",
            1,
            "i1",
            "fd1",
            model="drafting",
        )
        self.want(changes.TargetPut(target))
        self.machine = types.SimpleNamespace(fleet=self.fleet)
        self.log = types.SimpleNamespace(check_lease=lambda: None)
        self.peer_incarnation = "i1"

    def want(self, change):
        self.fleet.make(change, by_operator=False)

    def is_leader(self):
        return True

    async def propose(self, _):
        return commands.FenceGranted(len(self.orders) + 1)

    async def follow(self):
        report = messages.TargetReport(
            "t0", "i1", "e1", self.weights, (), self.role, messages.LoadReport()
        )
        return fleet_status.FleetSnapshot({}, {"t0": report}, (), {})

    def get(self, _):
        return self

    async def ready(self, _):
        return None

    async def call(self, order, _):
        self.orders.append(order)
        await self.clock.sleep(LOAD_MS)
        self.answered_ms.append(self.clock.now_ms())
        self.role = order.role or self.role
        self.weights = order.version or self.weights
        return messages.TargetOrderReply(True, order.fence)

    async def run_until(self, condition):
        while not condition() and self.clock.now_ms() < GIVE_UP_MS:
            for _ in range(TURNS):
                await asyncio.sleep(0)
            self.clock.advance(STEP_MS)
        assert condition(), self.orders


async def order_twice(scripted):
    task = target_orders.TargetOrdersTask(
        scripted, scripted, scripted, scripted.clock, counters.Counters()
    )
    await task.start()
    await scripted.run_until(lambda: scripted.orders)
    scripted.want(changes.DefaultSet("weights.version", "v2"))
    await scripted.run_until(lambda: scripted.weights == "v2")
    await task.stop()


@given("a leader of scripted targets on a clock of its own")
def step_leader(context):
    context.scripted = ScriptedFleet()


@when("other weights are wanted before the first order has settled")
def step_wanted(context):
    asyncio.run(order_twice(context.scripted))


@then("they are ordered within two checks of its settling")
def step_ordered(context):
    first_ms, second_ms = context.scripted.answered_ms
    settled_ms = first_ms + target_orders.REPORT_SETTLE_MS
    allowed_ms = LOAD_MS + 2 * target_orders.CHECK_INTERVAL_MS + 4 * STEP_MS
    assert second_ms <= settled_ms + allowed_ms, (first_ms, second_ms)
