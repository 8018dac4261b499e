"""Steps for the entry."""

from __future__ import annotations

import asyncio
import json
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.web import client as web
from lycheering.wire import messages
from tests.support import fake_fleet
from tests.support import http_caller

CHAT = "/v1/chat/completions"
PORTAL = "/v1/services/portal/place"


def build(context, **settings):
    context.fleet = fake_fleet.FakeFleet(**settings)
    context.stack.callback(context.fleet.close)
    context.answers = []


def chat_body(prompt, stream, **fields):
    message = {"role": "user", "content": prompt}
    return {"model": "m", "messages": [message], "stream": stream} | fields


def ask(context, method, path, key="key-north", body=None, **headers):
    reply = context.fleet.run(
        context.fleet.fetch(method, path, key, body, **headers)
    )
    context.seen = http_caller.read(reply)
    context.answers.append(context.seen)


@given("an entry among fakes")
def step_entry(context):
    build(context)


@given("an entry among fakes that cuts callers off after {stall_ms:d} ms")
def step_entry_stall(context, stall_ms):
    build(context, caller_stall_ms=stall_ms)


@given("an entry among fakes with room for {count:d} requests")
def step_entry_room(context, count):
    build(context, max_open_requests=count)


@given("an entry among fakes that serves {grace_ms:d} ms on when it leaves")
def step_entry_grace(context, grace_ms):
    build(context, balancer_grace_ms=grace_ms)


@given("an entry among fakes with a state folder")
def step_entry_folder(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    build(context, state_folder=folder)


@given("the entry's settings may no longer be current")
def step_not_current(context):
    context.fleet.entry.is_current = lambda: False
    context.fleet.run(restart(context.fleet, current=False))


async def restart(fleet, *, current=True):
    await fleet.entry.stop()
    if current:
        await fleet.start_entry()
        return
    fleet.entry_settings |= {"fleet_lease_ms": 1}
    await fleet.start_entry()
    client = fleet.entry._control
    await client.stop()
    await fake_fleet.until(lambda: not fleet.entry.is_current())


@given('another agent "{name}"')
def step_another(context, name):
    context.fleet.run(context.fleet.add_agent(name))
    context.fleet.run(settled(context.fleet))


async def settled(fleet):
    await fake_fleet.until(
        lambda: fleet.entry.view.revision() == fleet.control.view.revision()
    )


def script(agents, **fields):
    for agent in agents:
        for name, value in fields.items():
            setattr(agent.script, name, value)


FIELDS_BY_FAULT = {
    "send each frame twice": {"repeat_frames": True},
    "send frames of another call": {"crossed": True},
    "lose one frame": {"skip_once_at": 8},
    "announce more chunks than they send": {"cut_short": True},
    "answer far more than a socket holds": {"padding": 1_000_000},
}


@given("agents whose fault it is to {fault}")
def step_agents(context, fault):
    script(context.fleet.engines, **FIELDS_BY_FAULT[fault])


@given("agents that break off after {count:d} chunks")
def step_break(context, count):
    script(context.fleet.engines, break_after=count)


@given(
    "agents that break off after {count:d} chunks and answer with different"
    " weights"
)
def step_break_weights(context, count):
    for number, agent in enumerate(context.fleet.engines):
        script([agent], break_after=count, weights_version=f"w{number}")


@given("agents that fall silent after {count:d} chunks")
def step_mute(context, count):
    script(context.fleet.engines, mute_after=count)


@given("agents that take {pause_ms:d} ms per frame")
def step_pause(context, pause_ms):
    script(context.fleet.engines, pause_ms=pause_ms)


@given('agents that refuse with "{reason}"')
def step_refuse(context, reason):
    script(context.fleet.engines, not_run=reason)


@given('agent "{name}" breaks off after {count:d} chunks')
def step_one_breaks(context, name, count):
    script([context.fleet.agent_by_name[name]], break_after=count)


@given('agent "{name}" refuses with "{reason}"')
def step_one_refuses(context, name, reason):
    script([context.fleet.agent_by_name[name]], not_run=reason)


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
    context.fleet.run(settled(context.fleet))


@when('a caller with key "{key}" asks for a whole chat "{prompt:w}"')
def step_ask_key(context, key, prompt):
    given_key = "" if key == "none" else key
    ask(context, "POST", CHAT, given_key, chat_body(prompt, False))


@when('a caller asks for a {form} chat "{prompt:w}"')
def step_ask(context, form, prompt):
    ask(context, "POST", CHAT, body=chat_body(prompt, form == "streamed"))


@when('a caller asks for a {form} chat "{prompt:w}" with a seed')
def step_ask_seed(context, form, prompt):
    body = chat_body(prompt, form == "streamed", seed=1)
    ask(context, "POST", CHAT, body=body)


@when('a caller asks for a {form} chat "{prompt:w}" due in {due_ms:d} ms')
def step_ask_due(context, form, prompt, due_ms):
    body = chat_body(prompt, form == "streamed")
    ask(context, "POST", CHAT, body=body, X_Deadline_Ms=str(due_ms))


@when('a caller asks for a {form} chat "{prompt:w}" under key "{key}"')
def step_ask_order(context, form, prompt, key):
    body = chat_body(prompt, form == "streamed")
    ask(context, "POST", CHAT, body=body, Idempotency_Key=key)


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
        body = chat_body(prompt, True, seed=1)
        reply, _ = await asyncio.gather(
            fleet.fetch("POST", CHAT, body=body), stop_agent()
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
            fleet.fetch("POST", CHAT, body=chat_body(prompt, True)),
            leave_and_return(),
        )
        return reply

    context.seen = http_caller.read(fleet.run(both()))


@when('a caller posts {count:d} bytes to "{path}"')
def step_post_bytes(context, count, path):
    ask(context, "POST", path, body=b"x" * count)


@when('a caller posts {body} to "{path}"')
def step_post(context, body, path):
    ask(context, "POST", path, body=body.encode())


@when('a caller sends header "{name}" with value "{value}"')
def step_header(context, name, value):
    body = chat_body("hi", False)
    ask(context, "POST", CHAT, body=body, **{name: value})


@when('a caller gets "{path}"')
def step_get(context, path):
    ask(context, "GET", path)


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
    context.fleet.run(restart(context.fleet))


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
    script([context.fleet.agent_by_name[name]], deaf=True)


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
                    "POST", CHAT, body=chat_body(f"p{n}", n % 2 == 0)
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


async def start_asking(fleet, body):
    exchange = await web.Exchange.connect(fleet.origin)
    headers = {"Authorization": "Bearer key-north"}
    exchange.send("POST", CHAT, headers, json.dumps(body).encode())
    return exchange


@when('a caller asks for a {form} chat "{prompt:w}" and leaves after the start')
def step_leaves(context, form, prompt):
    fleet = context.fleet

    async def leave():
        body = chat_body(prompt, form == "streamed")
        exchange = await start_asking(fleet, body)
        await fake_fleet.until(lambda: any(a.runs for a in fleet.engines))
        exchange.close()
        await fake_fleet.until(lambda: any(a.cancels for a in fleet.engines))

    fleet.run(leave())


@when('a caller asks for a streamed chat "{prompt:w}" and reads nothing')
def step_reads_nothing(context, prompt):
    fleet = context.fleet

    async def stall():
        exchange = await start_asking(fleet, chat_body(prompt, True))
        context.stack.callback(exchange.close)
        await fake_fleet.until(lambda: any(a.cancels for a in fleet.engines))

    fleet.run(stall())


@when("{count:d} callers at once ask for chats due in {due_ms:d} ms")
def step_crowd_due(context, count, due_ms):
    async def crowd():
        return await asyncio.gather(
            *(
                context.fleet.fetch(
                    "POST",
                    CHAT,
                    body=chat_body("hi", False),
                    X_Deadline_Ms=str(due_ms),
                )
                for _ in range(count)
            )
        )

    replies = context.fleet.run(crowd())
    context.crowd = [http_caller.read(reply) for reply in replies]


@then('{count:d} of them are refused with "{reason}", not run')
def step_crowd_refused(context, count, reason):
    refused = [s for s in context.crowd if s.error["reason"] == reason]
    assert len(refused) == count, context.crowd
    assert all(seen.error["not_run"] for seen in refused)


@when('a caller asks for a streamed chat "{prompt:w}" while the entry drains')
def step_drain(context, prompt):
    fleet = context.fleet

    async def drain():
        body = chat_body(prompt, True)
        running = asyncio.create_task(fleet.fetch("POST", CHAT, body=body))
        await fake_fleet.until(lambda: any(a.runs for a in fleet.engines))
        draining = asyncio.create_task(fleet.entry.drain())
        await fake_fleet.until(lambda: fleet.entry.admission.leaving)
        context.ready = await fleet.fetch("GET", "/health/ready")
        context.between = await fleet.fetch("GET", "/v1/models")
        await fake_fleet.until(lambda: fleet.entry.admission.draining)
        context.late = await fleet.fetch("POST", CHAT, body=body)
        context.running = await running
        await draining

    fleet.run(drain())


@then("the entry was unready while it still took requests")
def step_unready(context):
    assert context.ready.head.status == 503
    assert context.between.head.status == 200


@then('a request after that was refused with "{reason}", not run')
def step_late(context, reason):
    error = http_caller.read(context.late).error
    assert error["reason"] == reason and error["not_run"], error


@then('the running answer to "{prompt}" came whole')
def step_running(context, prompt):
    context.seen = http_caller.read(context.running)
    step_whole(context, prompt)


@when("control stops and the entry restarts")
def step_control_stops(context):
    fleet = context.fleet

    async def swap():
        await fleet.entry.stop()
        await fleet.control.server.stop()
        fleet.entry = type(fleet.entry)(fleet.settings())
        await fleet.entry.start()

    fleet.run(swap())


@given('calls of the service "{service}" may not be repeated')
def step_not_repeatable(context, service):
    record = records.ExceptionRecord(
        "x2",
        records.Scope(kind="service", name=service),
        "calls.repeatable",
        False,
        "bills",
        "op",
        0,
    )
    context.fleet.control.change(changes.ExceptionAdded(record))
    context.fleet.run(settled(context.fleet))


@given("control has no quorum")
def step_no_quorum(context):
    context.fleet.control.down = True


@given('control settles orders in doubt as "{state}"')
def step_settles(context, state):
    context.fleet.control.in_doubt_state = messages.OrderState(state)


@given('the service\'s agent refuses with "{reason}"')
def step_service_refuses(context, reason):
    script([context.fleet.service], not_run=reason)


@given("the service's agent falls silent on orders")
def step_service_mute(context):
    script([context.fleet.service], mute_after=0)


@given("the service's agent restarts when its order is claimed")
def step_service_restarts(context):
    fleet = context.fleet
    claim = fleet.control.claim

    def claim_and_restart(message):
        fleet.control.claim = claim
        connections = fleet.entry._connections.connection_by_address
        for address, connection in connections.items():
            if address.name == "s0":
                connection.peer_incarnation = "s0-2"
                fleet.service.link.identity.__dict__["incarnation"] = "s0-2"
        return claim(message)

    fleet.control.claim = claim_and_restart


@given("the service's agent takes {pause_ms:d} ms")
def step_service_pause(context, pause_ms):
    script([context.fleet.service], pause_ms=pause_ms)


@when("a caller calls the service without a key")
def step_call_bare(context):
    ask(context, "POST", PORTAL, body=b"a")


@when('a caller calls the service with key "{key}" and body "{body}"')
def step_call(context, key, body):
    ask(context, "POST", PORTAL, body=body.encode(), Idempotency_Key=key)


@when(
    'a caller calls the service with key "{key}" and body "{body}", due in'
    " {due_ms:d} ms"
)
def step_call_due(context, key, body, due_ms):
    headers = {"Idempotency_Key": key, "X_Deadline_Ms": str(due_ms)}
    ask(context, "POST", PORTAL, body=body.encode(), **headers)


@when(
    'a caller of "{team}" calls the service with key "{key}" and body "{body}"'
)
def step_call_team(context, team, key, body):
    ask(
        context,
        "POST",
        PORTAL,
        f"key-{team}",
        body.encode(),
        Idempotency_Key=key,
    )


@when(
    'a caller calls the service with key "{key}" and body "{body}" and leaves'
    " at once"
)
def step_call_leave(context, key, body):
    fleet = context.fleet

    async def leave():
        exchange = await web.Exchange.connect(fleet.origin)
        headers = {"Authorization": "Bearer key-north", "Idempotency-Key": key}
        exchange.send("POST", PORTAL, headers, body.encode())
        await fake_fleet.until(lambda: fleet.service.runs)
        exchange.close()

    fleet.run(leave())


@then('order "{key}" gets finished')
def step_order_finished(context, key):
    ledger = context.fleet.control.reply_by_order
    wanted = messages.OrderState.FINISHED
    condition = fake_fleet.until(
        lambda: ledger[f"north/{key}"][0].state is wanted
    )
    context.fleet.run(condition)


@then("the service ran {count:d} times")
def step_runs(context, count):
    assert context.fleet.service.runs == count, context.fleet.service.runs


@then('the service\'s answer of run {number:d} comes back as "{state}"')
def step_stored(context, number, state):
    assert context.seen.json == {"run": number}, context.seen
    assert context.seen.head.header("x-order-state") == state


@then("control saw {names}")
def step_calls(context, names):
    calls = [type(call).__name__ for call in context.fleet.control.calls]
    assert calls == names.split(", "), calls


@then("the agent got the ticket of the claim")
def step_ticket(context):
    (submit,) = context.fleet.service.submits
    assert submit.ticket == messages.OrderTicket("north/k1", 7), submit


@then("every claim was given back")
def step_given_back(context):
    calls = [type(call).__name__ for call in context.fleet.control.calls]
    assert calls.count("OrderClaim") == calls.count("OrderRelease") > 0, calls


@given("only the second agent tells that it holds prompts")
def step_holds(context):
    for number, agent in enumerate(context.fleet.engines):
        agent.script.held_pieces = number


@then("the second agent ran {count:d} requests")
def step_second_ran(context, count):
    assert context.fleet.engines[1].runs == count


@then("the agents ran {count:d} requests")
def step_all_ran(context, count):
    assert sum(agent.runs for agent in context.fleet.engines) == count
