"""Steps for the pace that targets report, and placing by it."""

from __future__ import annotations

import collections
import json
import math
import random
import statistics

from behave import given
from behave import then
from behave import when
import xxhash

from lycheering import clock
from lycheering.forward import api
from lycheering.forward import prefill_rates
from lycheering.forward import target_registry
from lycheering.forward import target_selection
from lycheering.forward import work_pace
from lycheering.platform import documents
from lycheering.routes import records as route_records
from lycheering.wire import messages
from tests.helpers import direct_entry
from tests.helpers import direct_targets
from tests.helpers import paces
from tests.helpers import platform_document
from tests.steps import forward_steps

SETTINGS = target_selection.SelectionSettings()
PREFIX_COUNT = 1_000
# most of 26 entries, so that few prefill a prefix elsewhere
AGREEING_ENTRIES = 24
OBJECTIVE_MS = 600.0
FAST = 0.7
# times between which an engine is faster, and how much
BOOST = (6_000.0, 7_000.0, 3.0)
# time for which others may still think so
LATE_MS = 300.0
SLOW = 1.7
# times from the sending of work until most of it is done
LASTING_MS = (0.0, 50.0, 100.0, 150.0, 200.0, 250.0)


def percent_of(context, now_ms):
    return context.pace.time_factor(now_ms) * 100


@given("a target that reported {percent:d} for {seconds:d} s")
def step_reported(context, percent, seconds):
    context.pace = work_pace.WorkPace()
    context.now_ms = 0.0
    while context.now_ms < seconds * 1_000:
        context.pace.observe(percent, 0.0, context.now_ms)
        context.now_ms += 80.0


@given("a target that never reported its pace")
def step_silent(context):
    context.pace = work_pace.WorkPace()
    context.now_ms = 0.0


@when("it reports {percent:d} {count:d} times within {duration_ms:d} ms")
def step_reports(context, percent, count, duration_ms):
    for _ in range(count):
        context.now_ms += duration_ms / count
        context.pace.observe(percent, 0.0, context.now_ms)


@then("work is expected to take between {low:d} and {high:d}")
def step_expected(context, low, high):
    found = percent_of(context, context.now_ms)
    assert low <= found <= high, found


@then("{later_ms:d} ms later it is expected to take between {low:d} and {high}")
def step_later(context, later_ms, low, high):
    found = percent_of(context, context.now_ms + later_ms)
    assert low <= found <= float(high), found


@given(
    "{per_s:d} reports a second, {age_ms:d} ms late, of a target that changes"
)
def step_changing(context, per_s, age_ms):
    rng = random.Random(4)
    truth = paces.Pace(5)
    estimate = work_pace.WorkPace()
    in_mean = collections.deque(maxlen=8 * per_s)
    on_their_way = collections.deque()
    errors = collections.defaultdict(list)
    now_ms = 0.0
    while now_ms < 120_000:
        now_ms += rng.expovariate(per_s / 1_000)
        on_their_way.append((now_ms + age_ms, truth.percent(now_ms)))
        while on_their_way and on_their_way[0][0] <= now_ms:
            _, percent = on_their_way.popleft()
            estimate.observe(percent, float(age_ms), now_ms)
            in_mean.append(percent)
        if len(in_mean) < per_s:
            continue
        # work that is sent now lasts for some time
        lasting = [truth.factor(now_ms + ahead) for ahead in LASTING_MS]
        expected = {
            "estimate": estimate.time_factor(now_ms),
            "last report": in_mean[-1] / 100,
            "mean of 8 s": statistics.mean(in_mean) / 100,
        }
        for name, factor in expected.items():
            error = factor - statistics.mean(lasting)
            errors[name].append(error**2)
    context.error_by_name = {
        name: math.sqrt(statistics.mean(squares))
        for name, squares in errors.items()
    }


@then("the estimate is off by at most {times:g} times as much as the {name}")
def step_closer(context, times, name):
    errors = context.error_by_name
    assert errors["estimate"] <= times * errors[name], errors


def ordered(states, key):
    return target_selection.rendezvous_order(states, key)


def prefix_keys():
    return [xxhash.xxh3_64_intdigest(b"%d" % n) for n in range(PREFIX_COUNT)]


@given("24 targets, a third of which take 2.4 times as long as the others")
def step_uneven(context):
    context.paces = [
        paces.Pace(number, SLOW if number % 3 == 0 else FAST)
        for number in range(24)
    ]


@when("26 entries hear of different reports for 10 s")
def step_hear(context):
    rng = random.Random(8)
    context.states_by_entry = [
        [direct_targets.state(number) for number in range(24)]
        for _ in range(26)
    ]
    for now_ms in range(0, 10_000, 10):
        for number, pace in enumerate(context.paces):
            if rng.random() > 0.13:
                continue
            percent = pace.percent(now_ms)
            for states in context.states_by_entry:
                # some exchanges are lost
                if rng.random() < 0.95:
                    states[number].pace.observe(percent, 100.0, now_ms)


@then("they agree on the first target of {share:d} in 100 prefixes")
def step_agree(context, share):
    agreed = 0
    for key in prefix_keys():
        firsts = collections.Counter(
            ordered(states, key)[0].target.target_id
            for states in context.states_by_entry
        )
        agreed += firsts.most_common(1)[0][1] >= AGREEING_ENTRIES
    assert agreed >= share / 100 * PREFIX_COUNT, agreed


@then("fast targets are the first of {times:g} times as many prefixes as slow")
def step_fast_first(context, times):
    states = context.states_by_entry[0]
    firsts = [ordered(states, key)[0] for key in prefix_keys()]
    slow = sum(states.index(state) % 3 == 0 for state in firsts)
    # there are two fast targets for each slow one
    assert (PREFIX_COUNT - slow) / 2 >= times * slow, slow


@given("24 targets that report no pace")
def step_no_pace(context):
    context.states = [direct_targets.state(number) for number in range(24)]


@then("the order for 1000 prefixes is that of their hashes")
def step_by_hash(context):
    def by_hash(key):
        return sorted(
            context.states,
            key=lambda state: xxhash.xxh3_64_intdigest(
                state.target.target_id.encode(), key
            ),
            reverse=True,
        )

    for key in prefix_keys():
        assert ordered(context.states, key) == by_hash(key)


@given("two engines, one of which reports 170 and takes 1.7 times as long")
def step_two(context):
    service_rate = prefill_rates.ServicePrefillRate()
    context.states = [
        direct_targets.state(number, service_rate=service_rate)
        for number in range(2)
    ]
    context.now_ms = 0.0
    context.rng = random.Random(2)


def answer(context, number, percent):
    """Lets an engine prefill a prompt as fast as it says."""
    state = context.states[number]
    tokens = context.rng.randrange(2_000, 15_000)
    elapsed_ms = (40.0 + tokens / 60.0) * percent / 100
    sent_factor = state.pace.time_factor(context.now_ms)
    context.now_ms += elapsed_ms
    metadata = api.AnswerMetadata(
        api.AnswerKind.RAN, 1, 0, work_percent=percent
    )
    state.apply_report(metadata, context.now_ms)
    state.prefill_rate.observe(tokens, elapsed_ms / sent_factor, context.now_ms)


@when("each prefills {count:d} prompts within {seconds:d} s")
def step_both(context, count, seconds):
    for _ in range(count):
        answer(context, 0, 100.0)
        answer(context, 1, 170.0)


@when("the slow engine reports 70 and takes 0.7 times as long")
def step_turns(context):
    context.percent = 70.0


@when("it answers once")
def step_once(context):
    answer(context, 1, context.percent)


def tokens_per_ms(context):
    return [state.tokens_per_ms(context.now_ms) for state in context.states]


@then("the estimated times for a prompt differ by 1.7, within 15 in 100")
def step_differ(context):
    usual, slow = tokens_per_ms(context)
    assert 0.85 <= usual / slow / 1.7 <= 1.15, (usual, slow)


@then("it is expected to be faster than the other")
def step_faster(context):
    usual, turned = tokens_per_ms(context)
    assert turned > usual, (usual, turned)


@given("a registry with {count:d} targets")
def step_registry(context, count):
    context.clock = clock.ManualClock()
    context.clock.time_ms = 5_000.0
    context.registry = target_registry.TargetRegistry(context.clock)
    context.registry.update(
        [direct_targets.target(number + 1) for number in range(count)],
        {"s": route_records.Service("s", "/health")},
    )
    context.states = list(context.registry.state_by_key.values())


@when(
    "another entry passes on that target {number:d} takes {percent:d}"
    " {count:d} times"
)
def step_passed_on(context, number, percent, count):
    digest = context.states[number - 1].digest
    read = messages.PromptRead(digest, (), (), 0, 0, percent)
    reply = messages.LoadReply((), (read,) * count, "", 0, 2)
    context.registry.apply_loads(reply, context.clock.now_ms())


@then("target {number:d} is expected to take between {low:d} and {high:d}")
def step_target_takes(context, number, low, high):
    pace = context.states[number - 1].pace
    found = pace.time_factor(context.clock.now_ms()) * 100
    assert low <= found <= high, found


@when("target {number:d} answers a plain request and reports {percent:d}")
def step_plain_answer(context, number, percent):
    context.registry.record_prefill(
        context.states[number - 1], (), (), 0, 40.0, float(percent)
    )


@then("the next exchange says that target {number:d} takes {percent:d}")
def step_exchanged(context, number, percent):
    (read,) = context.registry.take_unshared_prefills(10)
    assert read.target == context.states[number - 1].digest
    assert read.work_percent == percent


@given("a fleet of 24 engines whose pace differs and changes")
def step_fleet(context):
    step_uneven(context)


@given("one engine turns 3 times as fast for 1 s")
def step_boost(context):
    context.paces[1].boost = BOOST


def place(context, is_reported):
    rng = random.Random(1)

    def by_selection(states, profile, now_ms):
        estimate = target_selection.select_target(
            states, profile, SETTINGS, "d0", (), now_ms, rng
        )
        return states.index(estimate.state), estimate

    return direct_targets.place_by_pace(
        direct_targets.fleet_load(),
        26,
        by_selection,
        context.paces,
        is_reported,
    )


@when("26 entries place a load by what was reported 100 ms ago")
def step_place(context):
    context.placed = place(context, is_reported=True)


@when("they place the same load without the reports")
def step_place_unreported(context):
    context.unreported = place(context, is_reported=False)


def met_share(waits, most_ms):
    return sum(wait_ms <= most_ms for _, wait_ms, _ in waits) / len(waits)


@then(
    "{share:d} in 100 first tokens come within {most_ms:d} ms with the reports"
)
def step_met(context, share, most_ms):
    context.met = met_share(context.placed.waits, most_ms)
    context.most_ms = most_ms
    assert context.met >= share / 100, context.met


@then("fewer do without them")
def step_fewer(context):
    unreported = met_share(context.unreported.waits, context.most_ms)
    assert unreported < context.met, (unreported, context.met)


@then("the worst two seconds have {share:d} in 100 within {most_ms:d} ms")
def step_worst(context, share, most_ms):
    windows = collections.defaultdict(list)
    for item in context.placed.waits:
        windows[item[0] // 2_000].append(item)
    # the load ends within the last window
    del windows[max(windows)]
    worst = min(met_share(window, most_ms) for window in windows.values())
    assert worst >= share / 100, worst


@then("the engine that works most does so {times:g} times as long as the mean")
def step_busiest(context, times):
    busy_ms = context.placed.busy_ms
    ratio = max(busy_ms) / statistics.mean(busy_ms)
    assert ratio <= times, ratio


@then("no request that is sent there then waits for over {seconds:g} s")
def step_longest(context, seconds):
    waits_ms = [
        wait_ms
        for at_ms, wait_ms, number in context.placed.waits
        if number == 1 and BOOST[0] <= at_ms <= BOOST[1] + LATE_MS
    ]
    assert len(waits_ms) > 10, waits_ms
    assert max(waits_ms) <= seconds * 1_000, max(waits_ms)


@given("3 plain targets of 6 slots, one of which takes 1.7 times as long")
def step_plain_targets(context):
    context.levels = [1.0, 1.0, 1.7]


@when(
    "26 entries place {per_s:d} plain requests a second by loads of 100 ms ago"
)
def step_place_plain(context, per_s):
    context.answered_ms, context.unreported_ms = (
        direct_targets.place_plain(
            context.levels, 26, SETTINGS, per_s / 1_000, is_reported
        )
        for is_reported in (True, False)
    )


def in_time(answered_ms, most_ms):
    return sum(ms <= most_ms for ms in answered_ms) / len(answered_ms)


@then("{share:d} in 100 plain requests are answered within {most_ms:d} ms")
def step_plain_met(context, share, most_ms):
    context.most_ms = most_ms
    met = in_time(context.answered_ms, most_ms)
    assert met >= share / 100, met


@then("no fewer are than without the reports")
def step_plain_unreported(context):
    met = in_time(context.answered_ms, context.most_ms)
    unreported = in_time(context.unreported_ms, context.most_ms)
    assert met >= unreported, (met, unreported)


@given("a fast and a slow engine, and {tokens:d} tokens to prefill at the fast")
def step_fast_and_slow(context, tokens):
    # both in the failure domain of the entry
    context.states = [direct_targets.state(number) for number in (0, 3)]
    for state, percent in zip(context.states, (70, 170), strict=True):
        for now_ms in range(0, 5_000, 100):
            state.pace.observe(percent, 0.0, float(now_ms))
    context.states[0].add_request(5_000.0, tokens, tokens, lambda: None)


@when(
    "a stream with gaps of {gap_ms:d} ms is placed, of which {most_ms:d} are"
    " on time"
)
def step_gaps(context, gap_ms, most_ms):
    profile = target_selection.RequestProfile(
        prompt_tokens=2_000,
        model=direct_targets.MODEL,
        objective_ms=OBJECTIVE_MS,
        gap_ms=float(gap_ms),
        gap_objective_ms=float(most_ms),
    )
    context.estimate = target_selection.select_target(
        context.states, profile, SETTINGS, "d0", (), 5_000.0, random.Random(1)
    )


@then("the {name} engine is selected")
def step_selected(context, name):
    number = ("fast", "slow").index(name)
    assert context.estimate.state is context.states[number]


@when("a table whose route has the pause {given_bound} is read")
def step_bound(context, given_bound):
    document = json.loads(json.dumps(platform_document.DOCUMENT))
    document["routes"][0]["gap_aim_ms"] = json.loads(given_bound)
    context.route_table = documents.read_table(json.dumps(document).encode())


@then("its streams are on time with gaps of up to {kept:d} ms")
def step_kept(context, kept):
    assert context.route_table.routes[0].gap_objective_ms == kept


@given("the target says that work takes {percent}")
def step_says(context, percent):
    context.targets[0].load = f"1,0,8,{percent}"


@when("{count:d} streams are passed on")
def step_streams(context, count):
    async def ask_all(entry):
        for number in range(count):
            data = direct_entry.request("stream", f"r{number}")
            answer = await direct_entry.ask(entry, data)
            assert answer.status == 200, answer
        (context.state,) = entry.registry.state_by_key.values()
        context.now_ms = context.state.last_byte_ms
        context.gap_ms = entry.registry.mean_gap_ms("stream")
        context.reads = entry.registry.take_unshared_prefills(10)

    forward_steps.run(context, ask_all)


@then("the entry expects work to take between {low:d} and {high:d} there")
def step_entry_expects(context, low, high):
    found = context.state.pace.time_factor(context.now_ms) * 100
    assert low <= found <= high, found


@then("it expects gaps of {low:d} to {high:d} ms at the usual pace")
def step_expects_gaps(context, low, high):
    assert low <= context.gap_ms <= high, context.gap_ms


@then("the next exchange passes {percent:d} on {count:d} times")
def step_passes_on(context, percent, count):
    percents = [read.work_percent for read in context.reads]
    assert percents == [percent] * count, percents
