"""Steps for idle connections with long heartbeat intervals."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.settings import model
from lycheering.wire import heartbeat_schedule
from lycheering.wire import messages
from tests.steps import wire_steps
from tests.support import wire_calls
from tests.support import wire_ends


class FixedBudget:
    """A byte budget with a fixed heartbeat interval."""

    def __init__(self, interval_ms):
        self.interval_ms = interval_ms
        self.connection_count = 0

    def heartbeat_interval_ms(self):
        return self.interval_ms

    def spend(self, count, bytes_each):
        pass


@given("an agent's wire end behind a fault proxy")
def step_agent_end(context):
    wire_calls.start_server(context, role=messages.Role.AGENT)
    wire_steps.step_proxy_before(context)


@given(
    "an entry's wire connection with {interval:d} ms between idle heartbeats"
)
def step_entry_end(context, interval):
    context.client = wire_calls.make_peer(
        context, "client", role=messages.Role.ENTRY
    )
    context.budget = FixedBudget(interval)

    async def dial():
        context.connection = context.client.connect(
            "server", context.port, budget=context.budget
        )
        await context.connection.wait_ready(wire_calls.GIVE_UP_MS)

    wire_calls.run(context, dial())


def only_session(context):
    [session] = context.server.server.session_by_routing_id.values()
    return session


@when("nothing is sent for {time:d} ms")
def step_nothing_sent(context, time):
    context.session = only_session(context)
    context.last_received_ms = context.session.last_received_ms
    wire_calls.run(context, asyncio.sleep(time / clock.MS_PER_S))


@then("the agent's wire end received nothing and keeps the session")
def step_received_nothing(context):
    assert only_session(context) is context.session
    assert context.session.last_received_ms == context.last_received_ms


@when("the budget allows {interval:d} ms between idle heartbeats")
def step_allows(context, interval):
    context.budget.interval_ms = interval


@then("both wire ends use that interval")
def step_use_interval(context):
    interval_ms = context.budget.interval_ms
    session = only_session(context)
    connection = context.connection
    done = wire_ends.until(
        lambda: (
            session.heartbeat_ms == interval_ms
            and connection.idle_heartbeat_ms == interval_ms
        )
    )
    wire_calls.run(context, done)


@when("the fleet changes at both wire ends")
def step_fleet_changes(context):
    async def change():
        for peer in (context.client, context.server):
            peer.change(1)
            peer.server.push_view()

    wire_calls.run(context, change())


@when("the entry's fleet view is newer and can't be fetched from the entry")
def step_newer(context):
    client_view = context.client.view
    client_view.changes_since = lambda revision: None
    context.server.view.next_fetch = lambda *_, **__: None
    wire_calls.run(context, asyncio.sleep(0))
    context.client.change(1)


@when(
    "a wire call is held back until the agent gets that view from another peer"
)
def step_held_back(context):
    async def call():
        held = asyncio.create_task(
            context.connection.call(messages.StatusFetch())
        )
        session = only_session(context)
        await wire_ends.until(lambda: session.view_revision == 1)
        assert not context.server.handler.handled
        context.server.change(1)
        return await held

    context.reply = wire_calls.run(context, call())


@then("no wire end pushed the change")
def step_not_pushed(context):
    assert context.connection.peer_revision == 0
    assert only_session(context).view_revision == 0


@given("a heartbeat schedule with {interval:d} ms between idle heartbeats")
def step_schedule(context, interval):
    context.time = clock.ManualClock()
    context.heartbeats = heartbeat_schedule.HeartbeatSchedule(
        model.WireSettings(), context.time
    )
    context.heartbeats.reset(interval)


@when("a call begins after {time:d} ms")
def step_call_begins(context, time):
    context.time.advance(time)
    context.heartbeats.expect_frame()
    context.heartbeats.note_sent()


@then("a heartbeat is due after {time:d} ms without a reply, and not before")
def step_due(context, time):
    assert not context.heartbeats.is_heartbeat_due(is_busy=True)
    context.time.advance(time - 1)
    assert not context.heartbeats.is_heartbeat_due(is_busy=True)
    context.time.advance(1)
    assert context.heartbeats.is_heartbeat_due(is_busy=True)


def probe(context, timeout_ms):
    async def use():
        await context.connection.probe(timeout_ms)
        await context.connection.wait_ready(wire_calls.GIVE_UP_MS)

    wire_calls.run(context, use())
    return context.client.counters.value_by_name["wire.renewed"]


@then("a probe replaces the wire connection")
def step_probe_replaces(context):
    assert probe(context, 100) == 1


@then("a probe keeps the wire connection")
def step_probe_keeps(context):
    assert probe(context, wire_calls.GIVE_UP_MS) == 0


@when("the agent's wire end prepares an answer for the session")
def step_prepares_answer(context):
    context.server.handler.served.add(only_session(context))
