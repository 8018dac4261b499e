"""Steps for logs and counters."""

from __future__ import annotations

import contextlib
import io
import json
import re
import socket

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import logbook

from lycheering import clock
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.telemetry import logs
from lycheering.telemetry import rate_limited_warning
from lycheering.telemetry import repeated_warning

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)')
TIMEOUT_S = 20
DATAGRAM_BYTES = 4_096


def parse_pairs(line):
    found = PAIR.findall(line)
    assert " ".join(f"{k}={v}" for k, v in found) == line, line
    return [(k, json.loads(v) if v[0] == '"' else v) for k, v in found]


@then('the value "{value}" is logged as "{text}"')
def step_value(context, value, text):
    value = value.replace("\\n", "\n")
    text = text.replace("\\\\", "\\")
    assert logs.format_value(value) == text, logs.format_value(value)


@then("any event is logged as one line that can be parsed back")
def step_any(context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(strategies.text(), strategies.text())
    def check(event, value):
        line = logs.format_line(event, {"value": value})
        assert len(line.splitlines()) == 1, line
        assert parse_pairs(line) == [("event", event), ("value", value)], line

    check()


@when('an event with request "{request}" is logged by the entry "{name}"')
def step_log(context, request, name):
    stream = io.StringIO()
    with contextlib.redirect_stderr(stream):
        logs.install("entry", name)
        context.stack.callback(logbook.Handler.stack_manager.pop_application)
        logs.get("test").event("asked", request=request)
        logs.get("test").debug("unseen")
    context.lines = stream.getvalue().splitlines()


@then("one line is logged with these keys")
def step_line(context):
    [line] = context.lines
    pairs = parse_pairs(line)
    for row, (key, value) in zip(context.table, pairs, strict=True):
        assert row["key"] == key, line
        assert row["value"] in ("", value), line


@when("{count:d} different counters and gauges are set")
def step_many_names(context, count):
    context.metrics = counters.Counters()
    for number in range(count):
        context.metrics.increment(f"name{number}")
        context.metrics.set_gauge(f"name{number}", 1)


@then("there are {count:d} counters and an overflow counter for the rest")
def step_overflow(context, count):
    value_by_name = context.metrics.value_by_name
    assert len(value_by_name) == count + 1
    assert value_by_name[counters.OVERFLOW_NAME] == 3_000 - count


@then("there are at most {count:d} gauges")
def step_gauges(context, count):
    assert len(context.metrics.gauge_by_name) <= count


@given("a statsd server")
def step_statsd(context):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.stack.enter_context(context.statsd)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(TIMEOUT_S)


@when('a refusal for "{refusal}" and a retry for "{retry}" are counted')
def step_count(context, refusal, retry):
    port = context.statsd.getsockname()[1]
    settings = model.MetricsSettings(
        statsd_ip="127.0.0.1", statsd_port=port, prefix="x"
    )
    metrics = counters.Counters(settings)
    metrics.count_refusal(refusal)
    metrics.count_retry(retry)


@then('the statsd server receives "{text}"')
def step_receives(context, text):
    assert context.statsd.recv(DATAGRAM_BYTES).decode() == text


@when("a warning repeats {count:d} times within one second and once after it")
def step_repeats(context, count):
    time = clock.ManualClock(1.0)
    context.handler = logbook.TestHandler()
    with context.handler.applicationbound():
        warning = rate_limited_warning.RateLimitedWarning(
            logs.get("test"), "odd", time
        )
        for _ in range(count):
            warning.warn(peer="p")
        time.advance(rate_limited_warning.REPEAT_INTERVAL_MS)
        warning.warn(peer="p")


@when(
    "a warning occurs {count:d} times for one cause and once for {others:d}"
    " others"
)
def step_causes(context, count, others):
    with logbook.TestHandler().applicationbound() as handler:
        warning = repeated_warning.RepeatedWarning(logs.get("test"), "odd")
        for _ in range(count):
            warning.warn("one")
        for number in range(others):
            warning.warn(f"c{number}")
        context.messages = [record.message for record in handler.records]


@then("its counts of that cause are logged as 1, 10, 100, 1000")
def step_counts(context):
    ones = [line for line in context.messages if "cause=one" in line]
    assert [line.rpartition("=")[2] for line in ones] == [
        "1",
        "10",
        "100",
        "1000",
    ], ones


@then("the other causes cost at most {count:d} lines")
def step_other_lines(context, count):
    others = [line for line in context.messages if "cause=one" not in line]
    assert len(others) <= count, len(others)


@then("2 lines are logged, the second with {count:d} suppressed warnings")
def step_suppressed(context, count):
    lines = [record.message for record in context.handler.records]
    assert lines == [
        "event=odd peer=p",
        f"event=odd peer=p suppressed={count}",
    ], lines
