"""Steps for assembling answers from chunks."""

from __future__ import annotations

from behave import then
import msgspec

from lycheering.entry import assemble


def chunk(choice):
    return msgspec.json.encode({"id": "a", "choices": [choice]})


def tool_call_chunk(arguments, **fields):
    call = {"index": 0, "function": {"arguments": arguments}, **fields}
    return chunk({"delta": {"tool_calls": [call]}})


@then("an answer with a tool call in {count:d} parts is assembled completely")
def step_tool_calls(context, count):
    items = [tool_call_chunk("p", id="c1")]
    items += [tool_call_chunk("p") for _ in range(count - 1)]
    items.append(chunk({"delta": {}, "finish_reason": "tool_calls"}))
    whole = msgspec.json.decode(assemble.assemble(items, chat=True))
    message = whole["choices"][0]["message"]
    assert message["content"] is None, message
    (call,) = message["tool_calls"]
    assert call["id"] == "c1", call
    assert call["function"]["arguments"] == "p" * count, call


@then("an answer with {part} in a choice is an error, not a shorter answer")
def step_unknown_field(context, part):
    items = [chunk(msgspec.Raw(part.encode()))]
    items.append(chunk({"delta": {}, "finish_reason": "stop"}))
    try:
        assemble.assemble(items, chat=True)
    except assemble.ChunkError:
        return
    raise AssertionError("a part is missing from the answer")
