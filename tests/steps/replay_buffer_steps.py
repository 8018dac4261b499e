"""Steps for the tails of streams."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.agent import replay_buffer


@given("a stream tail")
def step_tail(context):
    context.tail = replay_buffer.ReplayBuffer(0)


@when("{count:d} chunks of {size:d} bytes are added")
def step_add(context, count, size):
    for _ in range(count):
        context.tail.append((b"x" * size,))


@when("chunks before {seq:d} are acknowledged")
def step_acknowledge(context, seq):
    context.tail.acknowledge(seq)


@then("the tail has room")
def step_room(context):
    assert context.tail.has_room


@then("the tail has no room")
def step_no_room(context):
    assert not context.tail.has_room


@then("the tail holds at most {size:d} bytes")
def step_holds(context, size):
    assert context.tail.byte_count <= size


@then("chunk {seq:d} is no longer kept")
def step_trimmed(context, seq):
    try:
        context.tail.read(seq)
    except replay_buffer.TrimmedError:
        return
    raise AssertionError("still kept")


@then("any use of a tail gives each chunk under its own number")
def step_any_use(context):
    step = strategies.one_of(
        strategies.tuples(strategies.just("add"), strategies.integers(1, 9)),
        strategies.tuples(strategies.just("ack"), strategies.integers(0, 99)),
        strategies.tuples(strategies.just("read"), strategies.integers(0, 99)),
    )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.integers(0, 5), strategies.lists(step))
    def check(first_seq, steps):
        kept = replay_buffer.ReplayBuffer(first_seq)
        for action, number in steps:
            if action == "add":
                numbers = range(kept.next_seq, kept.next_seq + number)
                kept.append(tuple(b"%d" % seq for seq in numbers))
            elif action == "ack":
                kept.acknowledge(number)
            elif kept.first_seq <= number <= kept.next_seq:
                items = kept.read(number)
                wanted = range(number, kept.next_seq)
                assert items == tuple(b"%d" % seq for seq in wanted)
        size = sum(map(len, kept.read(kept.first_seq)))
        assert size == kept.byte_count

    check()
