"""Steps for the engine stand-in's cache and its events."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when

from lycheering import clock
from standins.engine import cache
from standins.engine import events


def chain(context, names, salts):
    pieces = names.split()
    version = context.cache.weights_version
    return cache.block_chain("model", version, pieces, salts)


def one_salt(names, salt):
    return [salt] * len(names.split())


@given("a stand-in cache of {count:d} blocks")
def step_cache(context, count):
    context.clock = clock.ManualClock()
    context.events = events.EventLog("life", context.clock)
    context.cache = cache.PrefixCache(count, context.events, "1")


@given("the stand-in cache events are lost at a rate of {loss:f} by seed {n:d}")
def step_loss(context, loss, n):
    context.events.loss = loss
    context.events.rng = random.Random(n)


@given("the stand-in cache events lag by {lag:d} ms")
def step_lag(context, lag):
    context.events.lag_ms = lag


@when('the stand-in cache stores "{names}" under salt "{salt}"')
def step_store(context, names, salt):
    context.cache.store(chain(context, names, one_salt(names, salt)))


@when('the stand-in cache stores "{names}" under salts "{salts}"')
def step_store_salts(context, names, salts):
    context.cache.store(chain(context, names, salts.split()))


@when('the stand-in cache is cleared for weights "{version}"')
def step_clear(context, version):
    context.cache.clear(version)


@when("{duration:d} ms pass for the stand-in cache")
def step_pass(context, duration):
    context.clock.advance(duration)


@then('the stand-in cache finds {n:d} pieces of "{names}" under salt "{salt}"')
def step_finds(context, n, names, salt):
    blocks = chain(context, names, one_salt(names, salt))
    assert context.cache.matched_count(blocks) == n


@then(
    'the stand-in cache finds {n:d} pieces of "{names}" under salts "{salts}"'
)
def step_finds_salts(context, n, names, salts):
    blocks = chain(context, names, salts.split())
    assert context.cache.matched_count(blocks) == n


@then('the stand-in cache event kinds are "{kinds}"')
def step_kinds(context, kinds):
    due = context.events.due(1)
    assert [event.kind for event in due] == kinds.split()
    assert [event.seq for event in due] == list(range(1, len(due) + 1))


@then("some stand-in cache events are missing")
def step_missing(context):
    assert 0 < len(context.events.due(1)) < context.events.seq


@then("{n:d} stand-in cache events are due")
def step_due(context, n):
    assert len(context.events.due(1)) == n


@then("the stand-in cache heartbeat carries seq {seq:d}")
def step_heartbeat(context, seq):
    assert context.events.tick().seq == seq
