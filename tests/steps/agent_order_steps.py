"""Steps for orders and target orders at an agent."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.agent import order_registry
from lycheering.limits import api as limits_api
from lycheering.wire import messages
from tests.helpers import agent_bench

HIGHEST_FENCE = 5
RETENTION_MS = 60_000
REPLY_TIMEOUT_MS = 1_500


def begin(
    context, *arguments, script=None, highest_fence=HIGHEST_FENCE, **options
):
    bench = agent_bench.Bench()
    context.bench = bench
    context.stack.callback(bench.close)
    bench.control.highest_fence = highest_fence
    if script is None:
        bench.run(bench.start_service(*arguments))
    else:
        bench.run(bench.start_scripted_target(script))
    values = {"kind": "service", "service": "orders", "model": ""}
    bench.run(bench.start_agent(**values, **options))


@given("a registered agent beside a service")
def step_service(context):
    begin(context)


@given("a registered agent beside a service that takes {delay:d} ms")
def step_slow_service(context, delay):
    begin(context, "--delay-ms", str(delay))


@given("an agent without a quorum beside a service")
def step_no_quorum(context):
    begin(context, highest_fence=None)


@given("a registered agent beside a service that hangs up")
def step_hangs_up(context):
    begin(context, script=[b""])


@given("a registered agent beside a service that goes silent at once")
def step_goes_silent(context):
    begin(context, script=[None], reply_timeout_ms=REPLY_TIMEOUT_MS)


@given("the agent is suspended for {pause:d} ms between connecting and sending")
def step_suspended(context, pause):
    agent = context.bench.context
    send = agent.driver.send
    now_ms = agent.clock.now_ms

    async def send_late(call, before_send):
        def before_send_late():
            agent.clock.now_ms = lambda: now_ms() + pause
            try:
                before_send()
            finally:
                agent.clock.now_ms = now_ms

        return await send(call, before_send_late)

    agent.driver.send = send_late


def order(context, order_id, fence, attempt=1):
    return context.bench.submit(
        "r1",
        attempt=attempt,
        path="/orders",
        model="",
        body=b"one page",
        ticket=messages.OrderTicket(order_id, fence),
    )


@when('an entry submits order "{order_id}" with fence {fence:d}')
@when(
    'an entry submits order "{order_id}" with fence {fence:d} as attempt'
    " {attempt:d}"
)
def step_submit(context, order_id, fence, attempt=1):
    bench = context.bench
    submit = order(context, order_id, fence, attempt)
    context.outcome = bench.run(bench.ask(submit))


@when('an entry disconnects after order "{order_id}" with fence {fence:d}')
def step_entry_disconnects(context, order_id, fence):
    bench = context.bench

    async def go():
        await bench.send(order(context, order_id, fence))
        await bench.recorded(bool)
        await bench.disconnect("entry-1")

    bench.run(go())


@when("it is cancelled")
def step_cancelled(context):
    bench = context.bench
    bench.run(bench.send(messages.Cancel("r1", 1), "entry-2"))


def ask(context, message):
    async def call():
        connection = await context.bench.entry("control-1")
        return await connection.call(message)

    context.reply = context.bench.run(call())
    return context.reply


def inquire(context, order_id):
    return ask(context, messages.OrderInquiry(order_id))


@when('control inquires for order "{order_id}"')
def step_inquire(context, order_id):
    inquire(context, order_id)


@then('the inquiry says "{result}"')
def step_inquiry_says(context, result):
    assert context.reply.result == result, context.reply


@then('an inquiry for order "{order_id}" says "{result}"')
def step_inquiry(context, order_id, result):
    reply = inquire(context, order_id)
    assert reply.result == result, reply


@then('the inquiry for order "{order_id}" has the answer as "{result}"')
def step_inquiry_answer(context, order_id, result):
    step_inquiry(context, order_id, result)
    answer = b"".join(context.outcome.items)
    assert context.reply.outcome.body == answer
    assert context.reply.outcome.status == 200


@then('inquiries for order "{order_id}" say "{first}", later "{later}"')
def step_inquiry_later(context, order_id, first, later):
    result = inquire(context, order_id).result
    assert result in (first, later), result
    while result != later:
        assert result == first, result
        result = inquire(context, order_id).result


@then("the order is finished")
def step_finished(context):
    assert isinstance(context.outcome.ending, messages.Finished)


@then('the order is not run because of "{reason}"')
def step_not_run(context, reason):
    ending = context.outcome.ending
    assert isinstance(ending, messages.NotRun), ending
    assert ending.reason == reason, ending


@then('the order is broken because of "{reason}"')
def step_broken(context, reason):
    ending = context.outcome.ending
    assert isinstance(ending, messages.Broken), ending
    assert ending.reason == reason, ending


@then('the agent counts {count:d} refusal as "{reason}" when asked')
def step_counters(context, count, reason):
    reply = ask(context, messages.CountersFetch())
    assert reply.value_by_name.get(f"refusal.{reason}") == count, reply


@then("the service ran {count:d} calls")
def step_ran(context, count):
    runs = context.bench.run(context.bench.record())
    assert len(runs) == count, runs


@then("the service ran 1 call with fence {fence:d}")
def step_ran_once(context, fence):
    (run,) = context.bench.run(context.bench.record())
    assert run["fence"] == fence, run
    assert run["outcome"] == "finished", run


@then("the target received {count:d} request")
def step_received(context, count):
    assert len(context.bench.target.lines) == count


def new_registry(context):
    context.clock = clock.ManualClock(1_000)
    context.registry = order_registry.OrderRegistry(context.clock, RETENTION_MS)
    context.registry.set_highest_fence(0)


def receive(context, order_id, fence):
    context.registry.receive(messages.OrderTicket(order_id, fence))


@given('an order registry that received order "{order_id}"')
def step_registry(context, order_id):
    new_registry(context)
    receive(context, order_id, 1)


@given("an order registry that received orders with fences {one:d} and {two:d}")
def step_registry_fences(context, one, two):
    new_registry(context)
    receive(context, f"o{one}", one)
    receive(context, f"o{two}", two)


@given("an order registry with room for {count:d} orders")
def step_registry_room(context, count):
    before = order_registry.MAX_ORDERS
    order_registry.MAX_ORDERS = count
    context.stack.callback(setattr, order_registry, "MAX_ORDERS", before)
    new_registry(context)


@when('the registry is asked for order "{order_id}"')
def step_registry_asked(context, order_id):
    context.reply = context.registry.inquire(order_id)


@then('the registry answers "{result}"')
def step_registry_answers(context, result):
    assert context.reply.result == result


def reason_of(call, *arguments):
    try:
        call(*arguments)
    except limits_api.RefusedError as error:
        return error.reason
    return ""


@then('the registry refuses to send order "{order_id}"')
def step_registry_blocked(context, order_id):
    ticket = messages.OrderTicket(order_id, 1)
    assert reason_of(context.registry.mark_sent, ticket, False) == "blocked"


@when("{count:d} orders arrive at the registry")
def step_registry_orders(context, count):
    context.reasons = [
        reason_of(receive, context, f"o{number}", 1) for number in range(count)
    ]


@then('the registry refuses the last one as "{reason}"')
def step_registry_refuses(context, reason):
    assert context.reasons[-1] == reason
    assert not any(context.reasons[:-1])


@then("the registry remembers the first {count:d}")
def step_registry_remembers(context, count):
    for number in range(count):
        ticket = messages.OrderTicket(f"o{number}", 1)
        context.registry.mark_sent(ticket, False)
        context.registry.mark_unknown(ticket.order_id)
        assert context.registry.inquire(ticket.order_id).result == "unknown"


@when("the retention time of the registry passes")
def step_registry_retention(context):
    context.clock.advance(RETENTION_MS)


@then("the registry accepts another order")
def step_registry_another(context):
    receive(context, "another", 1)


@when("the order with fence {fence:d} is sent")
def step_registry_leaves(context, fence):
    context.registry.mark_sent(messages.OrderTicket(f"o{fence}", fence), True)


@then(
    "the order with fence {fence:d} may only be sent if fences are not checked"
)
def step_registry_in_order(context, fence):
    ticket = messages.OrderTicket(f"o{fence}", fence)
    assert reason_of(context.registry.mark_sent, ticket, True) == "fenced"
    assert reason_of(context.registry.mark_sent, ticket, False) == ""


def weights_order(version, fence):
    return messages.TargetOrder(
        fence,
        messages.TargetOrderKind.LOAD_WEIGHTS,
        model="model",
        version=version,
    )


@when('control orders weights "{version}" with fence {fence:d}')
def step_order_weights(context, version, fence):
    message = weights_order(version, fence)

    async def call():
        connection = await context.bench.entry("control-1")
        return await connection.call(message, agent_bench.LONG_MS)

    context.reply = context.bench.run(call())


@then("the target order is done")
def step_target_done(context):
    assert context.reply.done, context.reply


@then("the target order is refused by fence {fence:d}")
def step_target_refused(context, fence):
    assert not context.reply.done
    assert context.reply.highest_fence == fence


@when('weights "{version}" are being loaded')
def step_loading(context, version):
    context.bench.context.state.begin_weights_load(version)


@then("it has a retry time")
def step_retry_time(context):
    assert context.outcome.ending.retry_after_ms > 0
