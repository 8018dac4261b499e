"""Steps for answers that come while a request is still being written."""

from __future__ import annotations

import asyncio
import contextlib

from behave import given
from behave import then
from behave import when

from lycheering.settings import model
from lycheering.targets import api
from lycheering.targets import engine
from lycheering.targets import service
from standins import direct_target
from standins import early_answers
from tests.helpers import direct_entry
from tests.helpers import scripted_target
from tests.steps import endless_answer_steps
from tests.steps import forward_steps

STATUSES = ("000", "099", "600", "999", "20", "2000", "", "x")
BODY_BY_CALL = {
    "report": b'{"models":[],"busy":false,"sequence":0}',
    "order": b"{}",
    "store call": b'{"boot_epoch":1}',
    "target list": b'{"instances":[],"next":null}',
    "load report": scripted_target.ROUTINE["/load"],
    "health check": b"{}",
    "block listing": scripted_target.ROUTINE["/cache/blocks"],
}


async def until_read(context):
    (request,) = context.targets[0].received
    async with asyncio.timeout(5):
        while len(request.body) < len(context.upload):
            await asyncio.sleep(0.01)


@when('an upload of {size:d} bytes by a request of kind "{kind}" is forwarded')
def step_upload(context, size, kind):
    context.upload = bytes(range(256)) * (size // 256)
    data = direct_entry.request(kind, body=context.upload)

    async def ask(entry):
        entry.max_body_bytes = size
        entry.put_table(revision=2)
        answer = await direct_entry.ask(entry, data)
        if context.targets[0].behaviour.endswith("reads on"):
            await until_read(context)
        return answer

    context.answer = forward_steps.run(context, ask)


@then("the caller has got at most a part of the answer")
def step_part(context):
    answer = context.answer
    assert not answer.is_ended_unframed, answer.status
    if answer.status == 200:
        assert not answer.is_complete, answer.status
        sent = early_answers.ANSWERS[context.targets[0].behaviour].body
        assert sent.startswith(answer.body), answer.body[:100]
    else:
        assert answer.status == 502, answer.status


@then("the caller has got all of the answer")
def step_whole(context):
    answer = context.answer
    sent = early_answers.ANSWERS[context.targets[0].behaviour].body
    assert answer.status == 200, answer.status
    assert answer.is_complete or answer.is_ended_unframed
    assert answer.body == sent, answer.body[:100]


@then("the target got the upload and nothing else")
def step_got(context):
    (request,) = context.targets[0].received
    assert request.body == context.upload, len(request.body)


@given("a driver of {kind} that {behaviour}")
def step_driver(context, kind, behaviour):
    context.runner = context.stack.enter_context(asyncio.Runner())
    target = direct_target.DirectTarget("t1", behaviour)
    context.runner.run(target.start())
    context.stack.callback(lambda: context.runner.run(target.stop()))
    url = f"http://{target.host}:{target.port}"
    settings = model.AgentSettings(target="t", kind=kind, url=url)
    driver = {"engine": engine.EngineDriver, "service": service.ServiceDriver}
    context.driver = driver[kind](settings, model.WireSettings())


@when("the driver sends {size:d} bytes")
def step_driver_sends(context, size):
    call = api.TargetCall("r1", "POST", "/", b"x" * size, "text/plain")
    context.error = None

    async def ask():
        answer = await context.driver.send(call, lambda: None)
        try:
            await answer.read_head(2_000)
            async for _ in answer.read_chunks(2_000):
                pass
        finally:
            answer.close()

    try:
        context.runner.run(ask())
    except api.BrokenAnswerError as error:
        context.error = error


@then("the driver reports a broken answer")
def step_driver_broken(context):
    assert context.error is not None


@then(
    "each {call} that is answered with a status that HTTP does not have fails"
)
def step_statuses(context, call):
    context.runner = context.stack.enter_context(asyncio.Runner())
    body = BODY_BY_CALL[call]
    for status in ("200", *STATUSES):
        lines = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}"
        context.runner.run(serve(context, f"{lines}\r\n\r\n".encode() + body))
        context.stack.callback(context.server.close)
        endless_answer_steps.step_call(context, call)
        if status == "200":
            assert context.error is None, context.error
        else:
            endless_answer_steps.step_fails(context, 2)


async def serve(context, answer):
    async def reply(reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

    host = endless_answer_steps.HOST
    context.server = await asyncio.start_server(reply, host, 0)
    context.port = context.server.sockets[0].getsockname()[1]
