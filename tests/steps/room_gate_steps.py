"""Steps for the gate at which requests are held or refused."""

from __future__ import annotations

import asyncio
import random
import types

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.forward import intake
from lycheering.forward import refusals
from lycheering.forward import room_gate
from lycheering.forward import target_selection
from lycheering.limits import room as rooms
from lycheering.routes import api as routes
from lycheering.telemetry import counters
from tests.helpers import direct_targets

OBJECTIVE_MS = 1_100.0


class SteppedClock(clock.ManualClock):
    """A clock whose sleeps advance it at once."""

    def __init__(self):
        super().__init__(5_000.0)
        self.on_sleep = lambda: None

    async def sleep(self, duration_ms):
        self.advance(duration_ms)
        self.on_sleep()


def make_gate(context):
    if hasattr(context, "gate"):
        return
    context.clock = SteppedClock()
    context.gate = room_gate.RoomGate(
        rooms.RoomSettings(),
        context.clock,
        random.Random(1),
        counters.Counters(),
    )


def make_request(now_ms):
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name="s"),
        route=types.SimpleNamespace(
            name="r", priority=2, objective_ms=OBJECTIVE_MS
        ),
        metadata=types.SimpleNamespace(output_tokens=10, request_id="r1"),
        team=None,
        caller=types.SimpleNamespace(is_disconnected=False),
        place=None,
        is_ranked=True,
        applied_ms=0.0,
        has_returned=False,
        deadline_ms=now_ms + 9_000.0,
        priority=5,
        first_level=0,
        profile=target_selection.RequestProfile(),
        rank="",
    )


def ask(context, queues_ms):
    """Asks until the request is sent or refused."""
    make_gate(context)
    context.request = make_request(context.clock.now_ms())
    context.request.is_ranked = getattr(context, "is_ranked", True)
    context.refusal = None
    state = direct_targets.state(1)

    async def run():
        for queue_ms in queues_ms:
            estimate = target_selection.Estimate(
                state, queue_ms, queue_ms, queue_ms, 100
            )
            if await context.gate.admit(context.request, estimate):
                return True
        return False

    try:
        context.is_sent = asyncio.run(run())
    except refusals.RefusalError as refusal:
        context.refusal = refusal
    except (refusals.CallerGoneError, asyncio.CancelledError):
        pass


@given("requests of priority 2 are refused always, and those of 0 never")
def step_starved(context):
    make_gate(context)
    control = context.gate.control("s")
    now_ms = context.clock.now_ms()
    for _ in range(30):
        for priority, queue_ms in ((0, 0.0), (2, 9_000.0)):
            applicant = rooms.Applicant(
                priority, "", 1.0, 100.0, OBJECTIVE_MS, 9_000.0
            )
            control.decide(applicant, queue_ms, now_ms)


@given("requests are not ranked")
def step_not_ranked(context):
    context.is_ranked = False


@then(
    "requests to a table of teams with {allowance} are {ranked} under the"
    ' order "{order}"'
)
def step_ranked(context, allowance, ranked, order):
    per_s = 5.0 if allowance == "allowances" else 0.0
    teams = (
        routes.RouteTableTeam("free", ()),
        routes.RouteTableTeam("team", (), rate_per_s=per_s),
    )
    table = routes.RouteTable(1, (), (), teams)
    assert intake.ranks_requests(table, order) == (ranked == "ranked")


@when("a request finds a queue of {queue:d} ms")
def step_queue(context, queue):
    ask(context, [float(queue)])


@when("a request finds a queue of {one:d} ms, then one of {two:d} ms")
def step_two_queues(context, one, two):
    ask(context, [float(one), float(two)])


@when("a request finds a queue of {queue:d} ms each time")
def step_each_time(context, queue):
    ask(context, [float(queue)] * 50)


@when("a request finds a queue of {queue:d} ms and its caller leaves")
def step_leaves(context, queue):
    make_gate(context)

    def leave():
        context.request.caller.is_disconnected = True

    context.clock.on_sleep = leave
    ask(context, [float(queue)] * 50)


@when("a request finds a queue of {queue:d} ms and the entry cancels it")
def step_cancels(context, queue):
    make_gate(context)

    def cancel():
        raise asyncio.CancelledError

    context.clock.on_sleep = cancel
    ask(context, [float(queue)] * 50)


@then("it is sent")
def step_sent(context):
    assert context.is_sent, context.refusal


@then("it is refused as overloaded, with a time to return")
def step_refused(context):
    assert context.refusal.reason is refusals.Reason.OVERLOADED
    assert context.refusal.retry_after_ms > 0
    assert context.refusal.status == 503


@then("it was held for {held:d} ms")
def step_held(context, held):
    held_ms = context.clock.now_ms() - context.request.applied_ms
    assert held_ms == held, held_ms


@then("nothing is held any more")
def step_nothing_held(context):
    assert not len(context.gate.control("s").held)


@then("its target gets it at the most urgent level")
def step_raised(context):
    assert context.request.priority == 0
    assert context.request.profile.is_first
