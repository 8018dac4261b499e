"""Steps for the budget of bytes sent to agents besides requests."""

from __future__ import annotations

import asyncio
import resource
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import zmq

from lycheering import clock
from lycheering.entry import cache_inquiries
from lycheering.entry import dispatch
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view_holder
from lycheering.routing import levels
from lycheering.routing import router
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import byte_budget
from lycheering.wire import messages
from lycheering.wire import pool
from lycheering.wire import sockets

LONG_QUEUE_MS = 60_000


def new_budget(targets, rate_per_s=4_800):
    time = clock.ManualClock()
    settings = model.WireSettings(control_bytes_per_s=rate_per_s)
    budget = byte_budget.ByteBudget(settings, time)
    budget.target_count = targets
    return budget, time


@given("a byte budget of {rate:d} a second in a fleet of {targets:d} targets")
def step_budget(context, rate, targets):
    context.budget, context.time = new_budget(targets, rate)


@when("{count:d} connections to agents are open")
def step_open(context, count):
    context.budget.connection_count = count


@then("an idle one has a heartbeat each {interval:d} ms")
def step_interval(context, interval):
    assert int(context.budget.heartbeat_interval_ms()) == interval


@when("{rate:d} requests a second ask {wanted:d} agents each for {time_s:d} s")
def step_ask_often(context, rate, wanted, time_s):
    context.asked = []
    for _ in range(rate * time_s):
        context.time.advance(clock.MS_PER_S / rate)
        count = min(wanted, context.budget.allowed_inquiries())
        context.budget.spend(count, byte_budget.INQUIRY_BYTES)
        context.asked.append(count)


@then("at most {most:d} bytes were spent on asking")
def step_spent(context, most):
    spent = sum(context.asked) * byte_budget.INQUIRY_BYTES
    assert 0 < spent <= most, spent


@then("each request asked at least {least:d} agents")
def step_asked_least(context, least):
    assert min(context.asked) >= least, context.asked


@when("{rate:d} connections a second are made for {time_s:d} s")
def step_connect_often(context, rate, time_s):
    for _ in range(rate * time_s):
        context.time.advance(clock.MS_PER_S / rate)
        context.budget.spend(1, byte_budget.CONNECT_BYTES)


@then("no agent may be asked")
def step_no_agent_asked(context):
    assert context.budget.allowed_inquiries() == 0


@then("agents may be asked again after {time_s:d} s")
def step_asked_again(context, time_s):
    context.time.advance(time_s * clock.MS_PER_S)
    assert context.budget.allowed_inquiries() > 0


def new_target(number):
    return records.Target(
        f"target-{number}",
        records.TargetKind.ENGINE,
        "instance",
        "127.0.0.1",
        number + 1,
        "incarnation",
        "domain-a",
        model="model",
    )


class CountingConnection:
    """A connection that counts inquiries."""

    def __init__(self, *, is_connected):
        self.is_connected = is_connected
        self.sent_calls = 0

    def send_call(self, inquiry, timeout_ms):
        self.sent_calls += 1
        return mock.Mock(receive=mock.AsyncMock(return_value=None))


class CountingPool:
    """A pool that counts the connections it creates."""

    def __init__(self, addresses):
        self.created = 0
        self.by_address = {
            address: CountingConnection(is_connected=True)
            for address in addresses
        }

    def find(self, address):
        return self.by_address.get(address)

    def get(self, address):
        if address not in self.by_address:
            self.created += 1
            self.by_address[address] = CountingConnection(is_connected=False)
        return self.by_address[address]


@given(
    "an entry that knows {targets:d} targets and is connected to {count:d} of"
    " them"
)
def step_entry(context, targets, count):
    context.asked = [new_target(number) for number in range(6)]
    budget, time = new_budget(targets)
    addresses = [api.agent_address(t) for t in context.asked[:count]]
    context.targets = types.SimpleNamespace(
        clock=time,
        budget=budget,
        connections=CountingPool(addresses),
        counters=counters.Counters(),
        is_usable=lambda name: True,
    )


@when("it asks {count:d} agents for a request")
def step_asks(context, count):
    job = types.SimpleNamespace(
        levels=levels.Levels(),
        team="team",
        priority=5,
    )
    asked = context.asked[:count]
    asyncio.run(cache_inquiries.query_agents(context.targets, asked, job, 25))


@then("it made {made:d} connections and sent {sent:d} inquiries")
@then("it made no connection and sent {sent:d} inquiries")
def step_made(context, sent, made=0):
    found = context.targets.connections
    assert found.created == made, found.created
    assert sum(c.sent_calls for c in found.by_address.values()) == sent


class BusyConnection(CountingConnection):
    """A connection to an agent that reports a long queue."""

    peer_load = messages.LoadReport()
    peer_load_at_ms = 0.0

    def send_call(self, inquiry, timeout_ms):
        self.sent_calls += 1
        report = messages.CacheReport(0, LONG_QUEUE_MS, 20.0, 0.0, 0.0)
        return mock.Mock(receive=mock.AsyncMock(return_value=report))


@given(
    "an entry that is connected to {count:d} engines, each with a long queue"
)
def step_engines(context, count):
    view = view_holder.ViewHolder()
    budget, time = new_budget(count)
    found = CountingPool(())
    for number in range(count):
        target = new_target(number)
        view.fleet.add_change(changes.TargetPut(target), by_operator=False)
        address = api.agent_address(target)
        found.by_address[address] = BusyConnection(is_connected=True)
    context.targets = types.SimpleNamespace(
        clock=time,
        budget=budget,
        view=view,
        router=router.Router(view, time, "domain-a"),
        connections=found,
        counters=counters.Counters(),
        is_usable=lambda name: True,
    )


@when("it has bytes left to ask {count:d} agents and chooses a target")
def step_chooses(context, count):
    budget = context.targets.budget
    while budget.allowed_inquiries() > count:
        budget.spend(1, byte_budget.INQUIRY_BYTES)
    job = mock.Mock(
        request_id="r1",
        caller_request_id="",
        team="team",
        priority=5,
        requirement=router.TargetRequirement(model="model"),
        levels=levels.from_declared_ends(
            "x" * 8_000, [8_000], model="", team="", shared_count=1
        ),
    )
    decision = asyncio.run(dispatch.choose_target(context.targets, job, 1, []))
    address = api.agent_address(decision.target)
    context.chosen = context.targets.connections.by_address[address]


@then("it chose one of the {count:d} that it asked")
def step_chose_asked(context, count):
    connections = context.targets.connections.by_address.values()
    assert sum(c.sent_calls for c in connections) == count
    assert context.chosen.sent_calls == 1


@then("a context has room for {count:d} connections that are watched")
def step_room_for(context, count):
    found = sockets.new_context()
    # a connection has its own socket and the two ends of its socket monitor
    context.room = found.get(zmq.MAX_SOCKETS) // 3
    found.term()
    assert context.room >= count, context.room


@then("no more are kept than it has room for")
def step_no_more(context):
    no_limit = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    for limit in (no_limit, (1_000_000, 1_000_000)):
        with mock.patch.object(resource, "getrlimit", return_value=limit):
            assert sockets.max_connections() <= context.room
    with mock.patch.object(resource, "getrlimit", return_value=(1_024, 1_024)):
        assert sockets.max_connections() == 128


@given(
    "a pool of an entry's connections, {agents:d} to agents and 1 to control"
)
def step_pool(context, agents):
    budget, context.time = new_budget(940)
    link = types.SimpleNamespace(
        clock=context.time,
        settings=model.WireSettings(),
        counters=counters.Counters(),
    )
    context.pool = pool.ConnectionPool(link, budget)
    context.budget = budget
    context.most = 100
    connect_pool(context, agents)
    control = api.Address("control", "127.0.0.1", 9, is_control=True)
    with mock.patch.object(pool.client.Connection, "start"):
        context.pool.get(control)


def connect_pool(context, agents):
    before = context.budget.allowed_inquiries()
    with mock.patch.object(pool.client.Connection, "start"):
        for number in range(agents):
            name = f"agent-{number}"
            context.pool.get(api.Address(name, "127.0.0.1", number + 1))
    return before - context.budget.allowed_inquiries()


@then("only connections made again take bytes from the budget")
def step_charged(context):
    assert connect_pool(context, 3) > 0
    # the first three exist already, so only the fourth is new
    assert connect_pool(context, 4) == 0


def close_surplus_and_idle(context):
    with mock.patch.object(
        sockets, "max_connections", return_value=context.most
    ):
        asyncio.run(context.pool.close_surplus_and_idle())


@when("they are unused for {time:d} ms")
def step_unused(context, time):
    context.time.advance(time)
    close_surplus_and_idle(context)


@when("the limit on open files leaves room for {most:d}")
def step_room(context, most):
    context.most = most
    close_surplus_and_idle(context)


@then("{count:d} connections to agents are kept")
def step_kept(context, count):
    kept = context.pool.connection_by_address
    assert len(kept) == count, list(kept)
