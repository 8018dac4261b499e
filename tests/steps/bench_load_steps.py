"""Steps for traces, the load tool and the figures."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import socket

from behave import given
from behave import then
from behave import when

from bench import checker
from bench import stats
from bench.load import client
from bench.load import driver
from bench.traces import calls
from bench.traces import mavazi
from bench.traces import tahanan
from standins.engine import batch
from standins.engine import server
from tests.support import background

USERS = {"mavazi": mavazi, "tahanan": tahanan}
TRACE = calls.TraceSettings(duration_ms=20_000, rate_per_s=20)


def completions(trace):
    return [call for call in trace if call.model]


@given('the bench trace "{user}" of seed {seed:d}')
def step_trace(context, user, seed):
    context.user = USERS[user]
    context.settings = dataclasses.replace(TRACE, seed=seed)
    context.trace = context.user.trace(context.settings)


@given('bench calls over the prefixes "{names}"')
def step_prefixes(context, names):
    context.trace = [
        calls.Call(str(i), i, "t", "brief", 1, levels=(calls.Level(n, 1),))
        for i, n in enumerate(names.split())
    ]


@given('a bench target for the trace "{user}"')
def step_target(context, user):
    short = calls.TraceSettings(duration_ms=1_000, rate_per_s=40)
    context.trace = completions(USERS[user].trace(short))
    context.teams = USERS[user].team_names(short)
    timing = batch.Timing(64, 0, 0, 1)
    settings = server.EngineSettings(timing=timing)
    running = background.running(lambda: server.Engine(settings))
    _, port = context.stack.enter_context(running)
    context.url = f"http://127.0.0.1:{port}"
    context.entries = [client.Address("127.0.0.1", port)]


@given("a bench entry that refuses connections")
def step_dead_entry(context):
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    context.stack.callback(bound.close)
    port = bound.getsockname()[1]
    context.entries.insert(0, client.Address("127.0.0.1", port))


@when("the bench drives the trace")
def step_drive(context):
    key_by_team = dict.fromkeys(context.teams, "key")
    callers = driver.Driver(context.entries, key_by_team)
    context.records = asyncio.run(callers.run(context.trace))


@then("the bench trace is the same when drawn again")
def step_same(context):
    assert context.user.trace(context.settings) == context.trace


@then("the bench trace differs from that of seed {seed:d}")
def step_differs(context, seed):
    other = dataclasses.replace(context.settings, seed=seed)
    times = [call.at_ms for call in context.user.trace(other)]
    assert times != [call.at_ms for call in context.trace]


@then("the bench trace names {count:d} teams and all its call ids differ")
def step_teams(context, count):
    assert len({call.team for call in context.trace}) == count
    ids = {call.call_id for call in context.trace}
    assert len(ids) == len(context.trace)


@then("each bench call's prefix levels end at full pieces of its prompt")
def step_levels(context):
    for call in completions(context.trace)[:50]:
        prompt = call.prompt_text()
        start = 0
        ends = call.prefix_levels()
        for text, end in zip(call.level_texts(), ends, strict=True):
            assert end % 4_000 == 0
            assert text in prompt[start:end]
            start = end
        assert 0 < len(prompt) - start < 4_000


@then("the hottest archive differs between the trace's two halves")
def step_shift(context):
    counts = [collections.Counter(), collections.Counter()]
    for call in context.trace:
        if call.priority_class == "brief":
            half = int(call.at_ms // context.settings.shift_ms)
            counts[half][call.levels[0].name] += 1
    hottest = [count.most_common(1)[0][0] for count in counts]
    assert hottest[0] != hottest[1], counts


@then("the best possible hit rate with {size:d} blocks is {hits:d} of {n:d}")
def step_best(context, size, hits, n):
    assert stats.best_hit_rate(context.trace, size) == hits / n


@then('the bench percentile {share:f} of "{values}" is {expected:d}')
def step_percentile(context, share, values, expected):
    numbers = [float(value) for value in values.split()]
    assert stats.percentile(numbers, share) == expected


@then('the bench histogram of "{values}" counts "{counts}"')
def step_histogram(context, values, counts):
    numbers = [float(value) for value in values.split()]
    lines = stats.histogram(numbers, bins=3).splitlines()
    assert [line.split()[2] for line in lines] == counts.split()


@then("every bench call is whole and none has a finding")
def step_whole(context):
    runs = checker.fetch_runs([context.url])
    verdict = checker.check(context.records, runs, shared_salts=[""])
    assert verdict.is_clean, verdict.findings
    assert verdict.whole == len(context.trace) > 0
    summary = stats.summarize(context.records)
    assert summary.whole == len(context.trace)
    figures = stats.cache_figures(context.trace, runs)
    best = stats.best_hit_rate(context.trace, 200)
    assert 0 < figures.hit_rate <= best + 1e-9


@then("some bench calls were sent twice")
def step_twice(context):
    assert any(len(record.attempts) == 2 for record in context.records)
