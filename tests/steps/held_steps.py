"""Steps for held levels and the age of evicted blocks."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.cache import api
from lycheering.cache import held
from lycheering.cache import index
from lycheering.cache import life


@given('a held-level book over an index with blocks "{blocks}"')
def step_book(context, blocks):
    context.held_clock = clock.ManualClock(1_000.0)
    context.ages = life.EvictionAge(context.held_clock)
    context.held_index = index.BlockIndex(context.ages)
    listed = tuple(api.ListedBlock(block) for block in blocks.split(","))
    context.held_index.restore(api.BlockListing("i1", 0, "w1", listed))
    context.held = held.HeldLevels(context.held_index, context.held_clock)


def expect(context, text, until_ms):
    keys = []
    levels = []
    for part in text.split(","):
        key, pieces, block = part.split(":")
        keys.append(key)
        levels.append(
            held.HeldLevel(int(pieces), bytes.fromhex(block), until_ms)
        )
    context.held.expect(keys, levels)


@given('the held-level book knows levels "{text}"')
def step_knows(context, text):
    expect(context, text, 0.0)


@given('the held-level book expects levels "{text}" for {duration_ms:d} ms')
def step_expects(context, text, duration_ms):
    expect(context, text, context.held_clock.now_ms() + duration_ms)


@when('levels "{keys}" are computed')
def step_computed(context, keys):
    context.held.computed(keys.split(","))


@when('levels "{keys}" are not computed after all')
def step_not_computed(context, keys):
    context.held.not_computed(keys.split(","))


@when("the held-level index is dropped")
def step_dropped(context):
    context.held_index.drop()


@when("the held-level clock advances by {duration_ms:d} ms")
def step_advance(context, duration_ms):
    context.held_clock.advance(duration_ms)


@then('{count:d} pieces of levels "{keys}" are held')
def step_held(context, count, keys):
    assert context.held.held_pieces(keys.split(",")) == count


@given("an eviction age")
def step_age(context):
    assert context.ages.life_ms == 0


@when("a block is used and evicted {duration_ms:d} ms later")
def step_evicted(context, duration_ms):
    context.ages.used((b"block",))
    context.held_clock.advance(duration_ms)
    context.ages.evicted(b"block")


@then("the block life is {duration_ms:d} ms")
def step_life(context, duration_ms):
    assert context.ages.life_ms == duration_ms, context.ages.life_ms
