"""Steps for requests and drains at an agent."""

from __future__ import annotations

import asyncio
import time

from behave import given
from behave import then
from behave import when
import msgspec

from lycheering.agent import requests
from lycheering.fleet import changes
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.settings import model
from lycheering.wire import messages
from tests.helpers import agent_bench
from tests.helpers import scripted_target as scripted

REST = (scripted.event(2, last=True), scripted.DONE)
PIECE_CHARS = 4_000
QUEUED_MS = 600_000  # longer than the wait for the longest answer ahead


def get_bench(context):
    if not hasattr(context, "bench"):
        context.bench = agent_bench.Bench()
        context.stack.callback(context.bench.close)
    return context.bench


@given("an agent beside an engine")
def step_agent_and_engine(context, *arguments, **options):
    bench = get_bench(context)
    bench.run(bench.start_engine(*arguments))
    bench.run(bench.start_agent(**options))


@given("an agent that keeps answers for {retention_ms:d} ms beside an engine")
def step_answer_retention(context, retention_ms):
    step_agent_and_engine(context, stream_tail_ms=retention_ms)


@given("an agent beside an engine that takes {piece:d} ms for a piece")
def step_agent_slow_prefill(context, piece):
    step_agent_and_engine(context, "--prefill-ms-per-piece", str(piece))


@given("an agent beside an engine with {slots:d} slot")
@given("an agent beside an engine with {slots:d} slots")
def step_agent_slot(context, slots):
    step_agent_and_engine(context, "--slots", str(slots))


@given(
    "an agent with a silence timeout of {silence_s:d} s and an engine of 1 slot"
)
def step_agent_long_silence(context, silence_s):
    # on a busy machine the engine may be silent for longer than the usual
    # timeout, which would fail tests of other behaviour
    get_bench(context).agent_wire = model.WireSettings(
        silence_ms=silence_s * 1_000, heartbeat_ms=200
    )
    step_agent_slot(context, 1)


def start_scripted(context, *script):
    bench = get_bench(context)
    bench.run(bench.start_scripted_target(script))
    bench.run(bench.start_agent())


@given(
    "an agent beside a target that streams 2 of 3 events, then {continuation}"
)
def step_scripted(context, continuation):
    start = scripted.stream(scripted.event(0), scripted.event(1))
    rest = [scripted.stream(*REST)] if continuation == "the rest" else []
    start_scripted(context, start, *rest)


@given("an agent beside a target that hangs up on requests")
def step_hangs_up(context):
    start_scripted(context, b"")


@given("an agent beside a target that no longer listens")
def step_not_listening(context):
    start_scripted(context)
    bench = context.bench
    bench.run(bench.target.stop())


@given("an agent beside a target that goes silent")
def step_goes_silent(context):
    start_scripted(context, None)
    context.bench.target.silent = True


@given("an agent beside a target whose answer has other weights")
def step_other_weights(context):
    answer = scripted.stream(scripted.event(0), scripted.event(1), *REST)
    other = answer.replace(b"X-Weights-Version: 1", b"X-Weights-Version: 2")
    start_scripted(context, other)


def is_first(runs, outcome):
    return bool(runs) and runs[0]["outcome"] == outcome


def ask(context, submit):
    context.tokens = 0
    context.outcome = context.bench.run(context.bench.ask(submit))


@when('an entry submits request "{request_id}" for {tokens:d} tokens')
def step_submit(context, request_id, tokens):
    submit = context.bench.submit(request_id, max_tokens=tokens)
    ask(context, submit)
    context.tokens = tokens


@when(
    'an entry submits request "{request_id}" for {tokens:d} tokens from token'
    " {start:d}"
)
def step_submit_from(context, request_id, tokens, start):
    ask(
        context,
        context.bench.submit(
            request_id, max_tokens=tokens, continue_from=start
        ),
    )
    context.tokens = tokens


@when('an entry submits request "{request_id}" for 3 tokens of model "{name}"')
def step_submit_model(context, request_id, name):
    ask(context, context.bench.submit(request_id, model=name))


@when(
    'an entry submits request "{request_id}" for 3 tokens of weights'
    ' "{version}"'
)
def step_submit_weights(context, request_id, version):
    submit = context.bench.submit(
        request_id, max_tokens=3, weights_version=version
    )
    ask(context, submit)
    context.tokens = 3


@when(
    'an entry submits request "{request_id}" for {tokens:d} tokens with'
    " {left:d} ms left"
)
def step_submit_left(context, request_id, tokens, left):
    bench = context.bench
    deadline_ms = bench.clock.now_ms() + left
    ask(
        context,
        bench.submit(request_id, max_tokens=tokens, deadline_ms=deadline_ms),
    )


@when('an entry submits request "{request_id}" for 3 tokens of a bad body')
def step_submit_bad(context, request_id):
    ask(context, context.bench.submit(request_id, body=b'{"messages": 3}'))


@when('an entry submits request "{request_id}" for {tokens:d} tokens twice')
def step_submit_twice(context, request_id, tokens):
    bench = context.bench
    context.tokens = tokens

    async def twice():
        submit = bench.submit(request_id, max_tokens=tokens)
        # the second submit replaces the first one as the reader of the answer
        channel = await bench.send(submit)
        second = await bench.ask(submit)
        return channel, second

    _, context.outcome = bench.run(twice())


@then("both have the whole answer")
@then("the entry has the whole answer")
def step_whole(context):
    ending = context.outcome.ending
    assert isinstance(ending, messages.Finished), ending
    expected = agent_bench.expected_text("hello", context.tokens)
    assert context.outcome.text == expected, context.outcome
    assert ending.next_seq == context.tokens


@then("the entry has the answer from token {start:d}")
def step_from(context, start):
    expected = agent_bench.expected_text("hello", context.tokens, start)
    assert context.outcome.text == expected, context.outcome
    assert context.outcome.ending.next_seq == context.tokens


@then("the engine ran {count:d} request")
@then("the engine ran {count:d} requests")
def step_engine_ran(context, count):
    runs = context.bench.run(context.bench.record())
    assert len(runs) == count, runs


@when("an entry loses its connection after some of {tokens:d} tokens")
def step_disconnect(context, tokens):
    bench = context.bench
    context.tokens = tokens
    context.outcome = agent_bench.Outcome()
    context.submit = bench.submit("r1", max_tokens=tokens)

    async def disconnect():
        channel = await bench.send(context.submit)
        while len(context.outcome.items) < 3:
            await bench.read_one(channel, context.submit, context.outcome)
        await bench.disconnect("entry-1")

    bench.run(disconnect())


@when("it resumes on a new connection")
def step_resume(context):
    bench = context.bench

    async def resume():
        message = messages.Resume("r1", 1, len(context.outcome.items))
        channel = await bench.send(message)
        await bench.read(channel, context.submit, context.outcome)

    bench.run(resume())


@when('an entry resumes request "{request_id}" that was never submitted')
def step_resume_unknown(context, request_id):
    ask(context, messages.Resume(request_id, 1, 0))


@then('it is not run because of "{reason}"')
def step_not_run(context, reason):
    ending = context.outcome.ending
    assert isinstance(ending, messages.NotRun), ending
    assert ending.reason == reason, ending
    assert not context.outcome.items


@then('it is broken because of "{reason}"')
def step_broken(context, reason):
    ending = context.outcome.ending
    assert isinstance(ending, messages.Broken), ending
    assert ending.reason == reason, ending


@then('it is broken because of "{reason}" after {count:d} chunks')
def step_broken_after(context, reason, count):
    step_broken(context, reason)
    assert context.outcome.ending.next_seq == count
    assert len(context.outcome.items) == count


@then("the entry has {count:d} chunks and the answer is finished")
def step_chunks_finished(context, count):
    assert len(context.outcome.items) == count, context.outcome
    assert isinstance(context.outcome.ending, messages.Finished)


@when("an entry cancels a running request for {tokens:d} tokens")
def step_cancel(context, tokens):
    bench = context.bench
    context.outcome = agent_bench.Outcome()
    submit = bench.submit("r1", max_tokens=tokens)

    async def cancel():
        channel = await bench.send(submit)
        while not context.outcome.items:
            await bench.read_one(channel, submit, context.outcome)
        channel.send(messages.Cancel("r1", 1))
        await bench.read(channel, submit, context.outcome)

    bench.run(cancel())


@when("an entry submits and cancels a request at once")
def step_cancel_at_once(context):
    bench = context.bench
    session = agent_bench.RecordingSession()

    async def cancel():
        # handles both frames before the request's task starts
        await session.receive(bench.handler, bench.submit("r1"))
        await session.receive(bench.handler, messages.Cancel("r1", 1))
        await agent_bench.until(lambda: session.sent)

    bench.run(cancel())
    context.outcome = agent_bench.Outcome(ending=session.sent[-1])


@then("the engine cancels the request")
def step_engine_cancels(context):
    bench = context.bench
    bench.run(bench.recorded(lambda runs: is_first(runs, "cancelled")))


async def send_for(context, tokens):
    """Sends a request and leaves its answer to be read by the caller."""
    context.tokens = tokens
    context.outcome = agent_bench.Outcome()
    context.submit = context.bench.submit("r1", max_tokens=tokens)
    context.channel = await context.bench.send(context.submit)


@when("an entry reads {tokens:d} tokens without acknowledging them")
def step_no_acks(context, tokens):
    bench = context.bench

    async def read():
        await send_for(context, tokens)
        while len(context.outcome.items) < 1_024:
            await bench.read_one(
                context.channel, context.submit, context.outcome, acks=False
            )
        await bench.recorded(lambda runs: is_first(runs, "finished"))

    bench.run(read())


@when("an entry that is suspended for {ms:d} ms reads {tokens:d} tokens")
def step_suspended(context, ms, tokens):
    bench = context.bench

    async def read():
        await send_for(context, tokens)
        while len(context.outcome.items) < tokens / 4:
            await bench.read_one(
                context.channel, context.submit, context.outcome
            )
        time.sleep(ms / 1_000)
        await bench.read(context.channel, context.submit, context.outcome)

    bench.run(read())


@then("it is sent at least {count:d} tokens but not all")
def step_paused(context, count):
    assert count <= len(context.outcome.items) < context.tokens
    run = context.bench.handler.run_by_key[("r1", 1)]
    assert not run.delivery.buffer.has_room
    assert run.delivery.ending is None


@when("it acknowledges what it has")
def step_ack(context):
    bench = context.bench
    next_seq = len(context.outcome.items)
    context.channel.send(messages.Ack("r1", 1, next_seq))
    bench.run(bench.read(context.channel, context.submit, context.outcome))


@when('teams "{one}" and "{other}" submit prompts that share 1 of 2 levels')
def step_two_teams(context, one, other):
    for team in (one, other):
        step_team_again(context, team)


@when('team "{team}" submits its prompt again')
def step_team_again(context, team):
    ask(context, team_submit(context, team))


@when('team "{team}" submits its prompt in sharing generation {number:d}')
def step_in_generation(context, team, number):
    ask(context, team_submit(context, team, shared_generation=number))


def team_submit(context, team, **fields):
    # both levels have the same text for all teams, but only the first one is
    # shared
    prompt = "a" * (PIECE_CHARS - len("user\n")) + "b" * PIECE_CHARS
    ends = (PIECE_CHARS, 2 * PIECE_CHARS)
    context.count = getattr(context, "count", 0) + 1
    return context.bench.submit(
        f"r{context.count}",
        prompt,
        team=team,
        level_ends=ends,
        shared_levels=1,
        level_keys=("archive", f"archive/{team}"),
        **fields,
    )


@when('team "{team}" sends its prompt')
def step_team_sends(context, team):
    bench = context.bench
    bench.run(bench.send(team_submit(context, team)))
    bench.run(
        agent_bench.until(
            lambda: any(
                run.is_sent for run in bench.handler.run_by_key.values()
            )
        )
    )


@then('the prompt of team "{team}" is expected to find its pieces cached')
def step_expected_cached(context, team):
    plan = requests.make_plan(context.bench.context, team_submit(context, team))
    assert plan.cost.prefill_ms < context.bench.context.cost_model.piece_ms, (
        plan
    )


@then('team "{team}" finds {count:d} of its pieces cached')
@then("it finds {count:d} of its pieces cached")
def step_cached(context, count, team=""):
    assert context.outcome.started.cached_pieces == count, context.outcome


@then(
    'the agent reports {count:d} cached pieces of the prompt of team "{team}"'
)
def step_held_pieces(context, count, team):
    inquiry = messages.CacheInquiry(("archive", f"archive/{team}"), 0)

    async def inquire():
        connection = await context.bench.entry()
        return await connection.call(inquiry)

    report = context.bench.run(inquire())
    assert report.held_pieces == count, report


@then('the wait reported to team "{team}" is over twice that of team "{other}"')
def step_twice_the_wait(context, team, other):
    async def wait_ms(name):
        connection = await context.bench.entry()
        inquiry = messages.CacheInquiry((), 0, name, 10)
        return (await connection.call(inquiry)).queue_ms

    team_ms, other_ms = [context.bench.run(wait_ms(n)) for n in (team, other)]
    assert team_ms > 2 * other_ms, (team_ms, other_ms)


@then('the engine saw the salts "{one}" and "{other}"')
def step_salts(context, one, other):
    runs = context.bench.run(context.bench.record())
    found = [", ".join(run["salts"]) for run in runs]
    assert found == [one, other], found


@when('a caller sets the cache salt "{salt}" in its body')
def step_caller_salt(context, salt):
    body = msgspec.json.decode(agent_bench.chat_body("hello"))
    body |= {"cache_salt": salt, "cache_salts": [salt], "priority": -5}
    submit = context.bench.submit("r1", body=msgspec.json.encode(body))
    ask(context, submit)


@then('the engine saw only the salt "{salt}"')
def step_only_salt(context, salt):
    (run,) = context.bench.run(context.bench.record())
    assert run["salts"] == [salt], run


@when("{count:d} entries submit requests for {tokens:d} tokens")
@when(
    "{count:d} entries submit requests for {tokens:d} tokens at {use:g} times"
    " the fair share"
)
def step_several(context, count, tokens, use=0.0):
    bench = context.bench

    async def submit_all():
        context.answers = [
            bench.spawn(
                bench.ask(
                    bench.submit(
                        f"r{number}",
                        max_tokens=tokens,
                        share_use=use,
                        deadline_ms=bench.clock.now_ms() + QUEUED_MS,
                    ),
                    f"entry-{number}",
                )
            )
            for number in range(count)
        ]
        admission = bench.context.admission
        slots = admission.limits.max_running
        await agent_bench.until(lambda: len(admission.queue) == count - slots)
        await bench.recorded(bool)

    bench.run(submit_all())


@when("the agent is asked to stop")
def step_ask_to_stop(context):
    context.bench._application.stop_requested.set()


@when("the agent is asked to stop within {timeout:d} ms")
def step_stop_within(context, timeout):
    context.bench.handler._drain_timeout_ms = timeout
    context.bench._application._drain_timeout_ms = timeout
    step_ask_to_stop(context)


@when("the fleet view marks the target as leaving")
def step_leaving(context):
    bench = context.bench
    target = bench.control.registered[0]
    leaving = msgspec.structs.replace(target, state=records.TargetState.LEAVING)

    async def mark():
        bench.control.change(changes.TargetPut(leaving))

    bench.run(mark())


def collect_endings(context):
    async def collect():
        return await asyncio.gather(*context.answers)

    return [outcome.ending for outcome in context.bench.run(collect())]


@then('{count:d} answer is broken because of "{reason}"')
def step_broken_count(context, count, reason):
    endings = collect_endings(context)
    broken = [e for e in endings if isinstance(e, messages.Broken)]
    assert [ending.reason for ending in broken] == [reason] * count, endings


@then(
    "{whole:d} answer is whole and {refused:d} are not run because of"
    ' "{reason}"'
)
def step_tally(context, whole, refused, reason):
    endings = collect_endings(context)
    finished = [e for e in endings if isinstance(e, messages.Finished)]
    not_run = [e for e in endings if isinstance(e, messages.NotRun)]
    assert (len(finished), len(not_run)) == (whole, refused), endings
    assert {ending.reason for ending in not_run} == {reason}


@then("the agent stops")
def step_agent_stops(context):
    async def end():
        async with asyncio.timeout(agent_bench.GIVE_UP_S):
            await context.bench._agent_task

    context.bench.run(end())


@then("the target is deregistered from control")
def step_deregistered(context):
    (message,) = context.bench.control.deregistered
    assert message.target == "target-1"


@when("an operator drains the target")
def step_drain(context):
    scope = records.Scope(options.ScopeKind.TARGET, "target-1")
    record = records.ExceptionRecord(
        "e1", scope, "target.drained", True, "a repair", "operator", 1
    )

    async def drain():
        context.bench.control.change(changes.ExceptionAdded(record))

    context.bench.run(drain())


@when("the operator undrains the target")
def step_undrain(context):
    async def undrain():
        context.bench.control.change(changes.ExceptionRemoved("e1"))

    context.bench.run(undrain())


@then('a request is not run because of "{reason}" before long')
def step_refused_soon(context, reason):
    def refused(ending):
        return isinstance(ending, messages.NotRun) and ending.reason == reason

    ask_until(context, refused)


@then("a request is run before long")
def step_run_soon(context):
    ask_until(context, lambda ending: isinstance(ending, messages.Finished))


def ask_until(context, matches):
    bench = context.bench

    async def repeat():
        async with asyncio.timeout(agent_bench.GIVE_UP_S):
            for number in range(10_000):
                submit = bench.submit(f"{id(matches)}-{number}", max_tokens=1)
                outcome = await bench.ask(submit)
                if matches(outcome.ending):
                    return
                await asyncio.sleep(agent_bench.POLL_S)

    bench.run(repeat())


@given("an agent beside a target that names a limit of 2 requests a second")
def step_limited_target(context):
    body = b"".join([scripted.event(0, last=True), scripted.DONE])
    whole = scripted.reply(body, content_type="text/event-stream")
    limited = whole.replace(b"\r\n\r\n", b"\r\nX-Rate-Limit: 2\r\n\r\n", 1)
    start_scripted(context, *[limited] * 40)


@when("an entry submits {count:d} requests, one each {gap_ms:d} ms")
def step_submit_evenly(context, count, gap_ms):
    bench = context.bench

    async def submit_all():
        outcomes = []
        for number in range(count):
            await asyncio.sleep(gap_ms / 1_000)
            sent_before = len(bench.target.lines)
            outcome = await bench.ask(bench.submit(f"r{number}"))
            outcomes.append((len(bench.target.lines) - sent_before, outcome))
        return outcomes

    context.outcomes = bench.run(submit_all())


@then(
    "in the last 3 s the target got at most {most:d} requests and at least"
    " {least:d}"
)
def step_limited(context, most, least):
    sent = sum(count for count, _ in context.outcomes[-30:])
    assert least <= sent <= most, sent


@then('all others are not run because of "{reason}", with a time to come back')
def step_others_refused(context, reason):
    for sent, outcome in context.outcomes:
        if sent:
            assert isinstance(outcome.ending, messages.Finished), outcome
            continue
        assert isinstance(outcome.ending, messages.NotRun), outcome
        assert outcome.ending.reason == reason, outcome
        assert outcome.ending.retry_after_ms > 0, outcome
