"""Steps for routing."""

from __future__ import annotations

import collections

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.fleet import records
from lycheering.routing import api
from lycheering.routing import hints
from lycheering.routing import levels
from lycheering.routing import load
from lycheering.routing import policies
from lycheering.routing import rendezvous
from lycheering.wire import messages


def make_target(name, slots=8):
    return records.Target(
        name=name,
        kind=records.TargetKind.ENGINE,
        instance=name,
        ip="127.0.0.1",
        port=1,
        agent_incarnation=f"{name}-1",
        failure_domain="a",
        model="m",
        slots=slots,
    )


def text(seed, length):
    return (seed * (length // len(seed) + 1))[:length]


@given("{count:d} routing targets")
def step_targets(context, count):
    context.targets = tuple(make_target(f"t{n}") for n in range(count))
    context.clock = clock.ManualClock(1_000.0)
    context.routing_state = policies.RoutingState(
        load.TargetLoads(context.clock),
        hints.CacheHints(context.clock),
        hints.PrefixWidths(context.clock),
        "a",
    )
    context.prompts = []


@given('routing target "{name}" has {slots:d} slots')
def step_slots(context, name, slots):
    context.targets = tuple(
        make_target(t.name, slots if t.name == name else t.slots)
        for t in context.targets
    )


@given(
    'the routing prompt "{seed}" with levels {ends} from team "{team}"'
    " and {shared:d} shared"
)
def step_prompt(context, seed, ends, team, shared):
    parsed = [int(end) for end in ends.split(",")]
    prompt = levels.from_declared_ends(
        text(seed, 20_000 + parsed[-1]),
        parsed,
        model="m",
        team=team,
        shared_count=shared,
    )
    add_prompt(context, prompt)


@given('the routing prompt "{seed}" without levels from team "{team}"')
def step_prompt_found(context, seed, team):
    add_prompt(
        context,
        levels.from_message_ends(
            text(seed, 20_000), (9_000,), model="m", team=team
        ),
    )


def add_prompt(context, prompt):
    if "prompts" not in context:
        context.prompts = []
    context.prompts.append(prompt)


@then("the routing keys are equal for the outermost {count:d} levels")
def step_agree(context, count):
    one, other = context.prompts
    equal = [a == b for a, b in zip(one.keys, other.keys, strict=True)]
    assert equal == [at < count for at in range(len(equal))], equal


@then("both routing prompts rank by the same key")
def step_same_key(context):
    one, other = context.prompts
    assert one.rank_key == other.rank_key


@then(
    "routing level ends {ends} of a prompt of {length:d} characters are refused"
)
def step_refused(context, ends, length):
    parsed = [int(end) for end in ends.split(",")]
    try:
        levels.check_ends(parsed, length)
    except levels.LevelsError:
        return
    raise AssertionError("accepted")


def first_by_key(targets, count):
    keys = [f"key{n}" for n in range(count)]
    return {key: rendezvous.rank(key, targets)[0].name for key in keys}


@then("{count:d} keys rank the targets alike in any order of the list")
def step_alike(context, count):
    reversed_targets = context.targets[::-1]
    for number in range(count):
        one = rendezvous.rank(f"key{number}", context.targets)
        assert one == rendezvous.rank(f"key{number}", reversed_targets)


@when('routing target "{name}" is removed')
def step_removed(context, name):
    context.before = context.targets
    context.targets = tuple(t for t in context.targets if t.name != name)


@then('of {count:d} keys only those that ranked "{name}" first have moved')
def step_moved(context, count, name):
    before = first_by_key(context.before, count)
    after = first_by_key(context.targets, count)
    context.moved_to = collections.Counter()
    for key, first in before.items():
        if first == name:
            context.moved_to[after[key]] += 1
        else:
            assert after[key] == first, key


@then("each remaining routing target has some of the moved keys")
def step_spread(context):
    assert set(context.moved_to) == {t.name for t in context.targets}


@then(
    'of {count:d} keys routing target "{name}" ranks first for {low:d} to'
    " {high:d} percent"
)
def step_share(context, count, name, low, high):
    firsts = collections.Counter(first_by_key(context.targets, count).values())
    assert low <= 100 * firsts[name] / count <= high, firsts


def ranking(context):
    return rendezvous.rank(context.prompts[0].rank_key, context.targets)


def report_load(context, **fields):
    context.clock.advance(1)
    context.routing_state.target_loads.store_report(
        ranking(context)[0].name,
        messages.LoadReport(piece_ms=20.0, **fields),
        context.clock.now_ms(),
    )
    context.clock.advance(1)


@given("the first ranked target reports a queue of {queue_ms:d} ms")
def step_report(context, queue_ms):
    report_load(context, queue_ms=queue_ms)


@given("the first ranked target reports that it drains")
def step_report_drains(context):
    report_load(context, draining=True)


@given("this process sent {cost_ms:d} ms of prefill to the first ranked target")
def step_sent(context, cost_ms):
    context.routing_state.target_loads.record_sent(
        ranking(context)[0].name, "r1", cost_ms
    )


def note_start(context, prompt, cached, weights="w1"):
    target = ranking(context)[0]
    context.routing_state.cache_hints.record_start(
        target.name,
        target.agent_incarnation,
        prompt,
        messages.Started(200, "", prompt.prompt_pieces, cached, weights),
    )


@given("the first ranked target started the prompt")
def step_started(context):
    note_start(context, context.prompts[0], 0)


@when('the first ranked target starts another prompt with weights "{version}"')
def step_started_other(context, version):
    other = levels.from_declared_ends(
        "z" * 9_000, [8_000], model="m", team="north", shared_count=1
    )
    note_start(context, other, 0, version)


@when("the first ranked target finds nothing cached of the prompt")
def step_missed(context):
    note_start(context, context.prompts[0], 0)


@when("the agent of the first ranked target restarts")
def step_restart(context):
    context.routing_state.cache_hints.keep_only(
        {ranking(context)[0].name: "another incarnation"}
    )


@when("the routing clock advances by {duration_ms:d} ms")
def step_advance(context, duration_ms):
    context.clock.advance(duration_ms)


def expected(context):
    return context.routing_state.cache_hints.expected_pieces(
        ranking(context)[0].name, context.prompts[0]
    )


@then("no cached pieces are expected at the first ranked target")
def step_none_expected(context):
    assert expected(context) == 0


@then(
    "fewer than {count:d} cached pieces are expected at the first ranked target"
)
def step_few_expected(context, count):
    assert 0 < expected(context) < count, expected(context)


@given("a hint of width {width:d} for the prompt")
def step_width(context, width):
    key = context.prompts[0].rank_key
    context.routing_state.prefix_widths.record_hint(
        messages.WidthHint(key, width)
    )


def rank(context, policy, prompt, weight=0.7):
    cache_state_by_target = getattr(context, "cache_state_by_target", {})
    query = api.Query(
        "r9", "", prompt, weight, cache_state_by_target=cache_state_by_target
    )
    selected = policies.build_all(context.routing_state)[policy]
    return selected.rank(query, context.targets)


@then("{count:d} prompts with the prefix prefer {target_count:d} targets")
def step_prefer(context, count, target_count):
    base = text("arch", 60_000)
    firsts = set()
    for number in range(count):
        prompt = levels.from_declared_ends(
            f"{base}{number:04d}" + "q" * 8_000,
            [40_000, 62_000],
            model="m",
            team="north",
            shared_count=1,
        )
        candidates = rank(context, "affinity", prompt)
        firsts.add(candidates[0].target.name)
    assert len(firsts) == target_count, firsts


@when("the {policy} policy ranks the targets with reuse weight {weight:f}")
def step_rank_weight(context, policy, weight):
    context.candidates = rank(context, policy, context.prompts[0], weight)


@when("the {policy} policy ranks the targets")
def step_rank(context, policy):
    context.candidates = rank(context, policy, context.prompts[0])


@then("the first candidate is the first ranked target")
def step_first(context):
    assert context.candidates[0].target == ranking(context)[0], [
        (c.target.name, c.score, c.reason) for c in context.candidates
    ]


@then("the first candidate is not the first ranked target")
def step_not_first(context):
    assert context.candidates[0].target != ranking(context)[0]


@then("the first candidate is among the first {count:d} ranked targets")
def step_among(context, count):
    assert context.candidates[0].target in ranking(context)[:count]


@then("{count:d} targets are ranked")
def step_count(context, count):
    assert {c.target for c in context.candidates} == set(context.targets)
    assert len(context.candidates) == count


INDEX_BY_WORD = {"first": 0, "second": 1}


def report_cache(context, position, held=0, life_ms=0.0, use=0.0):
    if "cache_state_by_target" not in context:
        context.cache_state_by_target = {}
    target = ranking(context)[INDEX_BY_WORD[position]]
    context.cache_state_by_target[target.name] = api.CacheState(
        held, 0.0, 20.0, life_ms, use
    )


@given("the {position} ranked target reports {count:d} cached pieces")
def step_reports_cached(context, position, count):
    report_cache(context, position, held=count)


@given(
    "the {position} ranked target reports a cache lifetime of {life_ms:d} ms"
)
def step_reports_lifetime(context, position, life_ms):
    report_cache(context, position, life_ms=float(life_ms))


@then("the first candidate is the second ranked target")
def step_second(context):
    assert context.candidates[0].target == ranking(context)[1]


@given("the {position} ranked target reports a prefix utilization of {use:f}")
def step_reports_utilization(context, position, use):
    report_cache(context, position, use=use)


@given("{count:d} agents are to be queried")
def step_to_be_queried(context, count):
    context.queried = count


@then("the affinity policy spreads the prefix over {count:d} targets")
def step_policy_width(context, count):
    query = api.Query(
        "r9",
        levels=context.prompts[0],
        max_candidates=getattr(context, "queried", 6),
        cache_state_by_target=context.cache_state_by_target,
    )
    policy = policies.build_all(context.routing_state)["affinity"]
    assert policy.width(query) == count
