"""Steps for waits with timeouts."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering import signal_waiter


class CountingLoop(asyncio.SelectorEventLoop):
    """An event loop that counts the timers that are set."""

    timer_count = 0

    def call_at(self, when, callback, *args, context=None):
        self.timer_count += 1
        return super().call_at(when, callback, *args, context=context)


def start_wait(context, timeout_ms):
    context.wait = context.loop.create_task(
        context.signal_waiter.wait(timeout_ms)
    )
    run_loop_once(context)


def run_loop_once(context):
    context.loop.run_until_complete(asyncio.sleep(0))


@given("a task that waits with a timeout of {timeout_ms:d} ms")
def step_waiting(context, timeout_ms):
    context.loop = CountingLoop()
    context.stack.callback(context.loop.close)
    context.signal_waiter = signal_waiter.SignalWaiter()
    context.timeout_ms = timeout_ms
    start_wait(context, timeout_ms)


@when("the waiting task is signalled")
def step_signal(context):
    context.signal_waiter.signal()
    assert context.loop.run_until_complete(context.wait)


@when("the waiting task is signalled and waits again {count:d} times")
def step_signals(context, count):
    for _ in range(count):
        step_signal(context)
        start_wait(context, context.timeout_ms)


@when("it waits again with a timeout of {timeout_ms:d} ms")
def step_again(context, timeout_ms):
    start_wait(context, timeout_ms)


@when("it waits again for {timeout_ms:d} ms, past the end of the first wait")
def step_again_longer(context, timeout_ms):
    start_wait(context, timeout_ms)
    pause_s = 2 * context.timeout_ms / 1_000
    context.loop.run_until_complete(asyncio.sleep(pause_s))


@then("its wait ended by the signal")
def step_in_time(context):
    assert context.wait.result()


@then("its wait timed out")
def step_not_in_time(context):
    assert not context.loop.run_until_complete(context.wait)


@then("its wait has not ended")
def step_not_ended(context):
    assert not context.wait.done()
    context.signal_waiter.signal()
    context.loop.run_until_complete(context.wait)


@then("{count:d} timer was set for all waits")
def step_timers(context, count):
    assert context.loop.timer_count == count, context.loop.timer_count
    step_signal(context)
