"""Steps for connections of the inner protocol and their fleet view."""

from __future__ import annotations

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when

from lycheering.fleet import view
from lycheering.wire import channels
from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages
from tests.support import fault_proxy
from tests.support import wire_calls
from tests.support import wire_ends


@given("a wire server")
def step_server(context):
    wire_calls.start_server(context)


@given("a connected wire client")
def step_client(context):
    wire_calls.connect(context)
    wire_calls.run(
        context, context.connection.wait_ready(wire_calls.GIVE_UP_MS)
    )


@when("the wire {end} fails unexpectedly over the next frame")
def step_fails_once(context, end):
    server = context.server.server
    failing = server if end == "server" else context.connection
    accept = failing._accept
    failed = []

    def fail_once(*arguments):
        failing._accept = accept
        failed.append(arguments)
        raise KeyError("simulated programming error")

    failing._accept = fail_once
    wire_calls.run(context, wire_ends.until(lambda: failed))


@then("the wire client can make a call")
def step_can_call(context):
    reply = wire_calls.run(context, wire_calls.call_until_done(context))
    assert isinstance(reply, messages.Done), reply


@given("a wire server behind a fault proxy")
def step_server_proxy(context):
    wire_calls.start_server(context)
    proxy = fault_proxy.FaultProxy(context.port)
    context.proxy = context.stack.enter_context(proxy)
    context.port = context.proxy.port


@given("a wire server that allows {interval} between control heartbeats")
def step_server_interval(context, interval):
    wire_calls.start_server(
        context, control_heartbeat_ms=wire_calls.milliseconds(interval)
    )


@given("a fault proxy before the wire server")
def step_proxy_before(context):
    proxy = fault_proxy.FaultProxy(context.port)
    context.proxy = context.stack.enter_context(proxy)
    context.port = context.proxy.port


@given(
    "a wire client of a control instance that requests {interval} between"
    " heartbeats"
)
def step_client_interval(context, interval):
    context.client = wire_calls.make_peer(
        context,
        "client",
        control_heartbeat_ms=wire_calls.milliseconds(interval),
    )

    async def dial_control():
        context.connection = context.client.connect(
            "server", context.port, is_control=True
        )
        await context.connection.wait_ready(wire_calls.GIVE_UP_MS)

    wire_calls.run(context, dial_control())


@then("both wire ends agreed on {agreed:d} ms between heartbeats")
def step_agreed(context, agreed):
    [session] = context.server.server.session_by_routing_id.values()
    assert session.heartbeat_ms == agreed
    own_ms = max(agreed, wire_ends.HEARTBEAT_MS)
    assert context.connection.idle_heartbeat_ms == own_ms


@then("the wire client counts a silent connection")
def step_counts_silent(context):
    value_by_name = context.client.counters.value_by_name
    wire_calls.run(
        context, wire_ends.until(lambda: value_by_name["wire.silent"] == 1)
    )


@given("an open wire channel")
def step_channel(context):
    context.channel = context.connection.open_channel()
    context.incarnation = context.connection.peer_incarnation


@when("the wire connection stops carrying any bytes for good")
def step_silence(context):
    assert context.proxy.silence_open() == 1
    [context.silent_session] = (
        context.server.server.session_by_routing_id.values()
    )


@when("the wire client asks for a reconnect")
def step_reconnect(context):
    async def reconnect():
        context.connection.reconnect()

    wire_calls.run(context, reconnect())


@then("the wire channel gets the event that its connection was replaced")
def step_replaced(context):
    event = wire_calls.run(
        context, context.channel.receive(wire_calls.GIVE_UP_MS)
    )
    assert event == channels.ConnectionReplaced(context.incarnation), event


@then("the wire server closes the silent session")
def step_closes_session(context):
    sessions = context.server.server.session_by_routing_id
    wire_calls.run(
        context,
        wire_ends.until(
            lambda: context.silent_session not in sessions.values()
        ),
    )


async def restart(context):
    old = context.server
    identity = dataclasses.replace(old.link.identity, incarnation="second")
    old.link = dataclasses.replace(old.link, identity=identity)
    old.server = type(old.server)(old.link, wire_ends.HOST, old.handler)
    await old.server.start()
    context.proxy.target_port = old.server.port


@when("the wire server restarts")
def step_restart(context):
    wire_calls.run(context, context.server.server.stop())
    wire_calls.run(context, restart(context))


@then("the wire channel gets an event with the new incarnation")
def step_new_incarnation(context):
    event = wire_calls.run(
        context, context.channel.receive(wire_calls.GIVE_UP_MS)
    )
    assert event == channels.ConnectionReplaced("second"), event


@when("the wire server stops and a call is made meanwhile")
def step_stop_and_call(context):
    wire_calls.run(context, context.server.server.stop())
    connection = context.connection
    wire_calls.run(
        context, wire_ends.until(lambda: not connection.is_connected)
    )
    try:
        message = messages.StatusFetch()
        context.reply = wire_calls.run(context, connection.call(message, 300))
    except errors.WireError as error:
        context.reply = error


async def call_and_stop(context):
    peer = context.server

    async def handle(session, envelope):
        peer.handler.handled.append(envelope.message)

    peer.handler.handle = handle
    call = asyncio.create_task(
        context.connection.call(messages.StatusFetch(), wire_calls.LONG_CALL_MS)
    )
    await wire_ends.until(lambda: peer.handler.handled)
    await peer.server.stop()
    try:
        async with asyncio.timeout(wire_calls.GIVE_UP_MS / 1_000):
            return await call
    except (errors.WireError, TimeoutError) as error:
        return error


@when("a wire call is in flight and the server stops for good")
def step_call_and_stop(context):
    context.reply = wire_calls.run(context, call_and_stop(context))


@then("the wire call ends at once with an unknown outcome")
def step_call_lost(context):
    assert isinstance(context.reply, errors.CallTimeoutError), context.reply


@when("the wire server starts again")
def step_start_again(context):
    wire_calls.run(context, restart(context))


@given("a wire server at view revision {revision:d}")
def step_server_view(context, revision):
    wire_calls.start_server(context, view_revision=revision)


@given("a connected wire client at view revision {revision:d}")
def step_client_view(context, revision):
    wire_calls.connect(context, view_revision=revision)
    wire_calls.run(
        context, context.connection.wait_ready(wire_calls.GIVE_UP_MS)
    )


@when("the wire server's view changes {count:d} times")
def step_server_changes(context, count):
    for number in range(count):
        context.server.change(number)


@then("the wire server reaches view revision {revision:d}")
def step_server_reaches(context, revision):
    holder = context.server.view
    wire_calls.run(
        context, wire_ends.until(lambda: holder.revision() == revision)
    )


@then("the wire client reaches view revision {revision:d}")
def step_client_reaches(context, revision):
    holder = context.client.view
    wire_calls.run(
        context, wire_ends.until(lambda: holder.revision() == revision)
    )
    assert holder.fleet.snapshot() == context.server.view.fleet.snapshot()


@when("the wire client's view changes and it makes a call")
def step_change_and_call(context):
    context.client.change(0)
    context.reply = wire_calls.run(context, wire_calls.call(context))


@then("the wire server handled the call at view revision {revision:d}")
def step_handled_at(context, revision):
    assert context.reply == messages.Done(), context.reply
    assert context.server.handler.revisions == [revision]


@given("a wire agent without teams that is connected to it")
def step_agent(context):
    context.server.add_team("a")
    wire_calls.connect(context, with_teams=False)
    holder = context.client.view
    revision = context.server.view.revision()
    wire_calls.run(
        context, wire_ends.until(lambda: holder.revision() == revision)
    )
    assert not holder.fleet.has_teams
    assert not holder.fleet.team_by_name
    wire_calls.run(context, context.client.server.start())


@given("an entry that is connected only to the wire agent")
def step_entry(context):
    context.entry = wire_calls.make_peer(context, "entry")
    port = context.client.server.port

    async def dial_agent():
        context.entry.connect("client", port)

    wire_calls.run(context, dial_agent())


@then("the entry gets the whole view, with its teams")
def step_entry_view(context):
    holder = context.entry.view
    revision = context.server.view.revision()
    wire_calls.run(
        context, wire_ends.until(lambda: holder.revision() == revision)
    )
    assert holder.fleet.snapshot() == context.server.view.fleet.snapshot()
    assert set(holder.fleet.team_by_name) == {"a"}


@when(
    "a raw wire peer opens a session and sends a whole view of revision"
    " {revision:d}"
)
def step_send_old_view(context, revision):
    peer = wire_calls.make_peer(context, "raw")
    old = view.ViewSnapshot(revision, revision, {}, (), (), ())

    async def exchange():
        socket = peer.raw_socket(context.port)
        hello = wire_calls.envelope(messages.Hello("entry", "d"))
        await socket.send(codec.encode(hello))
        welcome = codec.decode(await socket.recv())
        update = messages.ViewUpdate(snapshot=old)
        receiver = {"receiver_incarnation": welcome.sender_incarnation}
        await socket.send(codec.encode(wire_calls.envelope(update, **receiver)))
        # the reply to a later call shows that the update was processed
        frame = wire_calls.envelope(
            messages.StatusFetch(), call_id=1, **receiver
        )
        await socket.send(codec.encode(frame))
        reply = None
        while not isinstance(reply, messages.Done):
            reply = codec.decode(await socket.recv()).message

    wire_calls.run(context, exchange())


@then("the wire server stays at view revision {revision:d}")
def step_server_stays(context, revision):
    assert context.server.view.revision() == revision
    limit = context.server.view.fleet.value("limits.max_running")
    assert limit == revision


@when("the wire client makes {count:d} calls at once, {times:d} times")
def step_burst(context, count, times):
    async def burst():
        calls = [wire_calls.call(context) for _ in range(count)]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.wire_replies = [
        reply
        for _ in range(times)
        for reply in wire_calls.run(context, burst())
    ]


@then("every wire call was answered")
def step_all_answered(context):
    failed = [r for r in context.wire_replies if isinstance(r, Exception)]
    assert not failed, failed[:3]
