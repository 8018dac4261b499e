"""Steps for streams that a faulty target spoils."""

from __future__ import annotations

import re

from behave import given
from behave import then
from behave import when
import logbook

from standins import spoiled_streams
from tests.helpers import direct_entry
from tests.steps import forward_steps

MAX_TRIES = 50


@given("the stream has {spoil}, is framed by {framing} and then {end}")
def step_spoiled(context, spoil, framing, end):
    context.targets[0].spoiled_stream = spoiled_streams.SpoiledStream(
        "" if spoil == "nothing odd" else spoil,
        spoiled_streams.Framing(framing),
        spoiled_streams.End(end),
    )


@given("a second direct target with {count:d} events")
def step_other(context, count):
    target = direct_entry.direct_target.DirectTarget("t2", "streams")
    target.pieces = count
    context.targets.append(target)


@then("its body holds nothing but these {count:d} events")
def step_only_events(context, count):
    expected = b"".join(
        spoiled_streams.event(number) for number in range(1, count + 1)
    )
    assert context.answer.body == expected, context.answer.body


@then("the answer ends with its connection")
def step_unframed(context):
    answer = context.answer
    assert answer.is_ended_unframed and not answer.is_complete, answer
    assert answer.value_by_header["connection"] == "close"


@when("streams are forwarded until target t1 begins one and t2 goes on")
def step_until_first(context):
    handler = logbook.TestHandler()
    for number in range(MAX_TRIES):
        handler.records.clear()
        data = direct_entry.request("resumable stream", f"r{number}")
        with handler.applicationbound():
            context.answer = forward_steps.run(
                context, lambda entry, d=data: direct_entry.ask(entry, d)
            )
        if context.answer.value_by_header["x-response-stamp"] == "stamp-t1":
            context.log_lines = [record.message for record in handler.records]
            return
    raise AssertionError("target t1 was never tried first")


@then('the attempts ended as "{results}"')
def step_results(context, results):
    found = [
        re.search(r" result=(\w+)", line).group(1)
        for line in context.log_lines
        if line.startswith("event=attempt ")
    ]
    assert found == results.split(", "), context.log_lines


@when("a caller takes a stream up after event {number:d}")
def step_take_up(context, number):
    data = direct_entry.request(
        "resumable stream", Last_Event_Id=str(number), Resumes="r0"
    )
    context.answer = forward_steps.run(
        context, lambda entry: direct_entry.ask(entry, data)
    )


@then("the caller has no events")
def step_no_events(context):
    assert context.answer.body == b"", context.answer


@given("its event {number:d} has the text {text}")
def step_text(context, number, text):
    for target in context.targets:
        target.text_by_number[number] = text.replace(" / ", "\n")


@then("the answer is complete and has all events of the target")
def step_whole(context):
    target = context.targets[0]
    answer = context.answer
    assert answer.is_complete, answer
    assert answer.body == target.stream_body(), answer.body


@then("the last answer is complete and has all events of the target")
def step_last_whole(context):
    context.answer = context.answers[-1]
    step_whole(context)


@when("two requests are forwarded, and then event 4 is joined with event 5")
def step_joined_after_noise(context):
    (target,) = context.targets

    async def ask_all(entry):
        ask = direct_entry.ask
        target.behaviour = "streams"
        await ask(entry, direct_entry.request("stream", "r1"))
        target.behaviour = "spoils its stream"
        await ask(entry, direct_entry.request("stream", "r2"))
        target.spoiled_stream = spoiled_streams.SpoiledStream(
            "an event broken off inside its data",
            end=spoiled_streams.End.ENDS,
        )
        return await ask(entry, direct_entry.request("stream", "r3"))

    context.answer = forward_steps.run(context, ask_all)


@then("the rest of the stream has the text {text} and is complete")
def step_rest(context, text):
    assert text.encode() in context.rest, context.rest
    assert context.rest.endswith(b"0\r\n\r\n"), context.rest


@then("each of the answers has the events {numbers} and is incomplete")
def step_each_incomplete(context, numbers):
    expected = [int(text) for text in numbers.split(", ")]
    for answer in context.answers:
        assert forward_steps.event_numbers(answer) == expected, answer
        assert not answer.is_complete, answer
        assert not answer.is_ended_unframed, answer
