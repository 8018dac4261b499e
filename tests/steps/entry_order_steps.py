"""Steps for orders through an entry."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.web import client as web
from lycheering.wire import messages
from tests.support import entry_calls
from tests.support import fake_fleet


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
    context.fleet.run(entry_calls.wait_view_current(context.fleet))


@given("control has no quorum")
def step_no_quorum(context):
    context.fleet.control.down = True


@given('control resolves orders in doubt as "{state}"')
def step_in_doubt_state(context, state):
    context.fleet.control.in_doubt_state = messages.OrderState(state)


@given('the service\'s agent refuses with "{reason}"')
def step_service_refuses(context, reason):
    entry_calls.update_scripts([context.fleet.service], not_run=reason)


@given("the service's agent falls silent on orders")
def step_service_falls_silent(context):
    entry_calls.update_scripts([context.fleet.service], silent_after=0)


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
    entry_calls.update_scripts([context.fleet.service], pause_ms=pause_ms)


@when("a caller calls the service without a key")
def step_call_without_key(context):
    entry_calls.ask(context, "POST", entry_calls.PORTAL, body=b"a")


@when('a caller calls the service with key "{key}" and body "{body}"')
def step_call(context, key, body):
    entry_calls.ask(
        context,
        "POST",
        entry_calls.PORTAL,
        body=body.encode(),
        Idempotency_Key=key,
    )


@when(
    'a caller calls the service with key "{key}" and body "{body}", due in'
    " {due_ms:d} ms"
)
def step_call_with_deadline(context, key, body, due_ms):
    headers = {"Idempotency_Key": key, "X_Deadline_Ms": str(due_ms)}
    entry_calls.ask(
        context, "POST", entry_calls.PORTAL, body=body.encode(), **headers
    )


@when(
    'a caller of "{team}" calls the service with key "{key}" and body "{body}"'
)
def step_call_team(context, team, key, body):
    entry_calls.ask(
        context,
        "POST",
        entry_calls.PORTAL,
        f"key-{team}",
        body.encode(),
        Idempotency_Key=key,
    )


@when(
    'a caller calls the service with key "{key}" and body "{body}" and'
    " disconnects at once"
)
def step_call_and_disconnect(context, key, body):
    fleet = context.fleet

    async def call_and_disconnect():
        exchange = await web.Exchange.connect(fleet.origin)
        headers = {"Authorization": "Bearer key-north", "Idempotency-Key": key}
        exchange.send("POST", entry_calls.PORTAL, headers, body.encode())
        await fake_fleet.wait_until(lambda: fleet.service.runs)
        exchange.close()

    fleet.run(call_and_disconnect())


@then('order "{key}" reaches state finished')
def step_order_finished(context, key):
    reply_by_order = context.fleet.control.reply_by_order
    expected = messages.OrderState.FINISHED
    condition = fake_fleet.wait_until(
        lambda: reply_by_order[f"north/{key}"][0].state is expected
    )
    context.fleet.run(condition)


@then("the service ran {count:d} times")
def step_runs(context, count):
    assert context.fleet.service.runs == count, context.fleet.service.runs


@then(
    'the caller gets the service\'s answer of run {number:d}, state "{state}"'
)
def step_service_answer(context, number, state):
    assert context.seen.json == {"run": number}, context.seen
    assert context.seen.head.header("x-order-state") == state


@then("control received {names}")
def step_control_calls(context, names):
    calls = [type(call).__name__ for call in context.fleet.control.calls]
    assert calls == names.split(", "), calls


@then("the agent received the ticket of the claim")
def step_ticket(context):
    (submit,) = context.fleet.service.submits
    assert submit.ticket == messages.OrderTicket("north/k1", 7), submit


@then("every claim was released")
def step_claims_released(context):
    calls = [type(call).__name__ for call in context.fleet.control.calls]
    assert calls.count("OrderClaim") == calls.count("OrderRelease") > 0, calls


@given("only the second agent reports that it has cached prompts")
def step_second_agent_cached(context):
    for number, agent in enumerate(context.fleet.engines):
        agent.script.held_pieces = number


@then("the second agent ran {count:d} requests")
def step_second_ran(context, count):
    assert context.fleet.engines[1].runs == count


@then("the agents ran {count:d} requests")
def step_all_ran(context, count):
    assert sum(agent.runs for agent in context.fleet.engines) == count
