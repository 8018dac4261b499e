"""Steps for the choice of a direct target."""

from __future__ import annotations

import random
import statistics

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.forward import api
from lycheering.forward import cached_parts
from lycheering.forward import choice
from lycheering.forward import prefix_heat
from lycheering.wire import messages
from tests.helpers import direct_targets

NOW_MS = 10_000.0
SETTINGS = choice.ChoiceSettings()


def chosen(context, states=None, work=None):
    return choice.choose(
        states or context.states,
        work or context.work,
        SETTINGS,
        "d0",
        getattr(context, "tried", ()),
        NOW_MS,
        random.Random(1),
    )


@given("{count:d} direct targets")
def step_targets(context, count):
    context.states = [
        direct_targets.state(number + 1, NOW_MS) for number in range(count)
    ]
    context.work = direct_targets.work()


@given("target {number:d} holds the shared parts of a prompt")
def step_holds(context, number):
    sizes = [part.tokens for part in direct_targets.PARTS[:-1]]
    held = context.states[number - 1].cached
    held.add(context.work.chains[:-1], sizes)


@given("target {number:d} has {tokens:d} tokens to read")
def step_busy(context, number, tokens):
    state = context.states[number - 1]
    state.begin(NOW_MS, tokens, tokens, lambda: None)


@given("target {number:d} is held for an order")
def step_held(context, number):
    state = context.states[number - 1]
    state.target = msgspec.structs.replace(state.target, is_held=True)


@given("target {number:d} failed just now")
def step_failed(context, number):
    context.states[number - 1].failed(NOW_MS)


@given("target {number:d} can't be reached")
def step_unreachable(context, number):
    context.states[number - 1].lost(NOW_MS - 60_000)


@given("target {number:d} has had old weights too long")
def step_old(context, number):
    for place, state in enumerate(context.states):
        version = 1 if place == number - 1 else 2
        state.target = msgspec.structs.replace(
            state.target, version_by_model={direct_targets.MODEL: version}
        )
    context.work = direct_targets.work(names=((1, 60_000.0), (2, 10_000.0)))


@given("target {number:d} has weights {version:d}")
def step_weights(context, number, version):
    state = context.states[number - 1]
    state.target = msgspec.structs.replace(
        state.target, version_by_model={direct_targets.MODEL: version}
    )


@given("weights {one:d} and {two:d} were named {first:d} and {second:d} ms ago")
def step_named(context, one, two, first, second):
    names = ((one, float(first)), (two, float(second)))
    context.work = direct_targets.work(names=names)


@given("target {number:d} has been silent for {silence_ms:d} ms")
def step_silent(context, number, silence_ms):
    state = context.states[number - 1]
    state.begin(NOW_MS - silence_ms, 1, 1, lambda: None)


@given(
    "others told {tokens:d} tokens of target {number:d}"
    " that were unread {age_ms:d} ms ago"
)
def step_others(context, tokens, number, age_ms):
    state = context.states[number - 1]
    load = messages.TargetLoad(state.digest, tokens, 3, tokens)
    state.take_others(load, NOW_MS - age_ms)


@then("{tokens:d} tokens of others are taken to be unread at target {number:d}")
def step_others_left(context, tokens, number):
    left = context.states[number - 1].others_unread(NOW_MS)
    assert left == tokens, left


@given("a connection to target {number:d} is kept")
def step_connected(context, number):
    context.connected = {context.states[number - 1].target.key}


@given("target {number:d} has {requests:d} requests")
def step_requests(context, number, requests):
    state = context.states[number - 1]
    for _ in range(requests):
        state.begin(NOW_MS, 0, 0, lambda: None)


@when("a target is chosen for a plain request {count:d} times")
def step_plain(context, count):
    context.chosen = []
    for seed in range(count):
        found = choice.choose(
            context.states,
            choice.Work(),
            SETTINGS,
            "d0",
            (),
            NOW_MS,
            random.Random(seed),
            context.connected,
        )
        context.chosen.append(context.states.index(found.state) + 1)


@then("target {number:d} is chosen {times}")
def step_times(context, number, times):
    share = context.chosen.count(number) / len(context.chosen)
    assert (share == 1.0) == (times == "each time"), context.chosen


@given("the other targets are tried already")
def step_tried(context):
    context.tried = {state.target.key for state in context.states[1:]}


@then("no target is chosen")
def step_none(context):
    assert context.estimate is None


@when("a target is chosen for the prompt")
def step_choose(context):
    context.estimate = chosen(context)


@then("target {number:d} is chosen")
def step_is(context, number):
    assert context.estimate.state is context.states[number - 1]


@then("target {number:d} is not chosen")
def step_is_not(context, number):
    assert context.estimate.state is not context.states[number - 1]


@when(
    "{entries:d} entries choose a target for each of {count:d} unknown prompts"
)
def step_entries(context, entries, count):
    context.choices = []
    for prompt in range(count):
        parts = (api.PromptPart(f"p{prompt}", 5_000), api.PromptPart("o", 1))
        work = direct_targets.work(parts)
        ids = set()
        for _ in range(entries):
            states = [
                direct_targets.state(number + 1, NOW_MS)
                for number in range(len(context.states))
            ]
            found = chosen(context, states, work)
            ids.add(found.state.target.target_id)
        context.choices.append(ids)


@then("the entries agree on every prompt")
def step_agree(context):
    assert all(len(ids) == 1 for ids in context.choices)


@then("every target is chosen for some prompt")
def step_all(context):
    assert len(set.union(*context.choices)) == len(context.states)


@when("target {number:d} is to run the prompt")
def step_run(context, number):
    context.source = choice.fetch_source(
        context.states, context.states[number - 1], context.work, NOW_MS
    )


@then("it fetches from target {number:d}")
def step_fetches(context, number):
    assert context.source is context.states[number - 1]


@then("it does not fetch from target {number:d}")
def step_no_fetch_from(context, number):
    assert context.source is not context.states[number - 1]


@then("it fetches nothing")
def step_fetches_nothing(context):
    assert context.source is None


@given("the work of {count:d} prompts under {outer:d} outer levels")
def step_heat(context, count, outer):
    context.heat = prefix_heat.PrefixHeat()
    context.levels = [
        [f"/o{number % outer}", f"/o{number % outer}/i{number}"]
        for number in range(count)
    ]
    for number, levels in enumerate(context.levels):
        context.heat.count(levels, 1_000, number * 10.0)


@then("their prompts are kept together by the outer level")
def step_outer(context):
    assert all(
        context.heat.level(levels, 6) == (levels[0], 1)
        for levels in context.levels
    )


@then("their prompts are kept together by the inner level")
def step_inner(context):
    assert all(
        context.heat.level(levels, 6) == (levels[1], 1)
        for levels in context.levels
    )


@given("the work of {count:d} prompts of which {hot:d} are of one prefix")
def step_hot(context, count, hot):
    context.heat = prefix_heat.PrefixHeat()
    for number in range(count):
        inner = "hot" if number < hot else f"i{number}"
        context.heat.count(["/o", f"/o/{inner}"], 1_000, 0.0)


@then("that prefix is spread over more than {least:d} of {count:d} targets")
def step_spread(context, least, count):
    level, width = context.heat.level(["/o", "/o/hot"], count)
    assert level == "/o/hot"
    assert least < width <= count, width


def prompt(tokens):
    parts = (api.PromptPart(f"p{tokens}", tokens),)
    return cached_parts.chains_of("", parts), [tokens]


@given("a cache of {most:d} tokens that read prompts of 400 and 500 tokens")
def step_cache(context, most):
    context.cache = cached_parts.CachedParts(most)
    for tokens in (400, 500):
        context.cache.add(*prompt(tokens))


@when("it reads a prompt of {tokens:d} tokens")
def step_reads(context, tokens):
    context.cache.add(*prompt(tokens))


@then("it holds the prompts of 500 and 300 tokens only")
def step_holds_only(context):
    held = [context.cache.held_tokens(prompt(t)[0]) for t in (400, 500, 300)]
    assert held == [0, 500, 300], held


@then("the second part of a prompt without its first is not held")
def step_chain(context):
    parts = (api.PromptPart("none", 10), api.PromptPart("p500", 500))
    chains = cached_parts.chains_of("", parts)
    assert context.cache.held_tokens(chains) == 0


@when("a recorded load of 12 s with a burst is placed by the choice")
def step_place(context):
    randomness = random.Random(1)

    def by_choice(states, work, now_ms):
        found = choice.choose(
            states, work, SETTINGS, "d0", (), now_ms, randomness
        )
        number = states.index(found.state)
        return number, found.unread_tokens, found.ahead_tokens

    load = direct_targets.recorded_load()
    context.waits = direct_targets.place(load, 6, by_choice)


@when("the same load is placed by prefix alone")
def step_place_alone(context):
    def by_prefix(states, work, now_ms):
        ranked = choice.ranked(states, work.affinity_key)
        return states.index(ranked[0]), work.prompt_tokens, 0

    load = direct_targets.recorded_load()
    context.waits_alone = direct_targets.place(load, 6, by_prefix)


@then("95 in 100 first tokens of the choice come within {most_ms:d} ms")
def step_waits(context, most_ms):
    tail = statistics.quantiles(context.waits, n=20)[-1]
    assert tail <= most_ms, tail


@then("95 in 100 first tokens by prefix alone do not")
def step_waits_alone(context):
    tail = statistics.quantiles(context.waits_alone, n=20)[-1]
    assert tail > 1_000, tail
