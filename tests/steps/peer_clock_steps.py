"""Steps for the estimate of a peer's clock from late readings."""

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

PAUSE_S = 0.02  # shorter than the heartbeat interval, so none is due


def block_process(ms):
    time.sleep(ms / 1_000)


async def call_within(context, timeout_ms):
    connection = context.connection
    await connection.wait_ready(wire_calls.GIVE_UP_MS)
    return await connection.call(messages.StatusFetch(), timeout_ms)


@given("the clock of a peer that is {ms:d} ms ahead")
def step_ahead(context, ms):
    context.ahead_ms = ms
    context.peer_clock = peer_clock.PeerClock()


def add_reading(context, incarnation, late_ms, now_ms):
    sent_at_ms = now_ms - late_ms + context.ahead_ms
    context.peer_clock.add_reading(incarnation, sent_at_ms, now_ms)


@when("a timestamp of the peer is read {late_ms:d} ms late at {now_ms:d} ms")
def step_read_late(context, late_ms, now_ms):
    add_reading(context, "i1", late_ms, now_ms)


@when(
    "a timestamp of another incarnation is read {late_ms:d} ms late at"
    " {now_ms:d} ms"
)
def step_read_other(context, late_ms, now_ms):
    add_reading(context, "i2", late_ms, now_ms)


@then(
    "the estimate of the peer's time is {expected_error_ms:g} ms too early at"
    " {now_ms:d} ms"
)
def step_estimate(context, expected_error_ms, now_ms):
    estimate_ms = context.peer_clock.earliest_time_ms(now_ms)
    error_ms = now_ms + context.ahead_ms - estimate_ms
    assert abs(error_ms - expected_error_ms) < 0.001, error_ms


@given("a wire server whose process is blocked for {ms:d} ms after a welcome")
def step_blocked_after_welcome(context, ms):
    wire_calls.start_server(context)
    context.server.handler.opened = lambda _: block_process(ms)


@then(
    "a wire call with a timeout of {timeout_ms:d} ms is answered within"
    " {limit:d} s"
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
