"""Steps for the retry budget and circuit breakers."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.retries import circuit_breaker
from lycheering.retries import request_retries
from lycheering.retries import retry_budget
from lycheering.wire import messages


@given("a retry budget")
def step_budget(context):
    context.clock = clock.ManualClock()
    context.budget = retry_budget.RetryBudget(context.clock)


@when(
    "{count:d} first attempts arrive over {duration_ms:d} ms and each asks"
    " for {retries:d} retries"
)
def step_attempts(context, count, duration_ms, retries):
    context.granted = 0
    for _ in range(count):
        context.clock.advance(duration_ms / count)
        context.budget.add_first_attempt(0.1)
        for _ in range(retries):
            context.granted += context.budget.try_spend()


@then("at most {count:d} retries were granted")
def step_at_most(context, count):
    assert context.granted <= count, context.granted


@then("at least {count:d} retries were granted")
def step_at_least(context, count):
    assert context.granted >= count, context.granted


@when(
    "a request of at most {attempts:d} attempts keeps failing with"
    " {outcome}: {reason}"
)
def step_keeps_failing(context, attempts, outcome, reason):
    try_spend = context.budget.try_spend
    context.spent = 0

    def counted():
        context.spent += 1
        return try_spend()

    context.budget.try_spend = counted
    request = request_retries.RequestRetries(context.budget, attempts)
    context.granted = 0
    while request.try_take(
        messages.Reason(reason), not_run=outcome == "not run"
    ):
        context.granted += 1


@then("{count:d} retries were taken out of the budget")
def step_spent(context, count):
    assert context.spent == count, context.spent


@given("a circuit whose target failed once")
def step_circuit(context):
    context.clock = clock.ManualClock()
    context.circuit_breakers = circuit_breaker.CircuitBreakers(context.clock)
    context.circuit_breakers.record_failure("t")


@given("the circuit's target fails again")
def step_failed(context):
    context.circuit_breakers.record_failure("t")


@when("the circuit's clock advances by {duration_ms:d} ms")
def step_advance(context, duration_ms):
    context.clock.advance(duration_ms)


@when("a probe is sent to the circuit's target")
def step_sent(context):
    context.circuit_breakers.record_sent("t")


@when("the circuit's target succeeds")
def step_succeeds(context):
    context.circuit_breakers.record_success("t")


@then("the circuit's target is usable")
def step_usable(context):
    assert context.circuit_breakers.is_usable("t")


@then("the circuit's target is not usable")
def step_not_usable(context):
    assert not context.circuit_breakers.is_usable("t")
