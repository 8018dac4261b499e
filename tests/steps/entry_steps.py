"""Steps for the entry."""

from __future__ import annotations

import asyncio
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.fleet import records
from tests.support import entry_calls
from tests.support import fake_fleet
from tests.support import http_caller


@given("an entry among fakes")
def step_entry(context):
    entry_calls.build(context)


@given("an entry among fakes that cuts callers off after {stall_ms:d} ms")
def step_entry_stall(context, stall_ms):
    entry_calls.build(context, caller_stall_ms=stall_ms)


@given("an entry among fakes with room for {count:d} requests")
def step_entry_room(context, count):
    entry_calls.build(context, max_open_requests=count)


@given("an entry among fakes that serves {grace_ms:d} ms on when it leaves")
def step_entry_grace(context, grace_ms):
    entry_calls.build(context, balancer_grace_ms=grace_ms)


@given("an entry among fakes with a state folder")
def step_entry_folder(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    entry_calls.build(context, state_folder=folder)


@given("the entry's settings may no longer be current")
def step_not_current(context):
    context.fleet.entry.is_current = lambda: False
    context.fleet.run(entry_calls.restart(context.fleet, current=False))


@given('another agent "{name}"')
def step_another(context, name):
    context.fleet.run(context.fleet.add_agent(name))
    context.fleet.run(entry_calls.settled(context.fleet))


FIELDS_BY_FAULT = {
    "send each frame twice": {"repeat_frames": True},
    "send frames of another call": {"crossed": True},
    "lose one frame": {"skip_once_at": 8},
    "announce more chunks than they send": {"cut_short": True},
    "answer far more than a socket holds": {"padding": 1_000_000},
}


@given("agents whose fault it is to {fault}")
def step_agents(context, fault):
    entry_calls.script(context.fleet.engines, **FIELDS_BY_FAULT[fault])


@given("agents that break off after {count:d} chunks")
def step_break(context, count):
    entry_calls.script(context.fleet.engines, break_after=count)


@given(
    "agents that break off after {count:d} chunks and answer with different"
    " weights"
)
def step_break_weights(context, count):
    for number, agent in enumerate(context.fleet.engines):
        entry_calls.script(
            [agent], break_after=count, weights_version=f"w{number}"
        )


@given("agents that fall silent after {count:d} chunks")
def step_mute(context, count):
    entry_calls.script(context.fleet.engines, mute_after=count)


@given("agents that take {pause_ms:d} ms per frame")
def step_pause(context, pause_ms):
    entry_calls.script(context.fleet.engines, pause_ms=pause_ms)


@given('agents that refuse with "{reason}"')
def step_refuse(context, reason):
    entry_calls.script(context.fleet.engines, not_run=reason)


@given('agent "{name}" breaks off after {count:d} chunks')
def step_one_breaks(context, name, count):
    entry_calls.script([context.fleet.agent_by_name[name]], break_after=count)


@given('agent "{name}" refuses with "{reason}"')
def step_one_refuses(context, name, reason):
    entry_calls.script([context.fleet.agent_by_name[name]], not_run=reason)


@given('the option "{option}" is {value:d} for team "{team}"')
def step_option(context, option, value, team):
    record = records.ExceptionRecord(
        "x1",
        records.Scope(kind="team", name=team),
        option,
        value,
        "test",
        "op",
        0,
    )
    context.fleet.control.change(changes.ExceptionAdded(record))
    context.fleet.run(entry_calls.settled(context.fleet))


@when('a caller with key "{key}" asks for a whole chat "{prompt:w}"')
def step_ask_key(context, key, prompt):
    given_key = "" if key == "none" else key
    entry_calls.ask(
        context,
        "POST",
        entry_calls.CHAT,
        given_key,
        entry_calls.chat_body(prompt, False),
    )


@when('a caller asks for a {form} chat "{prompt:w}"')
def step_ask(context, form, prompt):
    entry_calls.ask(
        context,
        "POST",
        entry_calls.CHAT,
        body=entry_calls.chat_body(prompt, form == "streamed"),
    )


@when('a caller asks for a {form} chat "{prompt:w}" with a seed')
def step_ask_seed(context, form, prompt):
    body = entry_calls.chat_body(prompt, form == "streamed", seed=1)
    entry_calls.ask(context, "POST", entry_calls.CHAT, body=body)


@when('a caller asks for a {form} chat "{prompt:w}" due in {due_ms:d} ms')
def step_ask_due(context, form, prompt, due_ms):
    body = entry_calls.chat_body(prompt, form == "streamed")
    entry_calls.ask(
        context, "POST", entry_calls.CHAT, body=body, X_Deadline_Ms=str(due_ms)
    )


@when('a caller asks for a {form} chat "{prompt:w}" under key "{key}"')
def step_ask_order(context, form, prompt, key):
    body = entry_calls.chat_body(prompt, form == "streamed")
    entry_calls.ask(
        context, "POST", entry_calls.CHAT, body=body, Idempotency_Key=key
    )


@when(
    'a caller asks for a streamed chat "{prompt:w}" with a seed and its agent'
    " stops"
)
def step_agent_stops(context, prompt):
    fleet = context.fleet

    async def stop_agent():
        await fake_fleet.until(lambda: any(a.runs for a in fleet.engines))
        agent = next(a for a in fleet.engines if a.runs)
        await agent.server.stop()
        for other in fleet.engines:
            other.script.mute_after = -1

    async def both():
        body = entry_calls.chat_body(prompt, True, seed=1)
        reply, _ = await asyncio.gather(
            fleet.fetch("POST", entry_calls.CHAT, body=body), stop_agent()
        )
        return reply

    context.seen = http_caller.read(fleet.run(both()))


@when(
    'a caller asks for a streamed chat "{prompt:w}" whose agent is away for'
    " {away:d} ms"
)
def step_agent_away(context, prompt, away):
    fleet = context.fleet

    async def leave_and_return():
        await fake_fleet.until(lambda: any(a.runs for a in fleet.engines))
        agent = next(a for a in fleet.engines if a.runs)
        await agent.server.stop()
        await asyncio.sleep(away / 1_000)
        agent.script.mute_after = -1
        await agent.listen_again()

    async def both():
        reply, _ = await asyncio.gather(
            fleet.fetch(
                "POST",
                entry_calls.CHAT,
                body=entry_calls.chat_body(prompt, True),
            ),
            leave_and_return(),
        )
        return reply

    context.seen = http_caller.read(fleet.run(both()))


@when('a caller posts {count:d} bytes to "{path}"')
def step_post_bytes(context, count, path):
    entry_calls.ask(context, "POST", path, body=b"x" * count)


@when('a caller posts {body} to "{path}"')
def step_post(context, body, path):
    entry_calls.ask(context, "POST", path, body=body.encode())


@when('a caller sends header "{name}" with value "{value}"')
def step_header(context, name, value):
    body = entry_calls.chat_body("hi", False)
    entry_calls.ask(
        context, "POST", entry_calls.CHAT, body=body, **{name: value}
    )


@when('a caller gets "{path}"')
def step_get(context, path):
    entry_calls.ask(context, "GET", path)


@then('the entry answers {status:d} with reason "{reason}", {run}')
def step_refused(context, status, reason, run):
    error = context.seen.error
    assert context.seen.status == status, (context.seen.status, error)
    assert error["reason"] == reason, error
    assert error["not_run"] is (run == "not run"), error
    assert not context.seen.whole


@then("the entry answers {status:d}")
def step_status(context, status):
    assert context.seen.status == status, context.seen


@then("the error's message names {place}")
def step_names(context, place):
    assert place in context.seen.error["message"], context.seen.error


@then("the answer says when to come back")
def step_retry_after(context):
    assert int(context.seen.head.header("retry-after")) >= 1
    assert context.seen.error["retry_after_ms"] > 0


@then("the answer says to come back in {retry_ms:d} ms")
def step_retry_in(context, retry_ms):
    assert context.seen.error["retry_after_ms"] == retry_ms


@then("no agent got a request")
def step_none(context):
    assert not any(a.submits for a in context.fleet.engines)


@then("the agents got {count:d} request")
def step_got(context, count):
    assert sum(len(a.submits) for a in context.fleet.engines) == count


@then('the answer echoes request id "{request_id}"')
def step_echo(context, request_id):
    assert context.seen.head.header("x-request-id") == request_id


@then("the answer echoes some request id")
def step_echo_some(context):
    assert context.seen.head.header("x-request-id")


@then(
    "the agents saw {count:d} different request ids, none of them"
    ' "{request_id}"'
)
def step_inner_ids(context, count, request_id):
    submits = [s for a in context.fleet.engines for s in a.submits]
    found = {submit.request_id for submit in submits}
    assert len(found) == count and request_id not in found, found


@then("the explanation names the target that ran it")
def step_explained(context):
    (attempt,) = context.seen.json["attempts"]
    agent = context.fleet.agent_by_name[attempt["chosen"]]
    assert agent.runs == 1
    assert attempt["candidates"][0]["target"] == attempt["chosen"]


@then(
    "the agent got priority {priority:d}, a deadline within {due_ms:d} ms and"
    " a level key"
)
def step_submit(context, priority, due_ms):
    (submit,) = [s for a in context.fleet.engines for s in a.submits]
    now_ms = context.fleet.control.server.link.clock.now_ms()
    assert submit.priority == priority
    assert submit.deadline_ms <= now_ms + due_ms
    assert submit.level_key
    assert submit.level_ends


@when("the caller asks for {count:d} different chats")
def step_many(context, count):
    for number in range(count):
        step_ask(context, "whole", f"chat{number}")


@when("the entry restarts")
def step_restart(context):
    context.fleet.run(entry_calls.restart(context.fleet))


@then("each chat went to the same target both times")
def step_same(context):
    for agent in context.fleet.engines:
        prompts = [fake_fleet.prompt_of(s) for s in agent.submits]
        assert all(prompts.count(p) == 2 for p in prompts), prompts


@then('the caller gets the whole answer to "{prompt}"')
def step_whole(context, prompt):
    seen = context.seen
    assert seen.status == 200, seen
    assert seen.text == fake_fleet.expected_text(prompt), seen
    assert seen.whole and not seen.error, seen


@then(
    'the caller gets the first {count:d} chunks and an error "{reason}", may'
    " have run"
)
def step_partial(context, count, reason):
    seen = context.seen
    assert seen.text == fake_fleet.expected_text("hi", count), seen.text
    assert seen.error["reason"] == reason, seen.error
    assert seen.error["not_run"] is False
    assert not seen.whole


@given('agent "{name}" has stopped')
def step_stopped(context, name):
    fleet = context.fleet
    connections = fleet.entry._connections.connection_by_address
    agent = fleet.agent_by_name[name]

    async def stop():
        await fake_fleet.until(
            lambda: sum(c.connected for c in connections.values()) == 4
        )
        await agent.server.stop()
        await fake_fleet.until(
            lambda: not all(c.connected for c in connections.values())
        )

    fleet.run(stop())


@then("all chats came whole without a retry")
def step_no_retry(context):
    assert all(seen.whole for seen in context.answers), context.answers
    counted = context.fleet.entry.counters.value_by_name
    assert not [name for name in counted if name.startswith("retry.")]


@given('agent "{name}" accepts nothing')
def step_deaf(context, name):
    entry_calls.script([context.fleet.agent_by_name[name]], deaf=True)


@then("all chats came whole")
def step_all_whole(context):
    assert all(seen.whole for seen in context.answers), context.answers


@then('agent "{name}" was told to cancel each request')
def step_each_cancelled(context, name):
    agent = context.fleet.agent_by_name[name]
    context.fleet.run(
        fake_fleet.until(
            lambda: (
                {c.request_id for c in agent.cancels}
                == {s.request_id for s in agent.submits}
            )
        )
    )


@then('a retry was counted as "{reason}"')
def step_retry_counted(context, reason):
    counted = context.fleet.entry.counters.value_by_name
    assert counted[f"retry.{reason}"] > 0, counted


@then("the error may have run")
def step_may_have_run(context):
    assert context.seen.error["not_run"] is False


@then("no agent was asked for a chunk that the caller had")
def step_continued(context):
    submits = [s for a in context.fleet.engines for s in a.submits]
    submits.sort(key=lambda submit: submit.attempt)
    firsts = [submit.continue_from for submit in submits]
    assert firsts == sorted(firsts) and firsts[-1] > 0, firsts


@then("{count:d} callers at once each get their own whole answer")
def step_crowd(context, count):
    async def crowd():
        return await asyncio.gather(
            *(
                context.fleet.fetch(
                    "POST",
                    entry_calls.CHAT,
                    body=entry_calls.chat_body(f"p{n}", n % 2 == 0),
                )
                for n in range(count)
            )
        )

    for number, reply in enumerate(context.fleet.run(crowd())):
        seen = http_caller.read(reply)
        wanted = fake_fleet.expected_text(f"p{number}")
        assert seen.whole and seen.text == wanted, seen


@then("an agent was told to cancel")
def step_cancelled(context):
    agents = context.fleet.engines
    condition = fake_fleet.until(lambda: any(a.cancels for a in agents))
    context.fleet.run(condition)


@then("the entry has no open request")
def step_none_open(context):
    admission = context.fleet.entry.admission
    context.fleet.run(fake_fleet.until(lambda: not admission.open_requests))
