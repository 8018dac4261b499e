"""Steps for claimed orders whose outcome was not reported."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.orders import api
from lycheering.orders import ledger
from lycheering.orders import order_reconciler
from lycheering.telemetry import counters
from lycheering.wire import messages

TIMEOUT_S = 20


class LocalOrderLedger(api.OrderLedger):
    """A ledger that is not replicated."""

    def __init__(self, time):
        self.ledger = ledger.Ledger()
        self.clock = time
        self.has_inquiries = True
        self.has_quorum = True

    def is_leader(self):
        return True

    def are_inquiries_enabled(self):
        return self.has_inquiries

    def wall_ms(self):
        return self.clock.wall_ms()

    def open_orders(self):
        return self.ledger.open_orders()

    def find_by_id(self, order_id):
        return self.ledger.find_by_id(order_id)

    def check_quorum(self):
        if not self.has_quorum:
            raise RuntimeError("no quorum")

    async def finish(self, order_id, outcome):
        self.check_quorum()
        self.ledger.finish(order_id, outcome, self.wall_ms())

    async def release(self, order_id, reason):
        self.check_quorum()
        self.ledger.release(order_id, reason, self.wall_ms())

    async def mark_unknown(self, order_id, reason):
        self.check_quorum()
        self.ledger.mark_unknown(order_id, reason, self.wall_ms())

    async def expire(self):
        self.ledger.expire(self.wall_ms())


class ScriptedAgent(api.AgentInquirer):
    """An agent that gives the answer set by a step, or none at all."""

    def __init__(self):
        self.answer = None
        self.inquiry_count = 0

    async def inquire(self, order):
        self.inquiry_count += 1
        if self.answer is None:
            await asyncio.Event().wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def claim(context, request_id="r1"):
    request = messages.OrderClaim(
        "alpha", "k", "d", request_id, "t1", "i1", 86_400_000
    )
    fence = len(context.order_ledger.ledger.order_by_key) + 1
    if context.order_id:
        fence += 1
    return context.order_ledger.ledger.claim(
        request, fence, context.clock.wall_ms()
    )


@given("a leader that settles orders by inquiries to agents")
def step_leader(context):
    context.clock = clock.ManualClock(1_000_000)
    context.order_ledger = LocalOrderLedger(context.clock)
    context.agent = ScriptedAgent()
    context.counters = counters.Counters()
    context.reconciler = order_reconciler.OrderReconciler(
        context.order_ledger, context.agent, context.clock, context.counters
    )
    context.order_id = ""


@given('the agent answers "{result}"')
def step_answers(context, result):
    context.agent.answer = messages.OrderInquiryReply(
        messages.InquiryResult(result)
    )


@given('the agent finished the order with "{text}"')
def step_answers_done(context, text):
    outcome = messages.OrderOutcome(200, "text/plain", text.encode(), "r1")
    context.agent.answer = messages.OrderInquiryReply(
        messages.InquiryResult.DONE, outcome
    )


@given("the agent finished the order but dropped the answer")
def step_answers_empty(context):
    context.agent.answer = messages.OrderInquiryReply(
        messages.InquiryResult.DONE
    )


@given("the agent is gone")
def step_gone(context):
    context.agent.answer = api.AgentGoneError("agent was restarted")


@given("the agent is silent")
def step_silent(context):
    context.agent.answer = api.AgentSilentError("no answer")


@given("the agent is silent and gone from the fleet")
def step_absent(context):
    context.agent.answer = api.AgentAbsentError("no answer")


@given("inquiries to agents are disabled")
def step_no_inquiries(context):
    context.order_ledger.has_inquiries = False


@given("the ledger has no quorum")
def step_no_quorum(context):
    context.order_ledger.has_quorum = False


def claim_and_wait(context, age_ms):
    context.order_id = claim(context).order.order_id
    context.clock.advance(age_ms)


@when("the sweep runs on a claim that is {age_ms:d} ms old")
def step_sweep(context, age_ms):
    claim_and_wait(context, age_ms)
    asyncio.run(context.reconciler.sweep())


@when("the sweep runs {count:d} times on a claim that is {age_ms:d} ms old")
def step_sweeps(context, count, age_ms):
    claim_and_wait(context, age_ms)
    for _ in range(count):
        asyncio.run(context.reconciler.sweep())


@when("{pause_ms:d} ms pass and the sweep runs")
def step_later(context, pause_ms):
    context.clock.advance(pause_ms)
    asyncio.run(context.reconciler.sweep())


@when("a caller looks up a claim that is {age_ms:d} ms old")
def step_look_up(context, age_ms):
    claim_and_wait(context, age_ms)
    order = context.order_ledger.find_by_id(context.order_id)
    asyncio.run(context.reconciler.settle(order))


@when("callers look up a claim whose agent does not answer at all")
def step_look_up_stuck(context):
    context.agent.answer = None
    claim_and_wait(context, 400)
    order = context.order_ledger.find_by_id(context.order_id)

    async def look_up():
        await asyncio.wait_for(context.reconciler.settle(order), TIMEOUT_S)
        await asyncio.wait_for(context.reconciler.settle(order), TIMEOUT_S)
        await context.reconciler.stop()

    asyncio.run(look_up())


@then("the inquired order is {state}")
def step_state(context, state):
    assert context.order_ledger.find_by_id(context.order_id).state == state


@then('the inquired order holds the answer "{text}"')
def step_finished(context, text):
    order = context.order_ledger.find_by_id(context.order_id)
    assert order.state == messages.OrderState.FINISHED
    assert order.outcome.body == text.encode()


@then("the key can be claimed again")
def step_claim_again(context):
    assert claim(context, "r2").is_granted


@then("the unknown order is counted")
def step_counted(context):
    assert context.counters.value_by_name["orders.unknown"] == 1


@then("the agent got {count:d} inquiries")
def step_inquiry_count(context, count):
    assert context.agent.inquiry_count == count
