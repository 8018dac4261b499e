"""Steps for bounded output and bounded second sends."""

from __future__ import annotations

import os
import time

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.retries import second_send_window
from lycheering.telemetry import bounded_output

READ_BYTES = 65_536


@given("an output whose reader does not read")
@given("an output that is read at once")
def step_output(context):
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.stream = os.fdopen(writer, "w")
    context.stack.callback(context.stream.close)
    context.stack.callback(os.close, context.reader)
    context.time = clock.ManualClock()
    context.output = bounded_output.BoundedOutput(context.stream, context.time)
    context.is_read = "read at once" in context.scenario.steps[0].name
    context.received = bytearray()


def read(context):
    reader, received = context.reader, context.received
    while True:
        try:
            data = os.read(reader, READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            return
        received += data


@when("{count:d} lines of {size:d} bytes are written")
def step_write(context, count, size):
    line = "x" * (size - 1) + "\n"
    started_s = time.monotonic()
    for _ in range(count):
        context.output.write(line)
        if context.is_read:
            read(context)
    context.duration_s = time.monotonic() - started_s


@when("the reader resumes reading and a line is written")
def step_resume(context):
    read(context)
    context.time.advance(50)  # Refills the token bucket.
    context.output.write("event=last\n")
    read(context)


@then("writing them took less than {max_s:d} s")
def step_took(context, max_s):
    assert context.duration_s < max_s, context.duration_s


@then("lines were dropped")
def step_dropped(context):
    assert context.output.dropped > 0


@then("the reader gets the number of dropped lines")
def step_dropped_count(context):
    assert b"event=log_lines_dropped count=" in context.received
    assert context.received.endswith(b"event=last\n")


@when("{count:d} lines of {size:d} bytes are written over {span_s:d} s")
def step_write_over(context, count, size, span_s):
    for _ in range(count):
        context.time.advance(span_s * clock.MS_PER_S / count)
        context.output.write("x" * (size - 1) + "\n")
        read(context)


@then("the reader got at most {most:d} bytes and at least {least:d}")
def step_bounded(context, most, least):
    assert least <= len(context.received) <= most, len(context.received)


@given(
    "a window of {window_s:d} s that allows a fifth and {allowance:d} among"
    " {process_count:d} processes"
)
def step_window(context, window_s, allowance, process_count):
    context.time = clock.ManualClock()
    settings = second_send_window.SecondSendSettings(
        0.2, float(allowance), window_s * 1_000.0
    )
    context.limiter = second_send_window.SecondSendLimiter(
        settings, context.time
    )
    context.limiter.process_count = process_count


@when(
    "{count:d} requests arrive over {span_s:d} s and each asks for a second"
    " send"
)
def step_arrive(context, count, span_s):
    context.sent_ms = []
    for _ in range(count):
        context.time.advance(span_s * 1_000 / count)
        context.limiter.count_request()
        if context.limiter.try_spend():
            context.sent_ms.append(context.time.now_ms())


@then("any {window_s:d} s hold at most {most:d} second sends")
def step_any_window(context, window_s, most):
    assert context.sent_ms
    for start_ms in context.sent_ms:
        inside = [
            send_ms
            for send_ms in context.sent_ms
            if start_ms <= send_ms < start_ms + window_s * 1_000
        ]
        assert len(inside) <= most, len(inside)
