"""Steps for the bounds on what clients make a process hold."""

from __future__ import annotations

import asyncio
import math
import pathlib
import re
import tempfile

from behave import given
from behave import then
from behave import when

from lycheering.web import held_bytes
from lycheering.web import server

HOST = "127.0.0.1"
NOW_S = 1_000.0
GIVE_UP_S = 20
DESCRIBED = re.compile(r"([a-z ]+) (\d+) bytes for (\d+) s")


class FakeConnection(held_bytes.HeldConnection):
    """A connection that notes its end."""

    def __init__(self, name, since_s, *, is_served=False):
        self.name = name
        self.since_s = since_s
        self.is_served = is_served
        self.has_ended = False

    def may_end(self):
        return not self.is_served

    def may_drop(self):
        return not self.is_served

    def end_for_room(self):
        self.has_ended = True
        self.owner.set_held(self, 0)


def add(context, connection, held=0):
    connection.owner = context.held
    context.connections.append(connection)
    context.held.add(connection, NOW_S)
    context.held.set_held(connection, held)


@given("bounds of {size:d} bytes and {count:d} connections")
def step_bounds(context, size, count):
    context.held = held_bytes.HeldBytes(size, count)
    context.connections = []


@given("a served connection that holds {size:d} bytes")
def step_served(context, size):
    add(context, FakeConnection("served", NOW_S, is_served=True), size)


@given('a connection "{name}" that was answered and is idle for {age_s:d} s')
def step_answered(context, name, age_s):
    connection = FakeConnection(name, NOW_S - age_s)
    connection.has_finished_request = True
    add(context, connection)


@given("connections {described}")
def step_connections(context, described):
    for name, size, age_s in DESCRIBED.findall(described):
        add(
            context,
            FakeConnection(name.strip(), NOW_S - int(age_s)),
            int(size),
        )


@when("room is made")
def step_room(context):
    context.held.make_room(NOW_S)


@then('the connections "{names}" were ended')
def step_ended(context, names):
    ended = [c.name for c in context.connections if c.has_ended]
    assert ended == names.split(", "), ended


@then('the connections "" were ended')
def step_none_ended(context):
    assert not any(c.has_ended for c in context.connections)


@then("new requests are refused")
def step_full(context):
    assert context.held.is_full


@then('the memory of a machine with the line "{line}" is {size:d} bytes')
def step_memory(context, line, size):
    assert held_bytes.machine_memory_bytes([line]) == size


@given('the control groups "{groups}" with the limits "{limits}"')
def step_groups(context, groups, limits):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.groups_folder = pathlib.Path(folder) / "mounted"
    context.groups_file = pathlib.Path(folder) / "groups"
    lines = [groups] if groups == "no group" else groups.split()
    context.groups_file.write_text("".join(f"{line}\n" for line in lines))
    for limit in limits.split():
        name, _, value = limit.partition("=")
        file = context.groups_folder / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(f"{value}\n")


@then("the memory of the control groups is {size}")
def step_group_memory(context, size):
    found = held_bytes.control_group_memory_bytes(
        context.groups_file, context.groups_folder
    )
    assert found == (math.inf if size == "none" else int(size)), found


class CountingApplication:
    """Answers each request with its path.

    Attributes:
        most_open: The most requests that were begun before an answer.
        is_told: Whether a request was told that its client left.
    """

    def __init__(self, *, hangs=False):
        self.most_open = 0
        self.is_told = asyncio.Event()
        self._hangs = hangs

    async def start(self):
        pass

    async def stop(self):
        pass

    async def __call__(self, scope, receive, send):
        if self._hangs:
            while (await receive())["type"] != "http.disconnect":
                continue
            self.is_told.set()
            return
        body = scope["raw_path"]
        headers = [(b"content-length", b"%d" % len(body))]
        start = {"type": "http.response.start", "status": 200}
        self.most_open = max(self.most_open, self.web.open_requests())
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})


@given("an HTTP server that counts the requests that are open")
def step_counting(context):
    context.hangs = False


@given("an HTTP server whose first request does not end")
def step_hanging(context):
    context.hangs = True


@when("a client sends {count:d} requests ahead and then reads")
def step_ahead(context, count):
    async def exchange(application, reader, writer):
        for number in range(count):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        answers = []
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 "), head
            size = int(re.search(rb"content-length: (\d+)", head)[1])
            answers.append(await reader.readexactly(size))
        context.answers = answers
        context.most_open = application.most_open

    asyncio.run(serve(exchange, hangs=context.hangs))


@when("a client sends {count:d} requests ahead and leaves")
def step_leave(context, count):
    async def exchange(application, reader, writer):
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * count)
        await asyncio.sleep(0.1)
        writer.close()
        await application.is_told.wait()
        context.is_told = True

    asyncio.run(serve(exchange, hangs=context.hangs))


async def serve(exchange, *, hangs):
    async with asyncio.timeout(GIVE_UP_S):
        application = CountingApplication(hangs=hangs)
        web = server.WebServer(application, HOST, 0)
        application.web = web
        await web.start()
        reader, writer = await asyncio.open_connection(HOST, web.port)
        try:
            await exchange(application, reader, writer)
        finally:
            writer.close()
            await web.stop()


@then("it gets {count:d} answers in their order")
def step_order(context, count):
    assert context.answers == [b"/%d" % number for number in range(count)]


@then("at most {count:d} requests were begun before an answer")
def step_most(context, count):
    assert 1 <= context.most_open <= count, context.most_open


@then("the first request is told of it")
def step_told(context):
    assert context.is_told
