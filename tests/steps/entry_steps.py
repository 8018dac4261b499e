"""Steps for requests to an entry with fake peers."""

from __future__ import annotations

import asyncio
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.wire import messages
from tests.support import entry_calls
from tests.support import fake_fleet
from tests.support import http_caller


@given("an entry with fake peers")
def step_entry(context):
    entry_calls.start_fleet(context)


@given("an entry with fake peers and a stall timeout of {stall_ms:d} ms")
def step_entry_stall_timeout(context, stall_ms):
    entry_calls.start_fleet(context, caller_stall_ms=stall_ms)


@given("an entry with fake peers and room for {count:d} requests")
def step_entry_max_requests(context, count):
    entry_calls.start_fleet(context, max_open_requests=count)


@given("an entry with fake peers and a balancer delay of {grace_ms:d} ms")
def step_entry_balancer_delay(context, grace_ms):
    entry_calls.start_fleet(context, balancer_grace_ms=grace_ms)


@given("an entry with fake peers and a state folder")
def step_entry_state_folder(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    entry_calls.start_fleet(context, state_folder=folder)


@given("the settings of the entry may be outdated")
def step_settings_outdated(context):
    context.fleet.entry.is_current = lambda: False
    context.fleet.run(
        entry_calls.restart_entry(context.fleet, is_current=False)
    )


@given('another agent "{name}"')
def step_add_agent(context, name):
    context.fleet.run(context.fleet.add_agent(name))
    context.fleet.run(entry_calls.wait_view_current(context.fleet))


SCRIPT_FIELDS_BY_FAULT = {
    "send each frame twice": {"repeat_frames": True},
    "send frames of another call": {"stray_chunks": True},
    "lose one frame": {"lose_chunk_at": 8},
    "announce more chunks than they send": {"announced_difference": 5},
    "announce fewer chunks than sent": {"announced_difference": -1},
    "send a frame far ahead": {"odd_first_seq": 1_000},
    "send a frame from before": {"odd_first_seq": 0},
    "send frames that overlap": {"overlap": 2},
    "send a frame with number -3": {"odd_first_seq": -3},
    "answer far more than a socket holds": {"padding": 1_000_000},
}


@given("agents with the fault: {fault}")
def step_agents_fault(context, fault):
    entry_calls.update_scripts(
        context.fleet.engines, **SCRIPT_FIELDS_BY_FAULT[fault]
    )


@given("agents that break off after {count:d} chunks")
def step_agents_break_off(context, count):
    entry_calls.update_scripts(context.fleet.engines, break_after=count)


@given(
    "agents that break off after {count:d} chunks and answer with different"
    " weights"
)
def step_agents_break_off_weights(context, count):
    for number, agent in enumerate(context.fleet.engines):
        entry_calls.update_scripts(
            [agent], break_after=count, weights_version=f"w{number}"
        )


@given("agents that fall silent after {count:d} chunks")
def step_agents_fall_silent(context, count):
    entry_calls.update_scripts(context.fleet.engines, silent_after=count)


@given("agents that take {pause_ms:d} ms per frame")
def step_agents_pause(context, pause_ms):
    entry_calls.update_scripts(context.fleet.engines, pause_ms=pause_ms)


@given('agents that refuse with "{reason}"')
def step_agents_refuse(context, reason):
    entry_calls.update_scripts(context.fleet.engines, not_run=reason)


@given('agent "{name}" breaks off after {count:d} chunks')
def step_agent_breaks_off(context, name, count):
    entry_calls.update_scripts(
        [context.fleet.agent_by_name[name]], break_after=count
    )


@given('engines that crash under the prompt "{prompt}"')
def step_engines_crash(context, prompt):
    entry_calls.update_scripts(context.fleet.engines, deadly_prompt=prompt)


@when('a caller asks for a {form} chat "{prompt:w}" {count:d} times')
def step_ask_repeatedly(context, form, prompt, count):
    for _ in range(count):
        body = entry_calls.chat_body(prompt, form == "streamed")
        entry_calls.ask(context, "POST", entry_calls.CHAT, body=body)


@then("engines crashed at most {most:d} times")
def step_engine_crashes(context, most):
    crashes = sum(agent.crashes for agent in context.fleet.engines)
    assert crashes <= most, crashes


@then('the last answer is 503 "{reason}", not run')
def step_last_refused(context, reason):
    assert context.seen.status == 503, context.seen
    assert context.seen.error["reason"] == reason, context.seen.error
    assert context.seen.error["not_run"] is True, context.seen.error


@then("control has the evidence of the crashes")
def step_evidence(context):
    fleet = context.fleet

    async def wait():
        await fake_fleet.wait_until(
            lambda: (
                fleet.control.evidence_hub.handle(
                    messages.EvidenceExchange()
                ).evidence.crashes
            )
        )

    fleet.run(wait())


@then('a caller who asks for "{prompt}" gets its answer')
def step_sound_prompt(context, prompt):
    body = entry_calls.chat_body(prompt, True)
    entry_calls.ask(context, "POST", entry_calls.CHAT, body=body)
    assert context.seen.text == fake_fleet.expected_text(prompt)


@given("agents that continue answers with an error page of status {status:d}")
def step_agents_error_page(context, status):
    entry_calls.update_scripts(context.fleet.engines, error_status=status)


@given('agent "{name}" refuses with "{reason}"')
def step_agent_refuses(context, name, reason):
    entry_calls.update_scripts(
        [context.fleet.agent_by_name[name]], not_run=reason
    )


@given('the option "{option}" is {value:d} for team "{team}"')
def step_team_option(context, option, value, team):
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
    context.fleet.run(entry_calls.wait_view_current(context.fleet))


@when('a caller with key "{key}" asks for a whole chat "{prompt:w}"')
def step_ask_with_key(context, key, prompt):
    given_key = "" if key == "none" else key
    entry_calls.ask(
        context,
        "POST",
        entry_calls.CHAT,
        given_key,
        entry_calls.chat_body(prompt, False),
    )


@when('a caller asks for a {form} chat "{prompt:w}"')
def step_ask_chat(context, form, prompt):
    entry_calls.ask(
        context,
        "POST",
        entry_calls.CHAT,
        body=entry_calls.chat_body(prompt, form == "streamed"),
    )


@when('a caller asks for a {form} chat "{prompt:w}" with a seed')
def step_ask_with_seed(context, form, prompt):
    body = entry_calls.chat_body(prompt, form == "streamed", seed=1)
    entry_calls.ask(context, "POST", entry_calls.CHAT, body=body)


@when('a caller asks for a {form} chat "{prompt:w}" due in {due_ms:d} ms')
def step_ask_with_deadline(context, form, prompt, due_ms):
    body = entry_calls.chat_body(prompt, form == "streamed")
    entry_calls.ask(
        context, "POST", entry_calls.CHAT, body=body, X_Deadline_Ms=str(due_ms)
    )


@when('a caller asks for a {form} chat "{prompt:w}" under key "{key}"')
def step_ask_under_key(context, form, prompt, key):
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
        await fake_fleet.wait_until(lambda: any(a.runs for a in fleet.engines))
        agent = next(a for a in fleet.engines if a.runs)
        await agent.server.stop()
        for other in fleet.engines:
            other.script.silent_after = -1

    async def run_both():
        body = entry_calls.chat_body(prompt, True, seed=1)
        reply, _ = await asyncio.gather(
            fleet.fetch("POST", entry_calls.CHAT, body=body), stop_agent()
        )
        return reply

    context.seen = http_caller.read(fleet.run(run_both()))


@when(
    'a caller asks for a streamed chat "{prompt:w}" whose agent is'
    " unreachable for {outage_ms:d} ms"
)
def step_agent_unreachable(context, prompt, outage_ms):
    fleet = context.fleet

    async def stop_and_return():
        await fake_fleet.wait_until(lambda: any(a.runs for a in fleet.engines))
        agent = next(a for a in fleet.engines if a.runs)
        await agent.server.stop()
        await asyncio.sleep(outage_ms / 1_000)
        agent.script.silent_after = -1
        await agent.listen_again()

    async def run_both():
        reply, _ = await asyncio.gather(
            fleet.fetch(
                "POST",
                entry_calls.CHAT,
                body=entry_calls.chat_body(prompt, True),
            ),
            stop_and_return(),
        )
        return reply

    context.seen = http_caller.read(fleet.run(run_both()))


@when('a caller posts {count:d} bytes to "{path}"')
def step_post_bytes(context, count, path):
    entry_calls.ask(context, "POST", path, body=b"x" * count)


@when('a caller posts {body} to "{path}"')
def step_post(context, body, path):
    entry_calls.ask(context, "POST", path, body=body.encode())


@when('a caller sends header "{name}" with value "{value}"')
def step_send_header(context, name, value):
    body = entry_calls.chat_body("hi", False)
    entry_calls.ask(
        context, "POST", entry_calls.CHAT, body=body, **{name: value}
    )


@when('a caller gets "{path}"')
def step_get_path(context, path):
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


@then("the error message contains {place}")
def step_error_message(context, place):
    assert place in context.seen.error["message"], context.seen.error


@then("the answer has a retry delay")
def step_retry_after(context):
    assert int(context.seen.head.header("retry-after")) >= 1
    assert context.seen.error["retry_after_ms"] > 0


@then("the answer has a retry delay of {retry_ms:d} ms")
def step_retry_delay(context, retry_ms):
    assert context.seen.error["retry_after_ms"] == retry_ms


@then("no agent got a request")
def step_no_request(context):
    assert not any(a.submits for a in context.fleet.engines)


@then("the agents got {count:d} request")
def step_request_count(context, count):
    assert sum(len(a.submits) for a in context.fleet.engines) == count


@then('the answer echoes request id "{request_id}"')
def step_request_id(context, request_id):
    assert context.seen.head.header("x-request-id") == request_id


@then("the answer has a request id")
def step_any_request_id(context):
    assert context.seen.head.header("x-request-id")


@then(
    "the agents saw {count:d} different request ids, none of them"
    ' "{request_id}"'
)
def step_internal_ids(context, count, request_id):
    submits = [s for a in context.fleet.engines for s in a.submits]
    request_ids = {submit.request_id for submit in submits}
    assert len(request_ids) == count and request_id not in request_ids, (
        request_ids
    )


@then("the explanation names the target that ran the request")
def step_explained(context):
    (attempt,) = context.seen.json["attempts"]
    agent = context.fleet.agent_by_name[attempt["chosen"]]
    assert agent.runs == 1
    assert attempt["candidates"][0]["target"] == attempt["chosen"]


@then(
    "the agent got priority {priority:d}, a deadline within {due_ms:d} ms and"
    " a level key"
)
def step_submitted_fields(context, priority, due_ms):
    (submit,) = [s for a in context.fleet.engines for s in a.submits]
    now_ms = context.fleet.control.server.link.clock.now_ms()
    assert submit.priority == priority
    assert submit.deadline_ms <= now_ms + due_ms
    assert submit.level_key
    assert submit.level_ends


@then(
    "the agent got {count:d} shared levels of the sharing generation in force"
)
def step_submitted_generation(context, count):
    (submit,) = [s for a in context.fleet.engines for s in a.submits]
    assert submit.shared_levels == count, submit
    assert submit.shared_generation > 0, submit


@when("the caller asks for {count:d} different chats")
def step_ask_many(context, count):
    for number in range(count):
        step_ask_chat(context, "whole", f"chat{number}")


@when("the entry restarts")
def step_restart(context):
    context.fleet.run(entry_calls.restart_entry(context.fleet))


@then("each chat went to the same target both times")
def step_same_targets(context):
    for agent in context.fleet.engines:
        prompts = [fake_fleet.prompt_of(s) for s in agent.submits]
        assert all(prompts.count(p) == 2 for p in prompts), prompts


@then('the caller gets the complete answer to "{prompt}"')
def step_complete_answer(context, prompt):
    seen = context.seen
    assert seen.status == 200, seen
    assert seen.text == fake_fleet.expected_text(prompt), seen
    assert seen.whole and not seen.error, seen


@then(
    'the caller gets the first {count:d} chunks and an error "{reason}", may'
    " have run"
)
def step_partial_answer(context, count, reason):
    seen = context.seen
    assert seen.text == fake_fleet.expected_text("hi", count), seen.text
    assert seen.error["reason"] == reason, seen.error
    assert seen.error["not_run"] is False
    assert not seen.whole


@given('agent "{name}" has stopped')
def step_agent_stopped(context, name):
    fleet = context.fleet
    connections = fleet.entry._connections.connection_by_address
    agent = fleet.agent_by_name[name]

    async def stop():
        await fake_fleet.wait_until(
            lambda: sum(c.is_connected for c in connections.values()) == 4
        )
        await agent.server.stop()
        await fake_fleet.wait_until(
            lambda: not all(c.is_connected for c in connections.values())
        )

    fleet.run(stop())


@then("all chats got complete answers without a retry")
def step_all_complete_no_retry(context):
    assert all(seen.whole for seen in context.answers), context.answers
    count_by_name = context.fleet.entry.counters.value_by_name
    assert not [name for name in count_by_name if name.startswith("retry.")]


@given('agent "{name}" does not accept requests')
def step_agent_ignores(context, name):
    entry_calls.update_scripts(
        [context.fleet.agent_by_name[name]], ignore_requests=True
    )


@then("all chats got complete answers")
def step_all_complete(context):
    assert all(seen.whole for seen in context.answers), context.answers


@then('agent "{name}" received a cancellation of each request')
def step_agent_cancelled_each(context, name):
    agent = context.fleet.agent_by_name[name]
    context.fleet.run(
        fake_fleet.wait_until(
            lambda: (
                {c.request_id for c in agent.cancels}
                == {s.request_id for s in agent.submits}
            )
        )
    )


@then('a retry was counted as "{reason}"')
def step_retry_counted(context, reason):
    count_by_name = context.fleet.entry.counters.value_by_name
    assert count_by_name[f"retry.{reason}"] > 0, count_by_name


@then("the error says that the request may have run")
def step_may_have_run(context):
    assert context.seen.error["not_run"] is False


@then("no agent was asked for a chunk that the caller already had")
def step_no_repeated_chunk(context):
    submits = [s for a in context.fleet.engines for s in a.submits]
    submits.sort(key=lambda submit: submit.attempt)
    first_seqs = [submit.continue_from for submit in submits]
    assert first_seqs == sorted(first_seqs) and first_seqs[-1] > 0, first_seqs


@then("{count:d} concurrent callers each get their own complete answer")
def step_concurrent_answers(context, count):
    async def ask_all():
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

    for number, reply in enumerate(context.fleet.run(ask_all())):
        seen = http_caller.read(reply)
        expected = fake_fleet.expected_text(f"p{number}")
        assert seen.whole and seen.text == expected, seen


@then("an agent received a cancellation")
def step_cancelled(context):
    agents = context.fleet.engines
    condition = fake_fleet.wait_until(lambda: any(a.cancels for a in agents))
    context.fleet.run(condition)


@then("the entry has no open request")
def step_no_open_request(context):
    admission = context.fleet.entry.admission
    context.fleet.run(
        fake_fleet.wait_until(lambda: not admission.open_requests)
    )
