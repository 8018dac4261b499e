"""Steps for frames that are malformed, expired or for another process."""

from __future__ import annotations

import random
import socket as sockets

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.wire import codec
from lycheering.wire import errors
from lycheering.wire import messages
from tests.support import wire_calls
from tests.support import wire_ends

RAW_FRAMES_BY_KIND = {
    "random bytes": [random.Random(wire_calls.SEED).randbytes(100)],
    "a frame of version 99": [
        codec.encode(
            wire_calls.envelope(messages.Hello("entry", "d"), version=99)
        )
    ],
    "a frame of three parts": [b"a", b"b"],
    "a frame over the limit": [b"x" * (wire_ends.MAX_FRAME_BYTES + 1)],
    "a frame far over the limit": [b"x" * (wire_ends.MAX_FRAME_BYTES * 2 + 1)],
    "a call before its Hello": [
        codec.encode(wire_calls.envelope(messages.StatusFetch(), call_id=1))
    ],
}


@when("a raw wire peer sends {kind}")
def step_raw(context, kind):
    peer = wire_calls.make_peer(context, "raw")

    async def send():
        socket = peer.raw_socket(context.port)
        await socket.send_multipart(RAW_FRAMES_BY_KIND[kind])

    wire_calls.run(context, send())


@when("a raw TCP peer of the wire sends random bytes")
def step_raw_tcp(context):
    source = random.Random(wire_calls.SEED)
    address = (wire_ends.HOST, context.port)
    # the signature of ZMTP 3, then random version, mechanism and commands
    signature = b"\xff" + bytes(8) + b"\x7f"
    with sockets.create_connection(address) as stream:
        stream.sendall(signature + b"\x03" + source.randbytes(400))
    with sockets.create_connection(address) as stream:
        stream.sendall(source.randbytes(400))
    value_by_name = context.server.counters.value_by_name
    wire_calls.run(
        context,
        wire_ends.until(lambda: value_by_name["wire.refused_handshake"] >= 1),
    )


@then("decoding any bytes as a wire frame gives a frame or a malformed frame")
def step_decode_any(context):
    real = codec.encode(wire_calls.envelope(messages.Hello("entry", "d")))

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
    source = random.Random(wire_calls.SEED)
    real = [
        codec.encode(wire_calls.envelope(messages.Hello("entry", "d"))),
        codec.encode(
            wire_calls.envelope(messages.ViewFetch(-5), view_revision=3)
        ),
        codec.encode(
            wire_calls.envelope(
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
    peer = wire_calls.make_peer(context, "raw")

    async def send():
        socket = peer.raw_socket(context.port)
        hello = wire_calls.envelope(messages.Hello("entry", "d"))
        await socket.send(codec.encode(hello))
        for frame in damaged_frames(count):
            await socket.send(frame)
        value_by_name = context.server.counters.value_by_name
        await wire_ends.until(lambda: value_by_name["wire.malformed"] > 0)

    wire_calls.run(context, send())


def open_session_and_call(context, **fields):
    peer = wire_calls.make_peer(context, "raw")

    async def exchange():
        socket = peer.raw_socket(context.port)
        await socket.send(
            codec.encode(wire_calls.envelope(messages.Hello("entry", "d")))
        )
        welcome = codec.decode(await socket.recv())
        receiver = {"receiver_incarnation": welcome.sender_incarnation}
        frame = wire_calls.envelope(
            messages.StatusFetch(), call_id=1, **receiver | fields
        )
        await socket.send(codec.encode(frame))
        context.reply = codec.decode(await socket.recv()).message

    wire_calls.run(context, exchange())


@when("a raw wire peer opens a session and sends an expired call")
def step_expired(context):
    open_session_and_call(context, expires_ms=0.001)


@when("a raw wire peer opens a session and calls another incarnation")
def step_other_incarnation(context):
    open_session_and_call(context, receiver_incarnation="earlier")


@then('the raw wire peer gets the failure "{reason}"')
def step_gets_failure(context, reason):
    assert context.reply == messages.Failure(messages.Reason(reason))


@then("the raw wire peer gets HelloRequired")
def step_gets_hello_required(context):
    assert context.reply == messages.HelloRequired()


@then("the wire server handled no frame")
def step_handled_none(context):
    assert context.server.handler.handled == []


@then("the wire server handled {count:d} frame")
def step_handled(context, count):
    assert len(context.server.handler.handled) == count
