"""Steps for the agent."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from lycheering.wire import messages
from tests.helpers import agent_bench


def bench_of(context):
    if not hasattr(context, "bench"):
        context.bench = agent_bench.Bench()
        context.stack.callback(context.bench.close)
    return context.bench


@given("an agent beside an engine")
def step_agent_and_engine(context):
    bench = bench_of(context)
    bench.run(bench.start_engine())
    bench.run(bench.start_agent())


@when('an entry submits request "{request_id}" for {tokens:d} tokens')
def step_submit(context, request_id, tokens):
    bench = bench_of(context)
    context.tokens = tokens
    submit = bench.submit(request_id, max_tokens=tokens)
    context.outcome = bench.run(bench.ask(submit))


@then("the entry has the whole answer")
def step_whole(context):
    ending = context.outcome.ending
    assert isinstance(ending, messages.Finished), ending
    wanted = agent_bench.expected_text("hello", context.tokens)
    assert context.outcome.text == wanted, context.outcome
    assert ending.next_seq == context.tokens


@then("the engine ran {count:d} request")
@then("the engine ran {count:d} requests")
def step_engine_ran(context, count):
    runs = context.bench.engine.batch.runs
    assert len(runs) == count, runs
