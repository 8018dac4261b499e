"""Steps for cached prefix levels and the age of evicted blocks."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.cache import api
from lycheering.cache import block_index
from lycheering.cache import cached_levels
from lycheering.cache import eviction_age


@given('known levels and an index with blocks "{blocks}"')
def step_index(context, blocks):
    context.level_clock = clock.ManualClock(1_000.0)
    context.eviction_age = eviction_age.EvictionAge(context.level_clock)
    context.level_index = block_index.BlockIndex(context.eviction_age)
    listed = tuple(api.ListedBlock(block) for block in blocks.split(","))
    context.level_index.restore(api.BlockListing("i1", 0, "w1", listed))
    context.levels = cached_levels.CachedLevels(
        context.level_index, context.level_clock
    )


def add_levels(context, text, until_ms):
    keys = []
    levels = []
    for item in text.split(","):
        key, pieces, block = item.split(":")
        keys.append(key)
        levels.append(
            cached_levels.PrefixLevel(
                int(pieces), bytes.fromhex(block), until_ms
            )
        )
    context.levels.add(keys, levels)


@given('the prefix levels "{text}"')
def step_levels(context, text):
    add_levels(context, text, 0.0)


@given(
    'the prefix levels "{text}" expected to be computed within'
    " {duration_ms:d} ms"
)
def step_expected(context, text, duration_ms):
    add_levels(context, text, context.level_clock.now_ms() + duration_ms)


@when('levels "{keys}" are computed')
def step_computed(context, keys):
    context.levels.mark_computed(keys.split(","))


@when('the computation of levels "{keys}" ends early')
def step_not_computed(context, keys):
    context.levels.mark_not_computed(keys.split(","))


@when("the index of the levels is invalidated")
def step_invalidated(context):
    context.level_index.invalidate()


@when("the clock of the levels advances by {duration_ms:d} ms")
def step_advance(context, duration_ms):
    context.level_clock.advance(duration_ms)


@then('{count:d} pieces of levels "{keys}" are cached')
def step_cached(context, count, keys):
    assert context.levels.cached_piece_count(keys.split(",")) == count


@given("no block was evicted yet")
def step_no_eviction(context):
    assert context.eviction_age.idle_lifetime_ms == 0


@when("a block is used and {duration_ms:d} ms later evicted")
def step_evicted(context, duration_ms):
    context.eviction_age.record_use((b"block",))
    context.level_clock.advance(duration_ms)
    context.eviction_age.record_eviction(b"block")


@then("the lifetime of unused blocks is {duration_ms:d} ms")
def step_lifetime(context, duration_ms):
    assert context.eviction_age.idle_lifetime_ms == duration_ms, (
        context.eviction_age.idle_lifetime_ms
    )
