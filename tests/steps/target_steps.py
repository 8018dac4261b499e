"""Steps for the drivers of targets."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.limits import api as limits_api
from lycheering.settings import model
from lycheering.targets import api
from lycheering.targets import engine
from lycheering.targets import events
from lycheering.targets import service
from lycheering.wire import messages
from tests.helpers import scripted_target as scripted

TWO = (scripted.event(0), scripted.event(1))
LAST = scripted.event(2, last=True)
STREAM_BY_NAME = {
    "two events": TWO,
    "two events and the end mark": (*TWO, scripted.DONE),
    "two events and the last event": (*TWO, LAST),
    "a gap after one event": (TWO[0], LAST, scripted.DONE),
    "all of its events": (*TWO, LAST, scripted.DONE),
}
CALL = api.TargetCall("r1", "POST", "/v1/completions", b"{}", "text/plain")


def begin(context, script, kind="engine"):
    context.runner = asyncio.Runner()
    context.stack.callback(context.runner.close)
    context.target = scripted.ScriptedTarget(script)
    url = context.runner.run(context.target.start())
    context.stack.callback(lambda: context.runner.run(context.target.stop()))
    settings = model.AgentSettings(target="t", kind=kind, url=url)
    drivers = {"engine": engine.EngineDriver, "service": service.ServiceDriver}
    context.driver = drivers[kind](settings, model.WireSettings())


@given("a target that streams {name} and closes the connection")
def step_streams(context, name):
    begin(context, [scripted.stream(*STREAM_BY_NAME[name])])


@given("a plain service that sends half of its body")
def step_half(context):
    begin(context, [scripted.reply(b"half", length=8)], "service")


@given("a target that does not listen")
def step_deaf(context):
    begin(context, [])
    context.runner.run(context.target.stop())


@when("the driver reads the answer")
def step_read(context):
    context.items = []
    context.error = None

    async def read():
        answer = await context.driver.send(CALL, lambda: None)
        await answer.head(2_000)
        async for items in answer.batches(2_000):
            context.items += items

    try:
        context.runner.run(read())
    except api.BrokenAnswerError as error:
        context.error = error


@then("it has {count:d} chunks and the answer is {state}")
def step_result(context, count, state):
    assert len(context.items) == count, context.items
    assert (context.error is None) == (state == "whole"), context.error


@then("any cut of a stream yields the same events")
def step_any_cut(context):
    whole = b"".join((*TWO, LAST, scripted.DONE))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.sets(strategies.integers(1, len(whole) - 1)))
    def check(cuts):
        reader = events.EventReader(0)
        places = [0, *sorted(cuts), len(whole)]
        items = []
        for start, end in zip(places, places[1:], strict=False):
            assert not reader.whole
            items += reader.feed(whole[start:end])
        assert reader.whole
        assert len(items) == 3

    check()


@when("the last check before sending refuses")
def step_check_refuses(context):
    def refuse():
        raise limits_api.RefusedError(messages.Reason.DEADLINE)

    try:
        context.runner.run(context.driver.send(CALL, refuse))
    except limits_api.RefusedError:
        return
    raise AssertionError("sent after a refusal")


@then("the target received no request")
def step_no_request(context):
    context.runner.run(asyncio.sleep(0.05))
    assert context.target.lines == []


@when("the driver sends a request")
def step_send(context):
    try:
        context.runner.run(context.driver.send(CALL, lambda: None))
    except api.TargetError as error:
        context.error = error


@then("it is told as not sent")
def step_not_sent(context):
    assert isinstance(context.error, api.NotSentError)
