"""Steps for ends that read the peer's clock late."""

from __future__ import annotations

import asyncio
import time

from behave import given
from behave import then
from behave import when

from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import peer_clock
from tests.support import wire_calls

PAUSE_S = 0.02  # shorter than heartbeats, so that none is due


def stand_still(ms):
    time.sleep(ms / 1_000)


async def call_within(context, timeout_ms):
    connection = context.connection
    await connection.ready(wire_calls.GIVE_UP_MS)
    return await connection.call(messages.StatusFetch(), timeout_ms)


@given("the clock of a peer that is {ms:d} ms ahead")
def step_ahead(context, ms):
    context.ahead_ms = ms
    context.peer_clock = peer_clock.PeerClock()


def read(context, incarnation, late_ms, now_ms):
    told_ms = now_ms - late_ms + context.ahead_ms
    context.peer_clock.read(incarnation, told_ms, now_ms)


@when("the peer's time is read {late_ms:d} ms late at {now_ms:d} ms")
def step_read_late(context, late_ms, now_ms):
    read(context, "i1", late_ms, now_ms)


@when("another incarnation's time is read {late_ms:d} ms late at {now_ms:d} ms")
def step_read_other(context, late_ms, now_ms):
    read(context, "i2", late_ms, now_ms)


@then("the peer's time is known {behind_ms:g} ms too early at {now_ms:d} ms")
def step_known(context, behind_ms, now_ms):
    known_ms = context.peer_clock.time_ms(now_ms)
    found_ms = now_ms + context.ahead_ms - known_ms
    assert abs(found_ms - behind_ms) < 0.001, found_ms


@given("a wire server whose process stands still for {ms:d} ms after a welcome")
def step_still_after_welcome(context, ms):
    wire_calls.start_server(context)
    context.server.handler.opened = lambda _: stand_still(ms)


@then(
    "a wire call that may take {timeout_ms:d} ms is answered within {limit:d} s"
)
def step_call_answered(context, timeout_ms, limit):
    async def answer():
        async with asyncio.timeout(limit):
            while True:
                try:
                    return await call_within(context, timeout_ms)
                except errors.WireError:
                    await asyncio.sleep(PAUSE_S)

    reply = wire_calls.run(context, answer())
    assert isinstance(reply, messages.Done), reply
