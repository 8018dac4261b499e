"""Steps for bounded waits."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering import waits


class CountingLoop(asyncio.SelectorEventLoop):
    """Counts the timers that are set."""

    timers = 0

    def call_at(self, when, callback, *args, context=None):
        self.timers += 1
        return super().call_at(when, callback, *args, context=context)


def begin(context, timeout_ms):
    context.wait = context.loop.create_task(context.waiting.wait(timeout_ms))
    turn(context)


def turn(context):
    context.loop.run_until_complete(asyncio.sleep(0))


@given("a waiting task whose waits take {timeout_ms:d} ms at most")
def step_waiting(context, timeout_ms):
    context.loop = CountingLoop()
    context.stack.callback(context.loop.close)
    context.waiting = waits.Waiting()
    context.timeout_ms = timeout_ms
    begin(context, timeout_ms)


@when("it is given a signal")
def step_signal(context):
    context.waiting.wake()
    assert context.loop.run_until_complete(context.wait)


@when("it is given a signal and waits again {count:d} times")
def step_signals(context, count):
    for _ in range(count):
        step_signal(context)
        begin(context, context.timeout_ms)


@when("it waits again for {timeout_ms:d} ms")
def step_again(context, timeout_ms):
    begin(context, timeout_ms)


@when("it waits again for {timeout_ms:d} ms over the end of the first")
def step_again_longer(context, timeout_ms):
    begin(context, timeout_ms)
    pause_s = 2 * context.timeout_ms / 1_000
    context.loop.run_until_complete(asyncio.sleep(pause_s))


@then("its wait ended in time")
def step_in_time(context):
    assert context.wait.result()


@then("its wait ended without a signal")
def step_not_in_time(context):
    assert not context.loop.run_until_complete(context.wait)


@then("its wait has not ended")
def step_not_ended(context):
    assert not context.wait.done()
    context.waiting.wake()
    context.loop.run_until_complete(context.wait)


@then("{count:d} timer was set for it")
def step_timers(context, count):
    assert context.loop.timers == count, context.loop.timers
    step_signal(context)
