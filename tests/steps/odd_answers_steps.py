"""Steps for malformed and misplaced answers of targets."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from lycheering.wire import messages
from standins import direct_target
from tests.helpers import direct_entry
from tests.steps import forward_steps

MAX_TRIES = 40


@given("other entries report that the target shuts down")
def step_reported(context):
    async def report(entry):
        (state,) = entry.registry.state_by_key.values()
        reply = messages.LoadReply((), (), "", 0, 2, (state.digest,))
        entry.registry.apply_loads(reply, 0.0)

    forward_steps.add_preparation(context, report)


@when("8 requests are forwarded, and 8 more after {wait_ms:d} ms")
def step_again(context, wait_ms):
    async def ask_all(entry):
        for number in range(16):
            if number == 8:
                await asyncio.sleep(wait_ms / 1_000)
            data = direct_entry.request("idempotent", f"r{number}")
            await direct_entry.ask(entry, data)

    forward_steps.run(context, ask_all)


@when("1 request is forwarded, and then {count:d} at once")
def step_at_once(context, count):
    async def ask_all(entry):
        await direct_entry.ask(entry, direct_entry.request("idempotent"))
        # each of the next requests has to open a connection
        entry.connections.close()
        requests = [
            direct_entry.ask(entry, direct_entry.request("idempotent", f"r{n}"))
            for n in range(count)
        ]
        await asyncio.gather(*requests)

    forward_steps.run(context, ask_all)


@then("targets got at least {least:d} requests")
def step_at_least(context, least):
    got = sum(len(target.received) for target in context.targets)
    assert got >= least, got


@then("the target sent fewer than {most:d} bytes")
def step_sent_fewer(context, most):
    assert context.targets[0].noise_bytes < most, context.targets[0].noise_bytes


@when("streams are forwarded until the first target began one")
def step_until_begun(context):
    async def ask_all(entry):
        for number in range(MAX_TRIES):
            for target in context.targets:
                target.received.clear()
            data = direct_entry.request("resumable stream", f"r{number}")
            answer = await direct_entry.ask(entry, data)
            if answer.body.startswith(b"id: 1"):
                return answer
        raise AssertionError("the first target was never tried first")

    context.answer = forward_steps.run(context, ask_all)


@then("its body holds nothing but these events")
def step_only_events(context):
    expected = b"".join(
        direct_target.EVENT % (number, number) for number in (1, 2)
    )
    assert context.answer.body == expected, context.answer.body


@then("no request that a target ran was reported as not run")
def step_truly_not_run(context):
    run_ids = {i for target in context.targets for i in target.run_ids}
    assert run_ids, "no target repeated a refusal"
    for number, answer in enumerate(context.answers):
        is_not_run = answer.status in (408, 421, 429, 503)
        assert not (is_not_run and f"r{number}" in run_ids), answer


@then('no request of kind "once" ran twice')
def step_not_twice(context):
    run_ids = [
        (request.line, request_id)
        for target in context.targets
        for request_id in target.run_ids
        for request in target.received
        if request.value_by_header["x-attempt-id"] == request_id
    ]
    once = [item for item in run_ids if "/once/" in item[0]]
    assert len(once) == len(set(once)), once


@then("its body has {size:d} bytes")
def step_size(context, size):
    assert len(context.answer.body) == size, len(context.answer.body)


@then("every answer was for its own request")
def step_own(context):
    for number, answer in enumerate(context.answers):
        assert answer.value_by_header["x-attempt-id"] == f"r{number}", answer


@then("the last answer is 503 with a retry-after header")
def step_last(context):
    last = context.answers[-1]
    assert last.status == 503, last
    assert float(last.value_by_header["retry-after"]) > 0
