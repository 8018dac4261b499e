"""Steps for the ledger of orders."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.orders import ledger
from lycheering.wire import messages

DAY_MS = 24 * 3_600_000


class LedgerDriver:
    """Sends commands to a ledger as the state machine does."""

    def __init__(self, max_orders=ledger.MAX_ORDERS):
        self.ledger = ledger.Ledger(max_orders)
        self.now_ms = 1_000
        self.fence = 0
        self.results = []
        self.results_by_request = {}
        self.id_by_request = {}

    def claim(self, request_id, team, key, digest="d1"):
        request = messages.OrderClaim(
            team, key, digest, request_id, "t1", "i1", DAY_MS
        )
        result = self.ledger.claim(request, self.fence + 1, self.now_ms)
        if result.is_granted:
            self.fence += 1
            self.id_by_request[request_id] = result.order.order_id
        self.results_by_request.setdefault(request_id, []).append(result)
        self.results.append(result)

    def add(self, result):
        self.results.append(result)


def outcome(body):
    return messages.OrderOutcome(200, "text/plain", body, "r")


@given("an order ledger")
def step_ledger(context):
    context.driver = LedgerDriver()


@given("an order ledger for {max_orders:d} orders")
def step_small_ledger(context, max_orders):
    context.driver = LedgerDriver(max_orders)


@when('request "{request}" claims key "{key}" of team "{team}"')
def step_claim(context, request, key, team):
    context.driver.claim(request, team, key)


@when(
    'request "{request}" claims key "{key}" of team "{team}" with another body'
)
def step_claim_other(context, request, key, team):
    context.driver.claim(request, team, key, "d2")


@when('the order of "{request}" is finished with "{text}"')
def step_finish(context, request, text):
    driver = context.driver
    order_id = driver.id_by_request[request]
    driver.add(
        driver.ledger.finish(order_id, outcome(text.encode()), driver.now_ms)
    )


@when('the order of "{request}" is finished with {size:d} bytes')
def step_finish_size(context, request, size):
    driver = context.driver
    order_id = driver.id_by_request[request]
    driver.add(
        driver.ledger.finish(order_id, outcome(b"x" * size), driver.now_ms)
    )


@when('the order of "{request}" is released')
def step_release(context, request):
    driver = context.driver
    order_id = driver.id_by_request[request]
    driver.add(driver.ledger.release(order_id, "not run", driver.now_ms))


@when('the order of "{request}" is marked unknown')
def step_unknown(context, request):
    driver = context.driver
    order_id = driver.id_by_request[request]
    driver.add(driver.ledger.mark_unknown(order_id, "gone", driver.now_ms))


@when('an operator says that the order of "{request}" {decision}')
def step_resolve(context, request, decision):
    driver = context.driver
    order_id = driver.id_by_request[request]
    ran = decision == "ran"
    driver.add(driver.ledger.resolve(order_id, ran, "ada: seen", driver.now_ms))


@when("{days:d} days pass in the ledger")
def step_days(context, days):
    context.driver.now_ms += days * DAY_MS
    context.driver.ledger.expire(context.driver.now_ms)


@when("the leader's clock steps back by {days:d} days")
def step_back(context, days):
    context.highest_ms = context.driver.now_ms
    context.driver.now_ms -= days * DAY_MS


@then('the claim of "{first}" was granted and that of "{second}" was not')
def step_granted(context, first, second):
    by_request = context.driver.results_by_request
    assert by_request[first][-1].is_granted
    assert not by_request[second][-1].is_granted


@then("only the first claim was granted")
def step_first_only(context):
    granted = [result.is_granted for result in context.driver.results]
    assert granted == [True, False], granted


@then(
    'request "{request}" gets the order in state {state} of request "{holder}"'
)
def step_existing_order(context, request, state, holder):
    result = context.driver.results_by_request[request][-1]
    assert not result.is_granted
    assert result.order.state == state
    assert result.order.request_id == holder


@then("both claims were granted with different fencing numbers")
def step_different(context):
    fences = [result.order.fence for result in context.driver.results]
    assert all(result.is_granted for result in context.driver.results)
    assert len(set(fences)) == 2


@then("both claims were granted, the second with the higher fence")
def step_higher(context):
    claims = [result for result in context.driver.results if result.is_granted]
    assert len(claims) == 2
    assert claims[0].order.fence < claims[1].order.fence
    assert claims[0].order.order_id != claims[1].order.order_id


@then('request "{request}" is not granted and gets the answer "{text}"')
def step_answer(context, request, text):
    result = context.driver.results_by_request[request][-1]
    assert not result.is_granted
    assert result.order.outcome.body == text.encode()


@then('request "{request}" is refused as "{refusal}"')
def step_claim_refused(context, request, refusal):
    result = context.driver.results_by_request[request][-1]
    assert not result.is_granted
    assert result.refusal_reason == refusal


@then('the last command is refused as "{refusal}"')
def step_refused(context, refusal):
    result = context.driver.results[-1]
    assert not result.is_accepted
    assert result.refusal_reason == refusal, result


@then('the order of "{request}" is {state}')
def step_state(context, request, state):
    order_id = context.driver.id_by_request[request]
    assert context.driver.ledger.find_by_id(order_id).state == state


@then('the ledger holds only the order of "{request}"')
def step_only_order(context, request):
    held = context.driver.ledger.order_by_key.values()
    assert [order.request_id for order in held] == [request]


@then("no answer is kept")
def step_nothing_kept(context):
    assert context.driver.ledger.kept_bytes == 0


@then('the order of "{request}" was claimed at the highest time seen')
def step_claimed_at(context, request):
    order_id = context.driver.id_by_request[request]
    order = context.driver.ledger.find_by_id(order_id)
    assert order.claimed_ms == context.highest_ms


COMMANDS = strategies.tuples(
    strategies.sampled_from(
        ["claim", "finish", "release", "unknown", "resolve"]
    ),
    strategies.sampled_from(["k1", "k2"]),
    strategies.integers(0, 9),
)


@then("after any commands, at most one claim per key may have run")
def step_at_most_once(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(strategies.lists(COMMANDS, max_size=30))
    def check(commands):
        order_ledger = ledger.Ledger()
        key_by_id = {}
        released = set()
        for fence, (command, key, choice) in enumerate(commands, start=1):
            ids = list(key_by_id)
            order_id = ids[choice % len(ids)] if ids else "none"
            if command == "claim":
                request = messages.OrderClaim(
                    "alpha", key, "d", f"r{fence}", "t1", "i1", DAY_MS
                )
                result = order_ledger.claim(request, fence, fence)
                if result.is_granted:
                    key_by_id[result.order.order_id] = key
            elif command == "finish":
                order_ledger.finish(order_id, outcome(b"x"), fence)
            elif command == "unknown":
                order_ledger.mark_unknown(order_id, "gone", fence)
            else:
                is_release = command == "release"
                result = (
                    order_ledger.release(order_id, "not run", fence)
                    if is_release
                    else order_ledger.resolve(
                        order_id, False, "ada: seen", fence
                    )
                )
                if result.is_accepted:
                    released.add(order_id)
            may_run = [
                key for id_, key in key_by_id.items() if id_ not in released
            ]
            assert len(may_run) == len(set(may_run)), commands

    check()
