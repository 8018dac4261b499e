"""Steps for the clock."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock


@given("a manual clock at {time_ms:d} ms")
def step_manual_clock(context, time_ms):
    context.clock = clock.ManualClock(time_ms)


@when("the clock advances by {duration_ms:d} ms")
def step_advance(context, duration_ms):
    context.clock.advance(duration_ms)


@then("the clock reads {time_ms:d} ms")
def step_reads(context, time_ms):
    assert context.clock.now_ms() == time_ms
