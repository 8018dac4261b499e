"""Steps for admission."""

from __future__ import annotations

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.limits import admission
from lycheering.limits import api as limits_api
from lycheering.limits import cost
from lycheering.limits import waits

GIVE_UP_S = 20
REFUSED_EACH_MS = 500


class Requests:
    """The requests of one scenario, by their number."""

    def __init__(self):
        self.runner = asyncio.Runner()
        self.clock = clock.ManualClock(1_000)
        self.gate = admission.Admission(self.clock)
        self.place_by_number = {}
        self.task_by_number = {}
        self.error_by_number = {}
        self.use_by_team = {}
        self.count = 0

    async def enter(self, team, work_ms, left_ms, priority=10):
        self.count += 1
        demand = limits_api.Demand(
            team,
            1.0,
            priority,
            cost.Cost(0.0, work_ms),
            self.clock.now_ms() + left_ms,
            self.use_by_team.get(team, 0.0),
        )
        try:
            place = self.gate.enter(demand)
        except limits_api.RefusedError as error:
            self.error_by_number[self.count] = error
            return
        self.place_by_number[self.count] = place
        work = self._wait(self.count, place)
        self.task_by_number[self.count] = asyncio.create_task(work)
        await asyncio.sleep(0)

    async def _wait(self, number, place):
        try:
            await self.gate.wait(place)
        except limits_api.RefusedError as error:
            self.error_by_number[number] = error
            self.gate.leave(place)

    async def refused(self, number):
        task = self.task_by_number.get(number)
        if task is not None:
            async with asyncio.timeout(GIVE_UP_S):
                await task
        return self.error_by_number[number]

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def cancel(self):
        for task in self.task_by_number.values():
            task.cancel()
        tasks = self.task_by_number.values()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        self.runner.run(self.cancel())
        self.runner.close()


@given("an admission with {running:d} running and {queued:d} queued at most")
def step_admission(context, running, queued):
    if not hasattr(context, "entered"):
        context.entered = Requests()
        context.stack.callback(context.entered.close)
    limits = limits_api.Limits(running, queued, running)
    context.entered.gate.change_limits(limits)


@given("a prefill window of {window:d}")
def step_window(context, window):
    gate = context.entered.gate
    gate.change_limits(dataclasses.replace(gate.limits, max_prefilling=window))


@given('entries state that team "{team}" asks for {use:g} of its fair share')
@when('entries state that team "{team}" asks for {use:g} of its fair share')
def step_share_use(context, team, use):
    context.entered.use_by_team[team] = use


@when('team "{team}" enters with {work:d} ms of work and {left:d} ms left')
def step_enter(context, team, work, left):
    entered = context.entered
    entered.runner.run(entered.enter(team, work, left))


@when(
    'team "{team}" enters {count:d} times with {work:d} ms of work and'
    " {left:d} ms left"
)
def step_enter_times(context, team, count, work, left):
    for _ in range(count):
        step_enter(context, team, work, left)


@when("requests have been refused for {duration:d} ms")
def step_overloaded(context, duration):
    for _ in range(duration // REFUSED_EACH_MS):
        step_enter(context, "other", 0.001, 0)
        context.entered.clock.advance(REFUSED_EACH_MS)


@when("the time that request {number:d} was told passes")
def step_told_passes(context, number):
    error = context.entered.error_by_number[number]
    context.entered.clock.advance(error.retry_after_ms)


@when("request {number:d} ends")
def step_ends(context, number):
    entered = context.entered
    entered.gate.leave(entered.place_by_number[number])
    entered.runner.run(entered.settle())


@when("all requests end")
def step_all_end(context):
    for number in context.entered.place_by_number:
        step_ends(context, number)


@when("all requests are handed back")
def step_hand_back(context):
    context.entered.gate.hand_back()
    context.entered.runner.run(context.entered.settle())


@when("the first token of request {number:d} comes")
def step_first_token(context, number):
    entered = context.entered
    entered.gate.prefilled(entered.place_by_number[number])


@then("request {number:d} starts")
def step_starts(context, number):
    entered = context.entered
    entered.runner.run(entered.settle())
    assert entered.task_by_number[number].done()
    assert number not in entered.error_by_number


@then("request {number:d} waits")
def step_waits(context, number):
    entered = context.entered
    assert number not in entered.error_by_number, entered.error_by_number
    assert not entered.task_by_number[number].done()


@then("{running:d} requests run and {waiting:d} wait")
def step_counts(context, running, waiting):
    gate = context.entered.gate
    found = (gate.running, len(gate.queue))
    assert found == (running, waiting), found


@then('request {number:d} is refused as "{reason}"')
@then('request {number:d} is refused as "{reason}" with a time to come back')
@then('request {number:d} is refused as "{reason}" before its deadline')
def step_refused(context, number, reason):
    entered = context.entered
    error = entered.runner.run(entered.refused(number))
    assert error.reason == reason, error
    if reason != "draining":
        assert error.retry_after_ms > 0


@then('request {number:d} has been refused as "{reason}"')
def step_has_been_refused(context, number, reason):
    entered = context.entered
    entered.runner.run(entered.settle())
    assert entered.error_by_number[number].reason == reason


@then("request {number:d} is told to come back later than request {earlier:d}")
def step_later(context, number, earlier):
    error_by_number = context.entered.error_by_number
    later_ms = error_by_number[number].retry_after_ms
    assert later_ms > error_by_number[earlier].retry_after_ms > 0


@then(
    "request {number:d} is told to come back {gap:d} ms after request"
    " {earlier:d}"
)
def step_later_by(context, number, gap, earlier):
    error_by_number = context.entered.error_by_number
    first_ms = error_by_number[earlier].retry_after_ms
    found = error_by_number[number].retry_after_ms - first_ms
    assert abs(found - gap) < 1, found


@then("request {number:d} is told to come back after {least:d} ms at least")
def step_not_before(context, number, least):
    error = context.entered.error_by_number[number]
    assert error.retry_after_ms >= least, error.retry_after_ms


@when("requests {first:d} to {last:d} end")
def step_several_end(context, first, last):
    for number in range(first, last + 1):
        step_ends(context, number)


@then(
    "a wait expected of {expected:d} ms grows with waits of {waited:d} ms for"
    " {foreseen:d} ms"
)
def step_wait_grows(context, expected, waited, foreseen):
    correction = waits.WaitCorrection()
    assert correction.corrected_ms(expected) == expected
    for _ in range(100):
        correction.learn(correction.corrected_ms(foreseen), waited)
    found = correction.corrected_ms(expected)
    assert abs(found - expected * waited / foreseen) < expected / 10, found


@then("requests {first:d} to {last:d} run")
def step_several_run(context, first, last):
    for number in range(first, last + 1):
        place = context.entered.place_by_number[number]
        assert place.request.admitted.done(), number


def wait_ms_of(context, team):
    async def wait_ms():
        return context.entered.gate.expected_wait_ms(10, team)

    return context.entered.runner.run(wait_ms())


def told_ms_of(context, team):
    async def told_ms():
        return context.entered.gate.told_wait_ms(10, team)

    return context.entered.runner.run(told_ms())


@then('entries are told that team "{team}" waits {expected:d} ms')
def step_told(context, team, expected):
    found = told_ms_of(context, team)
    assert found == expected, found


@then("a request of an idle team waits less than the backlog")
def step_backlog(context):
    wait_ms = wait_ms_of(context, "")
    assert wait_ms < context.entered.gate.backlog_ms()


@then('a request of team "{team}" waits at least as long as the backlog')
def step_own_backlog(context, team):
    wait_ms = wait_ms_of(context, team)
    assert wait_ms >= context.entered.gate.backlog_ms()


@when(
    "{passed:d} ms pass until the first tokens of requests {first:d} to"
    " {last:d} come"
)
def step_late_tokens(context, passed, first, last):
    context.entered.clock.advance(passed)
    for number in range(first, last + 1):
        step_first_token(context, number)


@then("the backlog is {expected:d} ms")
def step_backlog_is(context, expected):
    assert context.entered.gate.backlog_ms() == expected
