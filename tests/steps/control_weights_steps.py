"""Steps for weight loads that the leader orders."""

from __future__ import annotations

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when

from lycheering.wire import errors
from lycheering.wire import messages
from tests.steps import control_wire_steps
from tests.support import processes

LOAD_S = 0.3
MS_PER_S = 1_000


class LoadingAgent:
    """A scripted agent whose engine takes a while to load weights."""

    def __init__(self, context, name, tally, load_s):
        self.peer = control_wire_steps.join_agent(context, name)
        self.version = "v1"
        self.loading = ""
        self.load_s = load_s
        self.fences = []
        self.tally = tally
        self.reports = 0
        self.instances = list(self.peer.connection_by_name)
        self.peer.handler.handle = self.handle
        self.peers = context.peers
        self.reporting = asyncio.run_coroutine_threadsafe(
            self.report(), self.peers.loop
        )

    async def handle(self, session, envelope):
        order = envelope.message
        if not isinstance(order, messages.TargetOrder):
            return
        if order.fence not in self.fences:
            self.fences.append(order.fence)
            self.load = asyncio.ensure_future(self.load_weights(order.version))
        # a resend with the same fencing number is answered after the load
        await self.load
        session.send(
            messages.TargetOrderReply(True, order.fence), envelope.call_id
        )

    async def load_weights(self, version):
        self.tally.begin()
        self.loading = version
        await asyncio.sleep(self.load_s)
        self.tally.end()
        self.version = version
        self.loading = ""

    async def report(self):
        while True:
            for instance in self.instances:
                self.report_to(instance, self.loading)
            await asyncio.sleep(0.1)

    def report_to(self, instance, loading):
        """Sends a report if connected; returns whether it was sent."""
        connection = self.peer.connection_by_name[instance]
        if not connection.is_connected:
            return False
        self.reports += 1
        report = messages.TargetReport(
            self.peer.name,
            self.peer.incarnation,
            "e1",
            self.version,
            (),
            "general",
            messages.LoadReport(),
            loading,
            self.reports,
        )
        try:
            connection.send(report)
        except errors.PeerUnreachableError:
            # the connection is lost, but does not know it yet
            return False
        return True

    async def move(self, old, new):
        """Reports a load to one instance, then reports to another one only."""
        self.instances = []
        while not self.report_to(old, "v0"):
            await asyncio.sleep(0.02)
        self.instances = [new]

    def close(self):
        self.reporting.cancel()


@dataclasses.dataclass
class LoadTally:
    """Counts the agents that load now, and the highest such count."""

    current: int = 0
    highest: int = 0

    def begin(self):
        self.current += 1
        self.highest = max(self.highest, self.current)

    def end(self):
        self.current -= 1


@given("{count:d} scripted agents that load weights")
@given("{count:d} scripted agents that load weights in {load_ms:d} ms")
def step_loading(context, count, load_ms=LOAD_S * MS_PER_S):
    context.tally = LoadTally()
    context.loading = []
    for number in range(count):
        agent = LoadingAgent(
            context, f"t{number}", context.tally, load_ms / MS_PER_S
        )
        context.stack.callback(agent.close)
        context.loading.append(agent)


@given('each of them reported a load to "{old}" before it moved to "{new}"')
def step_moved(context, old, new):
    for agent in context.loading:
        context.peers.run(agent.move(old, new))


@when('weights.version is set to "{version}" for all targets')
def step_set_version(context, version):
    answer = context.group.set_default("c1", "weights.version", version)
    assert answer.status == 200


@when("the first load has begun")
def step_first_load(context):
    processes.wait_for(lambda: context.tally.highest, "a load")


@then('all {count:d} agents come to serve "{version}"')
def step_all_serve(context, count, version):
    def served():
        versions = [agent.version for agent in context.loading]
        return versions == [version] * count

    processes.wait_for(served, "all agents to serve it", 60)


@then("at most {count:d} of them loaded at once")
def step_at_most(context, count):
    assert context.tally.highest <= count, context.tally


@then("each of them loaded once")
def step_once(context):
    assert not any(agent.reporting.done() for agent in context.loading)
    counts = [len(agent.fences) for agent in context.loading]
    assert counts == [1] * len(counts), counts


@then("all fencing numbers differ, and they grow on each agent")
def step_fences(context):
    fences = [agent.fences for agent in context.loading]
    everything = sum(fences, [])
    assert len(everything) == len(set(everything))
    assert all(numbers == sorted(numbers) for numbers in fences)
