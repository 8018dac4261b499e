"""Steps for admission control."""

from __future__ import annotations

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.limits import admission
from lycheering.limits import api as limits_api
from lycheering.limits import cost_model
from lycheering.limits import waits

GIVE_UP_S = 20
REFUSED_EACH_MS = 500


class Requests:
    """The numbered requests of one scenario and their target's admission."""

    def __init__(self):
        self.runner = asyncio.Runner()
        self.clock = clock.ManualClock(1_000)
        self.target_admission = admission.TargetAdmission(self.clock)
        self.admitted_by_number = {}
        self.task_by_number = {}
        self.error_by_number = {}
        self.ratio_by_team = {}
        self.count = 0

    async def enter(self, team, work_ms, left_ms, priority=10):
        self.count += 1
        properties = limits_api.RequestProperties(
            team,
            1.0,
            priority,
            cost_model.Cost(0.0, work_ms),
            self.clock.now_ms() + left_ms,
            self.ratio_by_team.get(team, 0.0),
        )
        try:
            admitted_request = self.target_admission.enqueue(properties)
        except limits_api.RefusedError as error:
            self.error_by_number[self.count] = error
            return
        self.admitted_by_number[self.count] = admitted_request
        work = self._wait(self.count, admitted_request)
        self.task_by_number[self.count] = asyncio.create_task(work)
        await asyncio.sleep(0)

    async def _wait(self, number, admitted_request):
        try:
            await self.target_admission.wait(admitted_request)
        except limits_api.RefusedError as error:
            self.error_by_number[number] = error
            self.target_admission.release(admitted_request)

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


@given(
    "a target with at most {running:d} running and {queued:d} queued requests"
)
def step_admission(context, running, queued):
    if not hasattr(context, "requests"):
        context.requests = Requests()
        context.stack.callback(context.requests.close)
    limits = limits_api.Limits(running, queued, running)
    context.requests.target_admission.set_limits(limits)


@given("at most {count:d} requests without a first token")
def step_max_prefilling(context, count):
    target_admission = context.requests.target_admission
    target_admission.set_limits(
        dataclasses.replace(target_admission.limits, max_prefilling=count)
    )


@given(
    'entries report that team "{team}" demands {ratio:g} times its fair share'
)
@when(
    'entries report that team "{team}" demands {ratio:g} times its fair share'
)
def step_fair_share_ratio(context, team, ratio):
    context.requests.ratio_by_team[team] = ratio


@when(
    'team "{team}" sends a request with {work:d} ms of work and a deadline in'
    " {left:d} ms"
)
def step_send(context, team, work, left):
    requests = context.requests
    requests.runner.run(requests.enter(team, work, left))


@when(
    'team "{team}" sends {count:d} requests with {work:d} ms of work and a'
    " deadline in {left:d} ms"
)
def step_send_several(context, team, count, work, left):
    for _ in range(count):
        step_send(context, team, work, left)


@when("requests have been refused for {duration:d} ms")
def step_overloaded(context, duration):
    for _ in range(duration // REFUSED_EACH_MS):
        step_send(context, "other", 0.001, 0)
        context.requests.clock.advance(REFUSED_EACH_MS)


@when("the retry time of request {number:d} has passed")
def step_retry_time_passes(context, number):
    error = context.requests.error_by_number[number]
    context.requests.clock.advance(error.retry_after_ms)


@when("request {number:d} ends")
def step_ends(context, number):
    requests = context.requests
    requests.target_admission.release(requests.admitted_by_number[number])
    requests.runner.run(requests.settle())


@when("all requests end")
def step_all_end(context):
    for number in context.requests.admitted_by_number:
        step_ends(context, number)


@when("the target starts to drain")
def step_drain(context):
    context.requests.target_admission.start_draining()
    context.requests.runner.run(context.requests.settle())


@when("the first token of request {number:d} arrives")
def step_first_token(context, number):
    requests = context.requests
    requests.target_admission.record_first_token(
        requests.admitted_by_number[number]
    )


@then("request {number:d} starts")
def step_starts(context, number):
    requests = context.requests
    requests.runner.run(requests.settle())
    assert requests.task_by_number[number].done()
    assert number not in requests.error_by_number


@then("request {number:d} waits")
def step_waits(context, number):
    requests = context.requests
    assert number not in requests.error_by_number, requests.error_by_number
    assert not requests.task_by_number[number].done()


@then("{running:d} requests run and {waiting:d} wait")
def step_counts(context, running, waiting):
    target_admission = context.requests.target_admission
    found = (target_admission.running_count, len(target_admission.queue))
    assert found == (running, waiting), found


@then('request {number:d} is refused as "{reason}"')
@then('request {number:d} is refused as "{reason}" with a retry time')
@then('request {number:d} is refused as "{reason}" before its deadline')
def step_refused(context, number, reason):
    requests = context.requests
    error = requests.runner.run(requests.refused(number))
    assert error.reason == reason, error
    if reason != "draining":
        assert error.retry_after_ms > 0


@then('request {number:d} has been refused as "{reason}"')
def step_has_been_refused(context, number, reason):
    requests = context.requests
    requests.runner.run(requests.settle())
    assert requests.error_by_number[number].reason == reason


@then("request {number:d} is to be retried later than request {earlier:d}")
def step_later(context, number, earlier):
    error_by_number = context.requests.error_by_number
    later_ms = error_by_number[number].retry_after_ms
    assert later_ms > error_by_number[earlier].retry_after_ms > 0


@then(
    "request {number:d} is to be retried {gap:d} ms after request {earlier:d}"
)
def step_later_by(context, number, gap, earlier):
    error_by_number = context.requests.error_by_number
    first_ms = error_by_number[earlier].retry_after_ms
    found = error_by_number[number].retry_after_ms - first_ms
    assert abs(found - gap) < 1, found


@then("request {number:d} is to be retried after at least {least:d} ms")
def step_not_before(context, number, least):
    error = context.requests.error_by_number[number]
    assert error.retry_after_ms >= least, error.retry_after_ms


@when("requests {first:d} to {last:d} end")
def step_several_end(context, first, last):
    for number in range(first, last + 1):
        step_ends(context, number)


@then(
    "an expected wait of {expected:d} ms is corrected after waits of"
    " {waited:d} ms instead of {predicted:d} ms"
)
def step_wait_corrected(context, expected, waited, predicted):
    correction = waits.WaitCorrection()
    assert correction.corrected_ms(expected) == expected
    for _ in range(100):
        correction.learn(correction.corrected_ms(predicted), waited)
    found = correction.corrected_ms(expected)
    assert abs(found - expected * waited / predicted) < expected / 10, found


@then("requests {first:d} to {last:d} run")
def step_several_run(context, first, last):
    for number in range(first, last + 1):
        admitted_request = context.requests.admitted_by_number[number]
        assert admitted_request.request.admitted.done(), number


def wait_ms_of(context, team):
    async def wait_ms():
        return context.requests.target_admission.expected_wait_ms(10, team)

    return context.requests.runner.run(wait_ms())


def reported_wait_ms_of(context, team):
    async def wait_ms():
        return context.requests.target_admission.reported_wait_ms(10, team)

    return context.requests.runner.run(wait_ms())


@then('the wait reported for team "{team}" is {expected:d} ms')
def step_reported_wait(context, team, expected):
    found = reported_wait_ms_of(context, team)
    assert found == expected, found


@then("a request of an idle team waits less than the backlog")
def step_backlog(context):
    wait_ms = wait_ms_of(context, "")
    assert wait_ms < context.requests.target_admission.backlog_ms()


@then('a request of team "{team}" waits at least as long as the backlog')
def step_own_backlog(context, team):
    wait_ms = wait_ms_of(context, team)
    assert wait_ms >= context.requests.target_admission.backlog_ms()


@when(
    "{passed:d} ms pass until the first tokens of requests {first:d} to"
    " {last:d} arrive"
)
def step_late_tokens(context, passed, first, last):
    context.requests.clock.advance(passed)
    for number in range(first, last + 1):
        step_first_token(context, number)


@then("the backlog is {expected:d} ms")
def step_backlog_is(context, expected):
    assert context.requests.target_admission.backlog_ms() == expected
