"""Steps for the exchange of loads between entries."""

from __future__ import annotations

import asyncio
import collections
import random

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.control.direct import load_hub
from lycheering.entry import control_client
from lycheering.forward import fleet_loads
from lycheering.forward import target_registry
from lycheering.routes import records as route_records
from lycheering.wire import api as wire_api
from lycheering.wire import messages
from tests.helpers import direct_targets

TARGET = 7


def exchange(context, entry, loads=(), reads=(), leaving=()):
    context.numbers[entry] = context.numbers.get(entry, 0) + 1
    epoch, cursor = context.cursors.get(entry, ("", 0))
    context.last = messages.LoadExchange(
        f"e{entry}",
        str(context.incarnations.get(entry, "i")),
        context.numbers[entry],
        loads,
        reads,
        epoch,
        cursor,
        leaving,
        context.reads_told.get(entry, 0),
    )
    context.reads_told[entry] = context.reads_told.get(entry, 0) + len(reads)
    reply = context.hub.answer(context.last)
    context.cursors[entry] = (reply.epoch, reply.cursor)
    return reply


@given("a hub of loads and 3 entries")
def step_hub(context):
    context.time = clock.ManualClock()
    context.hub = load_hub.LoadHub(context.time)
    context.numbers = {}
    context.incarnations = {}
    context.cursors = {}
    context.reads_told = {}


class LossyControl:
    """Hands exchanges to the hub, but loses one request or reply.

    Attributes:
        loses: What is lost next; empty for nothing.
    """

    def __init__(self, hub):
        self.loses = ""
        self._hub = hub

    async def call(self, exchange, timeout_ms):
        loses, self.loses = self.loses, ""
        if loses == "request":
            raise control_client.ControlUnavailableError
        reply = self._hub.answer(exchange)
        if loses == "reply":
            raise control_client.ControlUnavailableError
        return reply


@given("an entry that had {count:d} prompts read")
def step_entry(context, count):
    context.registry = target_registry.TargetRegistry(context.time)
    context.registry.update(
        [direct_targets.target(0)], {"s": route_records.Service("s", "/health")}
    )
    (state,) = context.registry.state_by_key.values()
    for number in range(count):
        context.registry.read(state, (number,), (10,))
    context.control = LossyControl(context.hub)
    context.entry_loads = fleet_loads.FleetLoads(
        context.control,
        context.registry,
        wire_api.Identity("e1", messages.Role.ENTRY, "d1"),
        lambda entries: None,
        context.time,
    )


@when("the {lost} of its exchange is lost and it exchanges again")
def step_lost(context, lost):
    async def exchange_twice():
        context.control.loses = lost
        assert not await context.entry_loads._exchange()
        assert await context.entry_loads._exchange()

    asyncio.run(exchange_twice())


@then("nothing is left to be told by that entry")
def step_nothing_left(context):
    asyncio.run(context.entry_loads._exchange())
    assert exchange(context, 2).reads == ()
    assert context.registry.take_reads(1) == ()


@when("entries 1 and 2 tell what they have at a target")
def step_tell(context):
    exchange(context, 1, (messages.TargetLoad(TARGET, 100, 1, 200),))
    exchange(context, 2, (messages.TargetLoad(TARGET, 30, 2, 40),))


@when("{wait_ms:d} ms pass")
def step_pass(context, wait_ms):
    context.time.advance(wait_ms)


@when("entry {entry:d} tells of {count:d} reads")
def step_reads(context, entry, count):
    reads = tuple(
        messages.PromptRead(TARGET, (number,), (10,)) for number in range(count)
    )
    exchange(context, entry, reads=reads)


@when("its exchange comes once more")
def step_again(context):
    context.hub.answer(context.last)


@when("another hub takes over")
def step_other(context):
    context.hub = load_hub.LoadHub(context.time)


@then("entry 3 learns the sum, and entry 1 the part of entry 2")
def step_sum(context):
    (total,) = exchange(context, 3).loads
    assert total == messages.TargetLoad(TARGET, 130, 3, 240), total
    (part,) = exchange(context, 1).loads
    assert part == messages.TargetLoad(TARGET, 30, 2, 40), part


@then("entry 3 learns of no load")
def step_no_load(context):
    assert exchange(context, 3).loads == ()


@then("entry {entry:d} learns of {count:d} reads in two exchanges")
def step_learns(context, entry, count):
    got = [*exchange(context, entry).reads, *exchange(context, entry).reads]
    assert len(got) == count, len(got)
    assert exchange(context, entry).reads == ()


@then("entry {entry:d} learns of {count:d} reads")
def step_learns_none(context, entry, count):
    assert len(exchange(context, entry).reads) == count


@when(
    "{count:d} exchanges of {entries:d} entries are drawn"
    ", with restarts and silences"
)
def step_drawn(context, count, entries):
    randomness = random.Random(4)
    context.told = {}
    for _ in range(count):
        context.time.advance(randomness.choice([5, 20, 20, 60]))
        entry = randomness.randrange(entries)
        if randomness.random() < 0.1:
            # a restart counts its exchanges from the first one
            context.incarnations[entry] = randomness.random()
            context.numbers[entry] = 0
        loads = tuple(
            messages.TargetLoad(target, randomness.randrange(900), 1, 10)
            for target in randomness.sample(range(9), randomness.randrange(4))
        )
        context.told[entry] = (context.time.now_ms(), loads)
        exchange(context, entry, loads)


@then("each entry learns what the others told last")
def step_told_last(context):
    now_ms = context.time.now_ms()
    for asking in list(context.told):
        at_ms, own = context.told[asking]
        if now_ms - at_ms > load_hub.EXPIRY_MS:
            continue
        expected = collections.Counter()
        for entry, (at_ms, loads) in context.told.items():
            if entry == asking or now_ms - at_ms > load_hub.EXPIRY_MS:
                continue
            for load in loads:
                expected[load.target] += load.unread_tokens
        got = {
            load.target: load.unread_tokens
            for load in exchange(context, asking, own).loads
        }
        for target in range(9):
            assert got.get(target, 0) == expected[target], (got, expected)


@when("entry {entry:d} tells that a target leaves")
def step_tells_leaving(context, entry):
    exchange(context, entry, leaving=(TARGET,))


@then("entry {entry:d} learns that it leaves")
def step_learns_leaving(context, entry):
    assert exchange(context, entry).leaving == (TARGET,)
