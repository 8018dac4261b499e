"""Steps for disconnected and stalled callers, limits and draining."""

from __future__ import annotations

import asyncio
import json

from behave import then
from behave import when

from lycheering.web import client as web
from tests.steps import entry_steps
from tests.support import entry_calls
from tests.support import fake_fleet
from tests.support import http_caller


async def start_request(fleet, body):
    exchange = await web.Exchange.connect(fleet.origin)
    headers = {"Authorization": "Bearer key-north"}
    exchange.send("POST", entry_calls.CHAT, headers, json.dumps(body).encode())
    return exchange


@when(
    'a caller asks for a {form} chat "{prompt:w}" and disconnects after'
    " the start"
)
def step_disconnect_after_start(context, form, prompt):
    fleet = context.fleet

    async def disconnect():
        body = entry_calls.chat_body(prompt, form == "streamed")
        exchange = await start_request(fleet, body)
        await fake_fleet.wait_until(lambda: any(a.runs for a in fleet.engines))
        exchange.close()
        await fake_fleet.wait_until(
            lambda: any(a.cancels for a in fleet.engines)
        )

    fleet.run(disconnect())


@when('a caller asks for a streamed chat "{prompt:w}" and reads nothing')
def step_reads_nothing(context, prompt):
    fleet = context.fleet

    async def stall():
        exchange = await start_request(
            fleet, entry_calls.chat_body(prompt, True)
        )
        context.stack.callback(exchange.close)
        await fake_fleet.wait_until(
            lambda: any(a.cancels for a in fleet.engines)
        )

    fleet.run(stall())


@when("{count:d} concurrent callers ask for chats due in {due_ms:d} ms")
def step_concurrent_deadline(context, count, due_ms):
    async def ask_all():
        return await asyncio.gather(
            *(
                context.fleet.fetch(
                    "POST",
                    entry_calls.CHAT,
                    body=entry_calls.chat_body("hi", False),
                    X_Deadline_Ms=str(due_ms),
                )
                for _ in range(count)
            )
        )

    replies = context.fleet.run(ask_all())
    context.concurrent_answers = [http_caller.read(reply) for reply in replies]


@then('{count:d} of them are refused with "{reason}", not run')
def step_count_refused(context, count, reason):
    refused = [
        s for s in context.concurrent_answers if s.error["reason"] == reason
    ]
    assert len(refused) == count, context.concurrent_answers
    assert all(seen.error["not_run"] for seen in refused)


@when('a caller asks for a streamed chat "{prompt:w}" while the entry drains')
def step_drain(context, prompt):
    fleet = context.fleet

    async def drain():
        body = entry_calls.chat_body(prompt, True)
        running = asyncio.create_task(
            fleet.fetch("POST", entry_calls.CHAT, body=body)
        )
        await fake_fleet.wait_until(lambda: any(a.runs for a in fleet.engines))
        draining = asyncio.create_task(fleet.entry.drain())
        await fake_fleet.wait_until(lambda: fleet.entry.admission.is_unready)
        context.unready_reply = await fleet.fetch("GET", "/health/ready")
        context.accepted_reply = await fleet.fetch("GET", "/v1/models")
        await fake_fleet.wait_until(lambda: fleet.entry.admission.is_draining)
        context.later_reply = await fleet.fetch(
            "POST", entry_calls.CHAT, body=body
        )
        context.running_reply = await running
        await draining

    fleet.run(drain())


@then("the entry was unready while it still accepted requests")
def step_unready(context):
    assert context.unready_reply.head.status == 503
    assert context.accepted_reply.head.status == 200


@then('a later request was refused with "{reason}", not run')
def step_later_refused(context, reason):
    error = http_caller.read(context.later_reply).error
    assert error["reason"] == reason and error["not_run"], error


@then('the answer to "{prompt}" that was running was completed')
def step_running_completed(context, prompt):
    context.seen = http_caller.read(context.running_reply)
    entry_steps.step_complete_answer(context, prompt)


@when("control stops and the entry restarts")
def step_control_stops(context):
    fleet = context.fleet

    async def restart_without_control():
        await fleet.entry.stop()
        await fleet.control.server.stop()
        fleet.entry = type(fleet.entry)(fleet.settings())
        await fleet.entry.start()

    fleet.run(restart_without_control())
