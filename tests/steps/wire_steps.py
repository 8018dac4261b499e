"""Steps for the inner protocol."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import socket as sockets
import stat
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from lycheering.fleet import view
from lycheering.settings import findings
from lycheering.wire import channels
from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import security
from tests.support import fault_proxy
from tests.support import wire_ends

SEED = 7
HOUR_MS = 3_600_000
LONG_CALL_MS = 600_000  # longer than any step may take
GIVE_UP_MS = 20_000


def runner(context):
    if not hasattr(context, "runner"):
        context.runner = context.stack.enter_context(asyncio.Runner())
    return context.runner


def run(context, work):
    return runner(context).run(work)


def make_peer(context, name, **options):
    loop_runner = runner(context)

    async def build():
        return wire_ends.Peer(name, **options)

    peer = loop_runner.run(build())
    context.stack.callback(lambda: loop_runner.run(peer.stop()))
    return peer


def milliseconds(text):
    return HOUR_MS if text == "an hour" else int(text.removesuffix(" ms"))


def start_server(context, **options):
    context.server = make_peer(context, "server", **options)
    run(context, context.server.server.start())
    context.port = context.server.server.port


def connect(context, **options):
    context.client = make_peer(context, "client", **options)
    run(context, dial(context, context.client))


async def dial(context, peer):
    context.connection = peer.connect("server", context.port)


async def call(context):
    return await context.connection.call(messages.StatusFetch())


async def call_until_done(context):
    async with asyncio.timeout(wire_ends.GIVE_UP_S):
        while True:
            try:
                return await call(context)
            except errors.WireError:
                continue


def envelope(message, **fields):
    made = messages.Envelope(
        messages.PROTOCOL_VERSION, "raw", "i1", "", 0, 0, 0.0, message
    )
    return msgspec.structs.replace(made, **fields)


# keys


def curve(folder, name=None):
    pair = security.KeyPair.generate()
    if name is not None:
        pair = security.read_key_pair(str(folder / f"{name}.key.ini"))
    peers = security.read_peers(str(folder / "peers.ini"))
    return lambda counters: security.CurveSecurity(pair, peers, counters)


@given('wire keys for "{one}" and "{other}"')
def step_keys(context, one, other):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.folder = pathlib.Path(folder)
    security.make_keys(context.folder, [one, other])


@given("a wire server with keys")
def step_server_keys(context):
    start_server(context, security=curve(context.folder, "server"))


@given("a wire server with keys that the client does not know")
def step_server_other_keys(context):
    start_server(context, security=curve(context.folder))


@when("a wire client with a key of its own making connects")
def step_unknown_key(context):
    own = curve(context.folder)
    context.stranger = make_peer(context, "stranger", security=own)

    async def connect_stranger():
        context.stranger_connection = context.stranger.connect(
            "server", context.port
        )
        counted = context.server.counters.value_by_name
        await wire_ends.until(lambda: counted["wire.refused_key"])

    run(context, connect_stranger())


@when("a wire client without keys connects")
def step_no_keys(context):
    stranger = make_peer(context, "stranger")

    async def connect_stranger():
        stranger.connect("server", context.port)
        counted = context.server.counters.value_by_name
        await wire_ends.until(lambda: counted["wire.refused_handshake"])

    run(context, connect_stranger())


@when("a wire client with a known key makes a call")
def step_known_key_call(context):
    connect(context, security=curve(context.folder, "client"))
    try:
        context.reply = run(context, call(context))
    except errors.WireError as error:
        context.reply = error


@then("the wire call is done")
def step_call_done(context):
    assert isinstance(context.reply, messages.Done), context.reply


@then("the wire call was not sent")
def step_call_not_sent(context):
    assert isinstance(context.reply, errors.PeerUnreachableError), context.reply


@then("the wire client with a key of its own making is never served")
def step_never_served(context):
    assert not context.stranger_connection.connected
    sessions = context.server.server.session_by_routing_id.values()
    assert "stranger" not in [session.name for session in sessions]


@then('the wire server counts at least {count:d} "{name}"')
def step_counts(context, count, name):
    counted = context.server.counters.value_by_name
    run(context, wire_ends.until(lambda: counted[name] >= count))


@then("the wire key files can be read by their owner only")
def step_key_modes(context):
    for file in context.folder.glob("*.key.ini"):
        assert stat.S_IMODE(file.stat().st_mode) == 0o600, file


@then('making wire keys for "{name}" again is refused')
def step_no_overwrite(context, name):
    before = (context.folder / f"{name}.key.ini").read_bytes()
    try:
        security.make_keys(context.folder, [name])
    except FileExistsError:
        assert (context.folder / f"{name}.key.ini").read_bytes() == before
    else:
        raise AssertionError("the key file was overwritten")


@when('the wire key of "{name}" is cut short')
def step_cut_key(context, name):
    file = context.folder / f"{name}.key.ini"
    file.write_text(file.read_text()[:-10])


@then('reading the wire keys of "{name}" finds line {line:d} at fault')
def step_key_finding(context, name, line):
    try:
        security.read_key_pair(str(context.folder / f"{name}.key.ini"))
    except findings.SettingsError as error:
        assert [finding.line for finding in error.findings] == [line]
    else:
        raise AssertionError("no finding")


# frames


@given("a wire server")
def step_server(context):
    start_server(context)


@given("a connected wire client")
def step_client(context):
    connect(context)
    run(context, context.connection.ready(GIVE_UP_MS))


@then("the wire client can make a call")
def step_can_call(context):
    reply = run(context, call_until_done(context))
    assert isinstance(reply, messages.Done), reply


RAW_FRAMES_BY_KIND = {
    "random bytes": [random.Random(SEED).randbytes(100)],
    "a frame of version 99": [
        codec.encode(envelope(messages.Hello("entry", "d"), version=99))
    ],
    "a frame of three parts": [b"a", b"b"],
    "a frame over the bound": [b"x" * (wire_ends.MAX_FRAME_BYTES + 1)],
    "a frame far over it": [b"x" * (wire_ends.MAX_FRAME_BYTES * 2 + 1)],
    "a call before its hello": [
        codec.encode(envelope(messages.StatusFetch(), call_id=1))
    ],
}


@when("a raw wire peer sends {kind}")
def step_raw(context, kind):
    peer = make_peer(context, "raw")

    async def send():
        socket = peer.raw_socket(context.port)
        await socket.send_multipart(RAW_FRAMES_BY_KIND[kind])

    run(context, send())


@when("a raw TCP peer of the wire sends random bytes")
def step_raw_tcp(context):
    source = random.Random(SEED)
    address = (wire_ends.HOST, context.port)
    # ZMTP 3's signature, then a version, mechanism and commands at random
    signature = b"\xff" + bytes(8) + b"\x7f"
    with sockets.create_connection(address) as stream:
        stream.sendall(signature + b"\x03" + source.randbytes(400))
    with sockets.create_connection(address) as stream:
        stream.sendall(source.randbytes(400))
    counted = context.server.counters.value_by_name
    run(
        context,
        wire_ends.until(lambda: counted["wire.refused_handshake"] >= 1),
    )


@then("decoding any bytes as a wire frame gives a frame or a malformed frame")
def step_decode_any(context):
    real = codec.encode(envelope(messages.Hello("entry", "d")))

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=500
    )
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.tuples(
                strategies.integers(0, len(real) - 1),
                strategies.binary(min_size=1, max_size=4),
            ).map(lambda cut: real[: cut[0]] + cut[1] + real[cut[0] + 1 :]),
        )
    )
    def check(data):
        try:
            codec.decode(data)
        except errors.MalformedFrameError:
            return

    check()


def damaged_frames(count):
    source = random.Random(SEED)
    real = [
        codec.encode(envelope(messages.Hello("entry", "d"))),
        codec.encode(envelope(messages.ViewFetch(-5), view_revision=3)),
        codec.encode(
            envelope(
                messages.Submit("r", 1, "t", "brief", 5, 0.0, "/v1", body=b"x"),
                call_id=4,
            )
        ),
    ]
    for _ in range(count):
        frame = bytearray(source.choice(real))
        for _ in range(source.randint(1, 4)):
            frame[source.randrange(len(frame))] = source.randrange(256)
        yield bytes(frame[: source.randint(1, len(frame))])


@when("a raw wire peer floods with {count:d} damaged copies of real frames")
def step_damaged(context, count):
    peer = make_peer(context, "raw")

    async def send():
        socket = peer.raw_socket(context.port)
        hello = envelope(messages.Hello("entry", "d"))
        await socket.send(codec.encode(hello))
        for frame in damaged_frames(count):
            await socket.send(frame)
        counted = context.server.counters.value_by_name
        await wire_ends.until(lambda: counted["wire.malformed"] > 0)

    run(context, send())


def hello_and_call(context, **fields):
    peer = make_peer(context, "raw")

    async def exchange():
        socket = peer.raw_socket(context.port)
        await socket.send(codec.encode(envelope(messages.Hello("entry", "d"))))
        welcome = codec.decode(await socket.recv())
        named = {"receiver_incarnation": welcome.sender_incarnation}
        frame = envelope(messages.StatusFetch(), call_id=1, **named | fields)
        await socket.send(codec.encode(frame))
        context.reply = codec.decode(await socket.recv()).message

    run(context, exchange())


@when("a raw wire peer says hello and calls with a frame that expired")
def step_expired(context):
    hello_and_call(context, expires_ms=0.001)


@when("a raw wire peer says hello and calls another incarnation")
def step_other_incarnation(context):
    hello_and_call(context, receiver_incarnation="earlier")


@then('the raw wire peer is told "{reason}"')
def step_told(context, reason):
    assert context.reply == messages.Failure(messages.Reason(reason))


@then("the raw wire peer is told to say hello")
def step_told_hello(context):
    assert context.reply == messages.HelloRequired()


@then("the wire server handled no frame")
def step_handled_none(context):
    assert context.server.handler.handled == []


@then("the wire server handled {count:d} frame")
def step_handled(context, count):
    assert len(context.server.handler.handled) == count


# silence


@given("a wire server behind a fault proxy")
def step_server_proxy(context):
    start_server(context)
    proxy = fault_proxy.FaultProxy(context.port)
    context.proxy = context.stack.enter_context(proxy)
    context.port = context.proxy.port


@given("a wire server that allows {paced} between control heartbeats")
def step_server_paced(context, paced):
    start_server(context, control_heartbeat_ms=milliseconds(paced))


@given("a fault proxy before the wire server")
def step_proxy_before(context):
    proxy = fault_proxy.FaultProxy(context.port)
    context.proxy = context.stack.enter_context(proxy)
    context.port = context.proxy.port


@given("a wire client of control that wishes {paced} between heartbeats")
def step_client_paced(context, paced):
    context.client = make_peer(
        context, "client", control_heartbeat_ms=milliseconds(paced)
    )

    async def dial_control():
        context.connection = context.client.connect(
            "server", context.port, is_control=True
        )
        await context.connection.ready(GIVE_UP_MS)

    run(context, dial_control())


@then("both wire ends agreed on {agreed:d} ms between heartbeats")
def step_agreed(context, agreed):
    [session] = context.server.server.session_by_routing_id.values()
    assert session.heartbeat_ms == agreed
    own_ms = max(agreed, wire_ends.HEARTBEAT_MS)
    assert context.connection.idle_heartbeat_ms == own_ms


@then("the wire client counts a silent connection")
def step_counts_silent(context):
    counted = context.client.counters.value_by_name
    run(context, wire_ends.until(lambda: counted["wire.silent"] == 1))


@given("an open wire channel")
def step_channel(context):
    context.channel = context.connection.open()
    context.incarnation = context.connection.peer_incarnation


@when("the wire connection is muted for good")
def step_mute(context):
    assert context.proxy.silence_open() == 1
    [context.muted] = context.server.server.session_by_routing_id.values()


@when("the wire client has its connection renewed")
def step_renew(context):
    async def renew():
        context.connection.renew()

    run(context, renew())


@then("the wire channel learns that its connection was replaced")
def step_replaced(context):
    event = run(context, context.channel.receive(GIVE_UP_MS))
    assert event == channels.Replaced(context.incarnation), event


@then("the wire server forgets the muted session")
def step_forgets(context):
    sessions = context.server.server.session_by_routing_id
    run(
        context,
        wire_ends.until(lambda: context.muted not in sessions.values()),
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
    run(context, context.server.server.stop())
    run(context, restart(context))


@then("the wire channel learns of the new incarnation")
def step_new_incarnation(context):
    event = run(context, context.channel.receive(GIVE_UP_MS))
    assert event == channels.Replaced("second"), event


@when("the wire server stops and a call is made meanwhile")
def step_stop_and_call(context):
    run(context, context.server.server.stop())
    connection = context.connection
    run(context, wire_ends.until(lambda: not connection.connected))
    try:
        message = messages.StatusFetch()
        context.reply = run(context, connection.call(message, 300))
    except errors.WireError as error:
        context.reply = error


async def call_and_stop(context):
    peer = context.server

    async def handle(session, envelope):
        peer.handler.handled.append(envelope.message)

    peer.handler.handle = handle
    call = asyncio.create_task(
        context.connection.call(messages.StatusFetch(), LONG_CALL_MS)
    )
    await wire_ends.until(lambda: peer.handler.handled)
    await peer.server.stop()
    try:
        async with asyncio.timeout(GIVE_UP_MS / 1_000):
            return await call
    except (errors.WireError, TimeoutError) as error:
        return error


@when("a wire call is in flight and the server stops for good")
def step_call_and_stop(context):
    context.reply = run(context, call_and_stop(context))


@then("the wire call ends at once, with its outcome unknown")
def step_call_lost(context):
    assert isinstance(context.reply, errors.CallTimeoutError), context.reply


@when("the wire server starts again")
def step_start_again(context):
    run(context, restart(context))


# view


@given("a wire server at view revision {revision:d}")
def step_server_view(context, revision):
    start_server(context, view_revision=revision)


@given("a connected wire client at view revision {revision:d}")
def step_client_view(context, revision):
    connect(context, view_revision=revision)
    run(context, context.connection.ready(GIVE_UP_MS))


@when("the wire server's view changes {count:d} times")
def step_server_changes(context, count):
    for number in range(count):
        context.server.change(number)


@then("the wire server reaches view revision {revision:d}")
def step_server_reaches(context, revision):
    holder = context.server.view
    run(context, wire_ends.until(lambda: holder.revision() == revision))


@then("the wire client reaches view revision {revision:d}")
def step_client_reaches(context, revision):
    holder = context.client.view
    run(context, wire_ends.until(lambda: holder.revision() == revision))
    assert holder.fleet.snapshot() == context.server.view.fleet.snapshot()


@when("the wire client's view changes and it makes a call")
def step_change_and_call(context):
    context.client.change(0)
    context.reply = run(context, call(context))


@then("the wire server handled the call at view revision {revision:d}")
def step_handled_at(context, revision):
    assert context.reply == messages.Done(), context.reply
    assert context.server.handler.revisions == [revision]


@given("a wire agent without teams that is connected to it")
def step_agent(context):
    context.server.add_team("a")
    connect(context, with_teams=False)
    holder = context.client.view
    revision = context.server.view.revision()
    run(context, wire_ends.until(lambda: holder.revision() == revision))
    assert not holder.fleet.has_teams
    assert not holder.fleet.team_by_name
    run(context, context.client.server.start())


@given("an entry that is connected to the wire agent alone")
def step_entry(context):
    context.entry = make_peer(context, "entry")
    port = context.client.server.port

    async def dial_agent():
        context.entry.connect("client", port)

    run(context, dial_agent())


@then("the entry gets the whole view, with its teams")
def step_entry_view(context):
    holder = context.entry.view
    revision = context.server.view.revision()
    run(context, wire_ends.until(lambda: holder.revision() == revision))
    assert holder.fleet.snapshot() == context.server.view.fleet.snapshot()
    assert set(holder.fleet.team_by_name) == {"a"}


@when("a raw wire peer hands over a whole view of revision {revision:d}")
def step_hand_old(context, revision):
    peer = make_peer(context, "raw")
    old = view.ViewSnapshot(revision, revision, {}, (), (), ())

    async def exchange():
        socket = peer.raw_socket(context.port)
        hello = envelope(messages.Hello("entry", "d"))
        await socket.send(codec.encode(hello))
        welcome = codec.decode(await socket.recv())
        update = messages.ViewUpdate(snapshot=old)
        named = {"receiver_incarnation": welcome.sender_incarnation}
        await socket.send(codec.encode(envelope(update, **named)))
        # the answer to a call shows that the update was taken in before
        frame = envelope(messages.StatusFetch(), call_id=1, **named)
        await socket.send(codec.encode(frame))
        reply = None
        while not isinstance(reply, messages.Done):
            reply = codec.decode(await socket.recv()).message

    run(context, exchange())


@then("the wire server stays at view revision {revision:d}")
def step_server_stays(context, revision):
    assert context.server.view.revision() == revision
    default = context.server.view.fleet.value("limits.max_running")
    assert default == revision


@when("the wire client makes {count:d} calls at once, {times:d} times")
def step_burst(context, count, times):
    async def burst():
        calls = [call(context) for _ in range(count)]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.wire_replies = [
        reply for _ in range(times) for reply in run(context, burst())
    ]


@then("every wire call was answered")
def step_all_answered(context):
    failed = [r for r in context.wire_replies if isinstance(r, Exception)]
    assert not failed, failed[:3]
