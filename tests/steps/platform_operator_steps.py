"""Steps for the endpoint of the platform's operators."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when

from lycheering import clock
from lycheering.control import commands
from lycheering.control import machine
from lycheering.control.direct import route_admin
from lycheering.platform import operator_api
from lycheering.replication import errors
from lycheering.web import client
from lycheering.web import server
from tests.helpers import platform_document

HOST = "127.0.0.1"
TIMEOUT_MS = 5_000
TABLE = "/v1/routes"
WEIGHTS = "/v1/weights"


class Group:
    """A group of control instances that is one machine."""

    def __init__(self, has_leader):
        self.machine = machine.ControlMachine()
        self.has_leader = has_leader
        self._index = 0

    def _check(self):
        if not self.has_leader:
            raise errors.UnavailableError("no leader")

    async def propose_via_leader(self, command):
        self._check()
        self._index += 1
        data = commands.encode(command)
        return commands.decode_reply(self.machine.apply(self._index, data))

    async def wait_until_current(self):
        self._check()


def document(version=7, cut=0, **fields):
    data = json.dumps(
        {**platform_document.DOCUMENT, **fields, "version": version}
    ).encode()
    return data[: len(data) - cut]


def unknown_service():
    routes = [{**platform_document.DOCUMENT["routes"][0], "service": "unknown"}]
    return document(routes=routes)


CALLS = {
    "puts a route table": [("PUT", TABLE, document())],
    "puts a route table again": [("PUT", TABLE, document())] * 2,
    "puts an older route table": [
        ("PUT", TABLE, document()),
        ("PUT", TABLE, document(3)),
    ],
    "puts a table cut short": [("PUT", TABLE, document(cut=40))],
    "puts a table with unknown service": [("PUT", TABLE, unknown_service())],
    "names weights": [("POST", WEIGHTS, b'{"model":"m","version":2}')],
    "names weights of no model": [("POST", WEIGHTS, b'{"version":2}')],
    "reads the table before any": [("GET", TABLE, b"")],
    "reads the table": [("GET", TABLE, b"")],
}


async def make_calls(group, calls):
    admin = route_admin.RouteAdmin(group, clock.Clock())
    web = server.WebServer(operator_api.OperatorApi(admin).application, HOST, 0)
    await web.start()
    try:
        origin = client.Origin(HOST, web.port)
        for method, path, body in calls:
            reply = await client.fetch(
                origin, method, path, body=body, timeout_ms=TIMEOUT_MS
            )
        return reply
    finally:
        await web.stop()


@given("an operators' endpoint whose control leads")
def step_leads(context):
    context.group = Group(has_leader=True)


@given("an operators' endpoint whose control has no leader")
def step_no_leader(context):
    context.group = Group(has_leader=False)


@when("an operator {call}")
def step_call(context, call):
    context.reply = asyncio.run(make_calls(context.group, CALLS[call]))


@then("the operator's answer is {status:d}")
def step_status(context, status):
    assert context.reply.head.status == status, context.reply


@then("the operator reads the bytes that were put")
def step_bytes(context):
    assert context.reply.body == document(), context.reply.body
