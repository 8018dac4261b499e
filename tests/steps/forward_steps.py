"""Steps for forwarding requests directly to targets."""

from __future__ import annotations

import asyncio
import time

from behave import given
from behave import then
from behave import when
import logbook

from lycheering import clock
from lycheering.forward import draining
from standins import direct_target
from tests.helpers import direct_entry

# headers that a caller must not be able to set
RESERVED_HEADERS = {
    "X-Tenant": "somebody",
    "X-Cache-Salt": "theirs",
    "X-Hold": "1",
    "X-Pin-Ms": "5",
    "X-Kv-Backup": "1.2.3.4:5",
    "Kv-From": "1.2.3.4:5/6",
    "X-Expect-Instance": "theirs",
}


def run(context, action):
    """Runs an action with the entry of the scenario."""

    async def serve():
        allowance = getattr(context, "allowance", 100.0)
        timeout_ms = getattr(context, "timeout_ms", 3_000.0)
        entry = direct_entry.DirectEntry(context.targets, timeout_ms, allowance)
        async with entry:
            for preparation in getattr(context, "preparations", []):
                await preparation(entry)
            return await action(entry)

    return asyncio.run(serve())


def event_numbers(answer):
    lines = answer.body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def add_preparation(context, preparation):
    context.preparations = [
        *getattr(context, "preparations", []),
        preparation,
    ]


@given("a direct target that {behaviour}")
def step_target(context, behaviour):
    assert behaviour in direct_entry.direct_target.DirectTarget.BEHAVIOURS
    context.targets = [direct_entry.direct_target.DirectTarget("t1", behaviour)]


@given("another direct target that {behaviour}")
def step_another(context, behaviour):
    assert behaviour in direct_entry.direct_target.DirectTarget.BEHAVIOURS
    context.targets.append(
        direct_entry.direct_target.DirectTarget("t2", behaviour)
    )


@given("no allowance for second sends")
def step_no_allowance(context):
    context.allowance = 0.0


@given("control has not answered for too long")
def step_not_current(context):
    async def mark_outdated(entry):
        entry.is_current = False

    add_preparation(context, mark_outdated)


@given("the key is withdrawn")
def step_withdrawn(context):
    async def withdraw(entry):
        entry.put_table(revision=2, keys=("another",))

    add_preparation(context, withdraw)


@given("a route timeout of {timeout_ms:d} ms")
def step_timeout(context, timeout_ms):
    context.timeout_ms = float(timeout_ms)


@given("the target accepts no more connections")
def step_stopped_target(context):
    async def stop(entry):
        await entry.targets[0].stop()

    add_preparation(context, stop)


@given("the target sends an event every {gap_ms:d} ms")
def step_gap(context, gap_ms):
    context.targets[0].gap_s = gap_ms / 1_000


@when("an idempotent request with a custom header is forwarded")
def step_custom_header(context):
    data = direct_entry.request(X_Own="kept", **RESERVED_HEADERS)
    context.answer = run(context, lambda entry: direct_entry.ask(entry, data))


@when('a request of kind "{kind}" is forwarded')
def step_forward(context, kind):
    began_s = time.monotonic()
    data = direct_entry.request(kind)
    context.answer = run(context, lambda entry: direct_entry.ask(entry, data))
    context.elapsed_ms = (time.monotonic() - began_s) * 1_000


@when('a request of kind "{kind}" is forwarded until both were tried')
def step_forward_both(context, kind):
    # which target is tried first varies with their addresses
    for number in range(50):
        for target in context.targets:
            target.received.clear()
        data = direct_entry.request(kind, f"r{number}")
        context.answer = run(
            context, lambda entry, d=data: direct_entry.ask(entry, d)
        )
        assert context.answer.status == 200, context.answer
        if all(target.received for target in context.targets):
            return
    raise AssertionError("one target was never tried first")


@when('{count:d} requests of kind "{kind}" are forwarded')
def step_many(context, count, kind):
    async def ask_all(entry):
        answers = [
            await direct_entry.ask(
                entry, direct_entry.request(kind, f"r{number}")
            )
            for number in range(count)
        ]
        context.leaving = entry.registry.shutting_down_digests()
        return answers

    context.answers = run(context, ask_all)


@when('a request with the prompt "{prompt}" is logged')
def step_logged(context, prompt):
    data = direct_entry.request("stream", X_Prefix_Hash=prompt)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        run(context, lambda entry: direct_entry.ask(entry, data))
    context.log_lines = [record.message for record in handler.records]


@then('its attempt is logged with "{text}"')
def step_attempt_logged(context, text):
    (line,) = [
        line for line in context.log_lines if line.startswith("event=attempt ")
    ]
    assert text in line.split(), line


@when("a caller disconnects {wait_ms:d} ms after its request")
def step_disconnects(context, wait_ms):
    async def disconnect(entry):
        _, writer = await entry.connect()
        writer.write(direct_entry.request("once"))
        await asyncio.sleep(wait_ms / 1_000)
        writer.close()
        disconnected_s = time.monotonic()
        while not any(item.was_cut for item in context.targets[0].received):
            assert time.monotonic() - disconnected_s < 5, (
                "connection to the target stays open"
            )
            await asyncio.sleep(0.01)
        return (time.monotonic() - disconnected_s) * 1_000

    context.closed_after_ms = run(context, disconnect)


@when("a request with {what} is sent")
def step_refused(context, what):
    options_by_what = {
        "an unknown key": {"Authorization": "Bearer no"},
        "no key": {"Authorization": None},
        "an unknown path": {"path": "/nowhere/"},
        "an unknown host": {"Host": "two.test"},
        "no id": {"X_Attempt_Id": None, "request_id": ""},
        "a body that is too large": {"body": b"x" * 1_001},
        "headers that are too large": {"X_Large": "x" * 5_000},
        "headers that are too slow": {},
    }
    options = options_by_what[what]
    data = direct_entry.request(**options)
    if what == "no id":
        data = data.replace(b"X-Attempt-Id: \r\n", b"")
    if what == "headers that are too slow":
        data = data[:40]
    context.answer = run(context, lambda entry: direct_entry.ask(entry, data))


@when("the entry starts to drain during a stream")
def step_drain(context):
    async def drain(entry):
        reader, writer = await entry.connect()
        writer.write(direct_entry.request("stream"))
        head = await reader.readuntil(b"\r\n\r\n")
        entry.application.is_draining = True
        entry.web.close_connections()
        rest = await reader.read(-1)
        writer.close()
        return head, rest

    context.head, context.rest = run(context, drain)


@then("the stream is complete and its connection is closed")
def step_drained(context):
    assert b" 200 " in context.head.split(b"\r\n")[0]
    assert context.rest.endswith(b"0\r\n\r\n"), context.rest
    assert context.rest.count(b"id: ") == 4


@then('the answer is {status:d} with the body "{body}" of target {name}')
def step_answer(context, status, body, name):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.body == body.encode(), answer
    assert answer.value_by_header["x-response-stamp"] == f"stamp-{name}"


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("the answer is complete")
def step_complete(context):
    assert context.answer.is_complete, context.answer


@then("the answer is unproven")
def step_unproven(context):
    assert context.answer.is_ended_unframed, context.answer
    assert not context.answer.is_complete, context.answer


@then("the answer is incomplete")
def step_incomplete(context):
    assert not context.answer.is_complete, context.answer
    assert not context.answer.is_ended_unframed, context.answer


@then("the answer has a retry-after header")
def step_retry_after(context):
    assert float(context.answer.value_by_header["retry-after"]) > 0


@then("it came within {most_ms:d} ms")
def step_within(context, most_ms):
    assert context.elapsed_ms < most_ms + 1_000, context.elapsed_ms


@then("the request reached targets {sends:d} times")
def step_sends(context, sends):
    got = sum(len(target.received) for target in context.targets)
    assert got == sends, got


@then("targets got at most {most:d} requests")
def step_at_most(context, most):
    got = sum(len(target.received) for target in context.targets)
    assert got <= most, got


@then("the target got the method, path, body, header and id of the caller")
def step_unchanged(context):
    (got,) = context.targets[0].received
    assert got.line == "POST /safe/x?y=1 HTTP/1.1", got.line
    assert got.body == b"question"
    assert got.value_by_header["x-own"] == "kept"
    assert got.value_by_header["x-attempt-id"] == "r1"
    assert got.value_by_header["host"] == "one.test"


@then("the target got its own id, the team and the remaining time")
def step_added_headers(context):
    (got,) = context.targets[0].received
    assert got.value_by_header["x-expect-instance"] == "t1"
    assert got.value_by_header["x-tenant"] == direct_entry.TEAM
    assert 0 < int(got.value_by_header["x-deadline-ms"]) <= 2_000


@then("the target got no key and no header that only the entry may set")
def step_no_reserved_headers(context):
    (got,) = context.targets[0].received
    assert "authorization" not in got.value_by_header
    for name in ("x-hold", "x-pin-ms", "x-kv-backup", "kv-from"):
        assert name not in got.value_by_header, name


@then("the caller has the events {numbers} in order")
def step_events(context, numbers):
    expected = [int(text) for text in numbers.split(",")]
    assert event_numbers(context.answer) == expected, context.answer.body


@then("the answer has the headers of its first target")
def step_first_headers(context):
    first = next(t for t in context.targets if t.behaviour != "streams")
    stamp = context.answer.value_by_header["x-response-stamp"]
    assert stamp == f"stamp-{first.target_id}", stamp


@then("the connection to the target is closed within {most_ms:d} ms")
def step_closed(context, most_ms):
    assert context.closed_after_ms < most_ms, context.closed_after_ms


@then("the target saw {count:d} connection")
@then("the target saw {count:d} connections")
def step_connections(context, count):
    seen = {item.connection for item in context.targets[0].received}
    assert len(seen) == count, seen


@then('every answer was "{body}"')
def step_every(context, body):
    assert all(answer.body == body.encode() for answer in context.answers)


@given("a direct target whose stream exceeds the buffers of a connection")
def step_large_stream(context):
    target = direct_target.DirectTarget("t1", "streams")
    target.pieces = 2_000
    target.event_bytes = 32_768
    context.targets = [target]


@when("a caller with a deadline of {deadline_ms:d} ms does not read its stream")
def step_stalled(context, deadline_ms):
    async def stall(entry):
        reader, writer = await entry.connect()
        options = {"X-Deadline-Ms": str(deadline_ms)}
        writer.write(direct_entry.request("stream", **options))
        began_s = time.monotonic()
        await asyncio.sleep(0.1)
        assert entry.application.open_requests == 1
        while entry.application.open_requests:
            assert time.monotonic() - began_s < 5, "the request does not end"
            await asyncio.sleep(0.01)
        ended_after_ms = (time.monotonic() - began_s) * 1_000
        answer = await direct_entry.read_answer(reader)
        writer.close()
        return ended_after_ms, answer

    context.ended_after_ms, context.answer = run(context, stall)


@then("its request ends within {most_ms:d} ms")
def step_ends(context, most_ms):
    assert context.ended_after_ms <= most_ms, context.ended_after_ms


@then("what it reads later is incomplete")
def step_reads_incomplete(context):
    assert not context.answer.is_complete


@when("the entry drains while callers connect and send {wait_ms:d} ms later")
def step_drain_under_load(context, wait_ms):
    settings = draining.DrainSettings(
        grace_ms=3_000.0,
        stop_margin_ms=200.0,
        balancer_notice_ms=400.0,
        close_interval_ms=50.0,
    )

    async def call(entry, number):
        try:
            reader, writer = await entry.connect()
        except OSError:
            return None
        try:
            await asyncio.sleep(wait_ms / 1_000)
            writer.write(direct_entry.request("once", f"r{number}"))
            return await direct_entry.read_answer(reader)
        finally:
            writer.close()

    async def drain_under_load(entry):
        drain = draining.Drain(
            entry.application, entry.web, settings, clock.Clock()
        )
        draining_task = asyncio.create_task(drain.run())
        calls = []
        while not draining_task.done() and len(calls) < 200:
            calls.append(asyncio.create_task(call(entry, len(calls))))
            await asyncio.sleep(0.005)
        await draining_task
        calls.append(asyncio.create_task(call(entry, len(calls))))
        return await asyncio.gather(*calls)

    context.answers = run(context, drain_under_load)


@when(
    "the entry drains, and a request with a deadline of {deadline_ms:d} ms is"
    " complete late in the grace"
)
def step_late_request(context, deadline_ms):
    settings = draining.DrainSettings(
        grace_ms=2_500.0,
        stop_margin_ms=300.0,
        balancer_notice_ms=400.0,
        close_interval_ms=50.0,
    )

    async def send_late(entry):
        drain = draining.Drain(
            entry.application, entry.web, settings, clock.Clock()
        )
        body = b"question"
        data = direct_entry.request(
            "once", body=body, X_Deadline_Ms=str(deadline_ms)
        )
        reader, writer = await entry.connect()
        writer.write(data[: -len(body)])
        await asyncio.sleep(0.05)
        draining_task = asyncio.create_task(drain.run())
        await asyncio.sleep(1.0)
        writer.write(body)
        answer = await direct_entry.read_answer(reader)
        writer.close()
        await draining_task
        return answer

    context.answer = run(context, send_late)


@then("the late request is answered {status:d}")
def step_late_answer(context, status):
    assert context.answer.status == status, context.answer
    if status == 503:
        assert float(context.answer.value_by_header["retry-after"]) > 0


@then("every caller that got a connection has a complete answer")
def step_all_complete(context):
    served = [answer for answer in context.answers if answer is not None]
    assert served, "no caller got a connection"
    assert all(answer.status == 200 for answer in served), served
    assert all(answer.is_complete for answer in served)


@then("callers that came afterwards got no connection")
def step_no_connection(context):
    assert context.answers[-1] is None


@then("the other entries are told that the target is leaving")
def step_told_leaving(context):
    assert len(context.leaving) == 1, context.leaving


@when('a request of kind "{kind}" is forwarded from the start')
def step_from_start(context, kind):
    step_forward(context, kind)


@when('a request of kind "{kind}" is forwarded after event {number:d}')
def step_after_event(context, kind, number):
    data = direct_entry.request(kind, Last_Event_Id=str(number), Resumes="r0")
    context.answer = run(context, lambda entry: direct_entry.ask(entry, data))
