"""Steps for the order ledger."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.orders import ledger
from lycheering.wire import messages

DAY_MS = 24 * 3_600_000


class Desk:
    """Drives a ledger as the state machine does."""

    def __init__(self, limit=ledger.MAX_ORDERS):
        self.ledger = ledger.Ledger(limit)
        self.now_ms = 1_000
        self.fence = 0
        self.verdicts = []
        self.verdicts_by_request = {}
        self.id_by_request = {}

    def claim(self, request_id, team, key, digest="d1"):
        asked = messages.OrderClaim(
            team, key, digest, request_id, "t1", "i1", DAY_MS
        )
        verdict = self.ledger.claim(asked, self.fence + 1, self.now_ms)
        if verdict.granted:
            self.fence += 1
            self.id_by_request[request_id] = verdict.order.order_id
        self.verdicts_by_request.setdefault(request_id, []).append(verdict)
        self.verdicts.append(verdict)

    def take(self, verdict):
        self.verdicts.append(verdict)


def outcome(body):
    return messages.OrderOutcome(200, "text/plain", body, "r")


@given("an order ledger")
def step_ledger(context):
    context.desk = Desk()


@given("an order ledger for {limit:d} orders")
def step_small_ledger(context, limit):
    context.desk = Desk(limit)


@when('request "{request}" claims key "{key}" of team "{team}"')
def step_claim(context, request, key, team):
    context.desk.claim(request, team, key)


@when(
    'request "{request}" claims key "{key}" of team "{team}" with another body'
)
def step_claim_other(context, request, key, team):
    context.desk.claim(request, team, key, "d2")


@when('the order of "{request}" is finished with "{text}"')
def step_finish(context, request, text):
    desk = context.desk
    order_id = desk.id_by_request[request]
    desk.take(desk.ledger.finish(order_id, outcome(text.encode()), desk.now_ms))


@when('the order of "{request}" is finished with {size:d} bytes')
def step_finish_size(context, request, size):
    desk = context.desk
    order_id = desk.id_by_request[request]
    desk.take(desk.ledger.finish(order_id, outcome(b"x" * size), desk.now_ms))


@when('the order of "{request}" is released')
def step_release(context, request):
    desk = context.desk
    order_id = desk.id_by_request[request]
    desk.take(desk.ledger.release(order_id, "not run", desk.now_ms))


@when('the order of "{request}" is marked unknown')
def step_unknown(context, request):
    desk = context.desk
    order_id = desk.id_by_request[request]
    desk.take(desk.ledger.mark_unknown(order_id, "gone", desk.now_ms))


@when('an operator says that the order of "{request}" {word}')
def step_resolve(context, request, word):
    desk = context.desk
    order_id = desk.id_by_request[request]
    ran = word == "ran"
    desk.take(desk.ledger.resolve(order_id, ran, "ada: seen", desk.now_ms))


@when("{days:d} days pass in the ledger")
def step_days(context, days):
    context.desk.now_ms += days * DAY_MS
    context.desk.ledger.expire(context.desk.now_ms)


@when("the leader's clock steps back by {days:d} days")
def step_back(context, days):
    context.highest_ms = context.desk.now_ms
    context.desk.now_ms -= days * DAY_MS


@then('the claim of "{first}" was granted and that of "{second}" was not')
def step_granted(context, first, second):
    by_request = context.desk.verdicts_by_request
    assert by_request[first][-1].granted
    assert not by_request[second][-1].granted


@then("only the first claim was granted")
def step_first_only(context):
    granted = [verdict.granted for verdict in context.desk.verdicts]
    assert granted == [True, False], granted


@then('request "{request}" is told that the order is {state} by "{holder}"')
def step_told(context, request, state, holder):
    verdict = context.desk.verdicts_by_request[request][-1]
    assert not verdict.granted
    assert verdict.order.state == state
    assert verdict.order.request_id == holder


@then("both claims were granted with different fencing numbers")
def step_different(context):
    fences = [verdict.order.fence for verdict in context.desk.verdicts]
    assert all(verdict.granted for verdict in context.desk.verdicts)
    assert len(set(fences)) == 2


@then("both claims were granted, the second with the higher fence")
def step_higher(context):
    claims = [v for v in context.desk.verdicts if v.granted]
    assert len(claims) == 2
    assert claims[0].order.fence < claims[1].order.fence
    assert claims[0].order.order_id != claims[1].order.order_id


@then('request "{request}" is not granted and gets the answer "{text}"')
def step_answer(context, request, text):
    verdict = context.desk.verdicts_by_request[request][-1]
    assert not verdict.granted
    assert verdict.order.outcome.body == text.encode()


@then('request "{request}" is refused as "{refusal}"')
def step_claim_refused(context, request, refusal):
    verdict = context.desk.verdicts_by_request[request][-1]
    assert not verdict.granted
    assert verdict.refusal == refusal


@then('that is refused as "{refusal}"')
def step_refused(context, refusal):
    verdict = context.desk.verdicts[-1]
    assert not verdict.done
    assert verdict.refusal == refusal, verdict


@then('the order of "{request}" is {state}')
def step_state(context, request, state):
    order_id = context.desk.id_by_request[request]
    assert context.desk.ledger.find_id(order_id).state == state


@then('the ledger holds only the order of "{request}"')
def step_holds(context, request):
    held = context.desk.ledger.order_by_key.values()
    assert [order.request_id for order in held] == [request]


@then("nothing of the answers is kept")
def step_nothing_kept(context):
    assert context.desk.ledger.kept_bytes == 0


@then('the order of "{request}" was claimed at the highest time seen')
def step_claimed_at(context, request):
    order_id = context.desk.id_by_request[request]
    order = context.desk.ledger.find_id(order_id)
    assert order.claimed_ms == context.highest_ms


STEPS = strategies.tuples(
    strategies.sampled_from(
        ["claim", "finish", "release", "unknown", "resolve"]
    ),
    strategies.sampled_from(["k1", "k2"]),
    strategies.integers(0, 9),
)


@then("any steps leave at most one claim per key that may have run")
def step_at_most_once(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(strategies.lists(STEPS, max_size=30))
    def check(steps):
        book = ledger.Ledger()
        key_by_id = {}
        given_back = set()
        for fence, (step, key, choice) in enumerate(steps, start=1):
            ids = list(key_by_id)
            chosen = ids[choice % len(ids)] if ids else "none"
            if step == "claim":
                asked = messages.OrderClaim(
                    "alpha", key, "d", f"r{fence}", "t1", "i1", DAY_MS
                )
                verdict = book.claim(asked, fence, fence)
                if verdict.granted:
                    key_by_id[verdict.order.order_id] = key
            elif step == "finish":
                book.finish(chosen, outcome(b"x"), fence)
            elif step == "unknown":
                book.mark_unknown(chosen, "gone", fence)
            else:
                is_release = step == "release"
                done = (
                    book.release(chosen, "not run", fence)
                    if is_release
                    else book.resolve(chosen, False, "ada: seen", fence)
                )
                if done.done:
                    given_back.add(chosen)
            may_run = [
                key for id_, key in key_by_id.items() if id_ not in given_back
            ]
            assert len(may_run) == len(set(may_run)), steps

    check()
