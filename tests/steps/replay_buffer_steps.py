"""Steps for replay buffers."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.agent import replay_buffer


@given("a replay buffer")
def step_buffer(context):
    context.buffer = replay_buffer.ReplayBuffer(0)


@when("{count:d} chunks of {size:d} bytes are added")
def step_add(context, count, size):
    for _ in range(count):
        context.buffer.append((b"x" * size,))


@when("chunks before {seq:d} are acknowledged")
def step_acknowledge(context, seq):
    context.buffer.acknowledge(seq)


@then("the buffer has room")
def step_room(context):
    assert context.buffer.has_room


@then("the buffer has no room")
def step_no_room(context):
    assert not context.buffer.has_room


@then("the buffer holds at most {size:d} bytes")
def step_holds(context, size):
    assert context.buffer.byte_count <= size


@then("chunk {seq:d} is no longer in the buffer")
def step_trimmed(context, seq):
    try:
        context.buffer.read(seq)
    except replay_buffer.TrimmedError:
        return
    raise AssertionError("still in the buffer")


@then("any use of a replay buffer returns each chunk under its own number")
def step_any_use(context):
    step = strategies.one_of(
        strategies.tuples(strategies.just("add"), strategies.integers(1, 9)),
        strategies.tuples(strategies.just("ack"), strategies.integers(0, 99)),
        strategies.tuples(strategies.just("read"), strategies.integers(0, 99)),
    )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.integers(0, 5), strategies.lists(step))
    def check(first_seq, steps):
        buffer = replay_buffer.ReplayBuffer(first_seq)
        for action, number in steps:
            if action == "add":
                numbers = range(buffer.next_seq, buffer.next_seq + number)
                buffer.append(tuple(b"%d" % seq for seq in numbers))
            elif action == "ack":
                buffer.acknowledge(number)
            elif buffer.first_seq <= number <= buffer.next_seq:
                items = buffer.read(number)
                expected = range(number, buffer.next_seq)
                assert items == tuple(b"%d" % seq for seq in expected)
        size = sum(map(len, buffer.read(buffer.first_seq)))
        assert size == buffer.byte_count

    check()
