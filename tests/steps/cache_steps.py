"""Steps for pieces of prompts and the block index."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from lycheering import clock
from lycheering.cache import api
from lycheering.cache import block_index
from lycheering.cache import eviction_age
from lycheering.cache import index_sync
from lycheering.cache import prompt_pieces
from lycheering.entry import request_bodies
from lycheering.routing import levels
from lycheering.telemetry import counters
from standins.engine import cache as engine_cache
from standins.engine import messages as engine_messages


def split(text, ends, shared=0, team="t", piece_chars=4_000, generation=0):
    return prompt_pieces.split_prompt(
        text,
        ends,
        shared,
        model="m",
        team=team,
        piece_chars=piece_chars,
        generation=generation,
    )


def keys(prompt, version="1"):
    return [
        piece_key.key.hex() for piece_key in prompt.piece_keys("m", version)
    ]


def chat(image="data:a", tool_calls=()):
    part = {"type": "image_url", "image_url": {"url": image}}
    text = {"type": "text", "text": "label"}
    message = {"role": "user", "content": [text, part]}
    if tool_calls:
        message["tool_calls"] = tool_calls
    return msgspec.json.encode({"model": "m", "messages": [message]})


def prompt_of(body):
    return msgspec.json.decode(body, type=prompt_pieces.PromptBody).text()


@then("a chat with an image has the prompt that the engine sees")
def step_image_prompt(context):
    request = msgspec.json.decode(
        chat(), type=engine_messages.CompletionRequest
    )
    assert prompt_of(chat()) == request.prompt_text()
    entry_body = request_bodies.parse_body(chat(), chat=True)
    assert prompt_of(chat()) == entry_body.prompt_text()


@then("chats with other images or tool calls have other prompts")
def step_other_prompts(context):
    bodies = [chat(), chat("data:b"), chat(tool_calls=[{"id": "1"}])]
    assert len({prompt_of(body) for body in bodies}) == len(bodies)


@given(
    "a prompt of {chars:d} characters with levels ending at {first:d} and"
    " {second:d}"
)
def step_prompt(context, chars, first, second):
    context.prompt_text = "x" * chars
    context.ends = (first, second)
    context.plan = split(context.prompt_text, context.ends)


@when("{count:d} of its levels is shared")
def step_shared(context, count):
    context.shared_levels = count
    context.plan = split(context.prompt_text, context.ends, count)


@then("its pieces have {lengths} characters")
def step_lengths(context, lengths):
    assert "".join(context.plan.pieces) == context.prompt_text
    found = ", ".join(str(len(piece)) for piece in context.plan.pieces)
    assert found == lengths, found


@then("{count:d} of its pieces can be cached")
def step_cacheable(context, count):
    assert context.plan.cacheable_count == count


@then('its salts are "{salts}"')
def step_salts(context, salts):
    assert ", ".join(context.plan.salts) == salts


@then('teams "{one}" and "{other}" have {count:d} equal keys and then none')
def step_team_keys(context, one, other, count):
    plans = [
        split(context.prompt_text, context.ends, context.shared_levels, team)
        for team in (one, other)
    ]
    first, second = map(keys, plans)
    assert first[:count] == second[:count]
    assert not set(first[count:]) & set(second[count:])


@then('weights "{one}" and "{other}" have no key in common')
def step_weights_keys(context, one, other):
    assert not set(keys(context.plan, one)) & set(keys(context.plan, other))


@then("any prompt has the keys that the engine computes")
def step_engine_keys(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.text(max_size=80),
        strategies.lists(strategies.integers(0, 80), max_size=4),
        strategies.integers(0, 4),
    )
    def check(text, ends, shared):
        prompt = split(text, ends, shared, piece_chars=16)
        assert "".join(prompt.pieces) == text
        assert all(prompt.pieces)
        count = prompt.cacheable_count
        chain = engine_cache.block_chain(
            "m", "1", prompt.pieces[:count], prompt.salts
        )
        assert keys(prompt) == [block.block for block in chain]

    check()


@given(
    'an index synced with incarnation "{incarnation}" up to event {seq:d}'
    ' with block "{block}"'
)
def step_index(context, incarnation, seq, block):
    context.index = block_index.BlockIndex(
        eviction_age.EvictionAge(clock.ManualClock(1_000.0))
    )
    context.listing = api.BlockListing(
        incarnation, seq, "1", (api.ListedBlock(block),)
    )
    context.index.restore(context.listing)


def apply(context, seq, kind, block="", version="1", incarnation="i1"):
    event = api.CacheEvent(seq, incarnation, kind, block, version)
    context.index.apply(event)


@when('event {seq:d} stores "{block}"')
def step_stores(context, seq, block):
    apply(context, seq, api.EventKind.STORED, block)


@when('event {seq:d} evicts "{block}"')
def step_evicts(context, seq, block):
    apply(context, seq, api.EventKind.EVICTED, block)


@when('event {seq:d} clears the cache for weights "{version}"')
def step_clears(context, seq, version):
    apply(context, seq, api.EventKind.CLEARED, "", version)


@when("a tick comes after event {seq:d}")
def step_tick(context, seq):
    apply(context, seq, api.EventKind.TICK)


@when('incarnation "{name}" sends event {seq:d} that stores "{block}"')
def step_incarnation(context, name, seq, block):
    apply(context, seq, api.EventKind.STORED, block, incarnation=name)


@then('the index contains "{expected}"')
@then('the index contains ""')
def step_contains(context, expected=""):
    found = [
        block
        for block in ("aa", "bb", "cc")
        if context.index.count_cached_prefix([bytes.fromhex(block)])
    ]
    assert context.index.is_synced
    assert "".join(found) == expected, found


@then("the index is out of sync and empty")
def step_out_of_sync(context):
    assert not context.index.is_synced
    assert not context.index.count_cached_prefix([bytes.fromhex("aa")])
    assert not len(context.index)


class RepeatingSource(api.EventSource):
    """Returns the same listing and the same events on each call."""

    def __init__(self, listing, events):
        self.listing = listing
        self.events = events
        self.list_count = 0
        self.requested_seqs = []
        self.listed_twice = asyncio.Event()

    async def list_blocks(self):
        self.list_count += 1
        if self.list_count == 2:
            self.listed_twice.set()
        return self.listing

    async def cache_events(self, from_seq):
        self.requested_seqs.append(from_seq)
        for event in self.events:
            yield event


@given('a source whose events {one:d} and {two:d} store "{first}" and "{next}"')
def step_source(context, one, two, first, next):  # noqa: A002
    stored = api.EventKind.STORED
    events = [
        api.CacheEvent(one, "i1", stored, first, "1"),
        api.CacheEvent(two, "i1", stored, next, "1"),
    ]
    context.source = RepeatingSource(context.listing, events)


@when("the synchronizer reads the source until it listed the blocks 2 times")
def step_read(context):
    context.counters = counters.Counters()

    async def read():
        synchronizer = index_sync.IndexSynchronizer(
            context.source, context.index, clock.Clock(), context.counters
        )
        await synchronizer.start()
        async with asyncio.timeout(20):
            await context.source.listed_twice.wait()
        await synchronizer.stop()

    asyncio.run(read())


@then("the first listing was followed by a gap")
def step_gap(context):
    assert context.source.requested_seqs[0] == context.listing.seq + 1
    assert context.counters.value_by_name["cache.gap"] >= 1


def split_in_generation(context, generation):
    return split(
        context.prompt_text,
        context.ends,
        context.shared_levels,
        generation=generation,
    )


@then('its salts in generation {generation:d} are "{salts}"')
def step_generation_salts(context, generation, salts):
    found = split_in_generation(context, generation).salts
    assert ", ".join(found) == salts, found


@then("no key in generation 7 is one of generation 0 or 8")
def step_generation_keys(context):
    found = [set(keys(split_in_generation(context, n))) for n in (0, 7, 8)]
    assert all(len(item) == 3 for item in found)
    assert len(set.union(*found)) == 9


@then("neither is a key by which targets are ranked")
def step_generation_levels(context):
    found = [
        levels.from_declared_ends(
            context.prompt_text,
            context.ends,
            model="m",
            team="t",
            shared_count=context.shared_levels,
            shared_generation=generation,
        )
        for generation in (0, 7, 8)
    ]
    assert len({key for item in found for key in item.keys}) == 6
