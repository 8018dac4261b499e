"""Starts and calls peers of the inner protocol for steps."""

from __future__ import annotations

import asyncio

import msgspec

from lycheering.wire import errors
from lycheering.wire import messages
from tests.support import wire_ends

SEED = 7
HOUR_MS = 3_600_000
LONG_CALL_MS = 600_000  # longer than any step takes
GIVE_UP_MS = 20_000


def runner(context):
    if not hasattr(context, "runner"):
        context.runner = context.stack.enter_context(asyncio.Runner())
    return context.runner


def run(context, work):
    return runner(context).run(work)


def make_peer(context, name, **options):
    loop_runner = runner(context)

    async def build():
        return wire_ends.Peer(name, **options)

    peer = loop_runner.run(build())
    context.stack.callback(lambda: loop_runner.run(peer.stop()))
    return peer


def milliseconds(text):
    return HOUR_MS if text == "an hour" else int(text.removesuffix(" ms"))


def start_server(context, **options):
    context.server = make_peer(context, "server", **options)
    run(context, context.server.server.start())
    context.port = context.server.server.port


def connect(context, **options):
    context.client = make_peer(context, "client", **options)
    run(context, dial(context, context.client))


async def dial(context, peer):
    context.connection = peer.connect("server", context.port)


async def call(context):
    return await context.connection.call(messages.StatusFetch())


async def call_until_done(context):
    async with asyncio.timeout(wire_ends.GIVE_UP_S):
        while True:
            try:
                return await call(context)
            except errors.WireError:
                continue


def envelope(message, **fields):
    made = messages.Envelope(
        messages.PROTOCOL_VERSION, "raw", "i1", "", 0, 0, 0.0, message
    )
    return msgspec.structs.replace(made, **fields)


__all__ = [
    "GIVE_UP_MS",
    "HOUR_MS",
    "LONG_CALL_MS",
    "SEED",
    "call",
    "call_until_done",
    "connect",
    "dial",
    "envelope",
    "make_peer",
    "milliseconds",
    "run",
    "runner",
    "start_server",
]
