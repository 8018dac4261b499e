"""Steps for the fault-injecting proxy."""

from __future__ import annotations

import socket
import socketserver
import threading

from behave import given
from behave import then
from behave import when

from tests.support import background
from tests.support import fault_proxy

TIMEOUT_S = 20


class EchoHandler(socketserver.BaseRequestHandler):
    def handle(self):
        self.server.sockets.append(self.request)
        while True:
            try:
                data = self.request.recv(65_536)
            except OSError:
                return
            if not data:
                return
            self.server.received.append(data)
            self.request.sendall(data)


class EchoServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    block_on_close = False


def received(context):
    return b"".join(context.target.received)


def caller(context, name):
    if name not in context.caller_by_name:
        address = ("127.0.0.1", context.proxy.port)
        opened = socket.create_connection(address, TIMEOUT_S)
        context.stack.callback(opened.close)
        context.caller_by_name[name] = opened
    return context.caller_by_name[name]


def read_text(context, name, text):
    data = b""
    while len(data) < len(text):
        part = caller(context, name).recv(len(text) - len(data))
        assert part, "closed before the end"
        data += part
    assert data.decode() == text


@given("a fault proxy before an echoing target")
def step_proxy(context):
    context.caller_by_name = {}
    context.target = EchoServer(("127.0.0.1", 0), EchoHandler)
    context.target.received = []
    context.target.sockets = []
    threading.Thread(target=context.target.serve_forever, daemon=True).start()
    context.stack.callback(context.target.server_close)
    context.stack.callback(context.target.shutdown)
    port = context.target.server_address[1]
    proxy = fault_proxy.FaultProxy(port)
    context.proxy = context.stack.enter_context(proxy)


@given('caller "{name}" of the fault proxy has exchanged a message')
def step_exchanged(context, name):
    caller(context, name).sendall(b"first")
    read_text(context, name, "first")


@when('caller "{name}" of the fault proxy sends "{text}"')
def step_sends(context, name, text):
    caller(context, name).sendall(text.encode())


@when("the fault proxy cuts the way to the target")
def step_cut_target(context):
    context.proxy.cut(fault_proxy.Direction.TO_TARGET)


@when("the fault proxy cuts the way to the caller")
def step_cut_caller(context):
    context.proxy.cut(fault_proxy.Direction.TO_CALLER)


@when("the fault proxy heals")
def step_heal(context):
    context.proxy.heal()


@when("the fault proxy silences the open connections")
def step_silence(context):
    assert context.proxy.silence_open() == 1


@when("the fault proxy refuses new connections")
def step_refuse(context):
    context.proxy.refuse_new()


@when("the fault proxy closes all connections")
def step_close(context):
    assert context.proxy.close_all() == 1


@when("the fault proxy delays by {delay:d} ms")
def step_delay(context, delay):
    context.proxy.delay(delay)


@when("the fault proxy hands on {size:d} bytes at a time")
def step_trickle(context, size):
    context.proxy.trickle(size)


@then('caller "{name}" of the fault proxy reads "{text}"')
def step_reads(context, name, text):
    read_text(context, name, text)


@then("the fault proxy holds back {count:d} bytes")
def step_holds(context, count):
    background.wait_until(lambda: context.proxy.held_bytes == count)


@then("the fault proxy swallows {count:d} bytes")
def step_swallows(context, count):
    background.wait_until(lambda: context.proxy.swallowed_bytes == count)


@then('the target\'s message "{text}" reaches caller "{name}"')
def step_news(context, text, name):
    context.target.sockets[0].sendall(text.encode())
    read_text(context, name, text)


@then('the target has not received "{text}"')
def step_not_received(context, text):
    assert text.encode() not in received(context)


@then('the target receives "{text}"')
def step_received(context, text):
    background.wait_until(lambda: text.encode() in received(context))


@then('caller "{name}" of the fault proxy has nothing to read')
def step_nothing(context, name):
    opened = caller(context, name)
    opened.setblocking(False)
    try:
        data = opened.recv(1)
    except BlockingIOError:
        data = None
    opened.settimeout(TIMEOUT_S)
    assert data is None, f"read {data!r}"


@then('caller "{name}" of the fault proxy is reset')
def step_reset(context, name):
    try:
        data = caller(context, name).recv(1)
    except ConnectionError:
        data = b""
    assert data == b""
