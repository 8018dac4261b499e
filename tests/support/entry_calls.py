"""Requests of steps to an entry with fake peers."""

from __future__ import annotations

from tests.support import fake_fleet
from tests.support import http_caller

CHAT = "/v1/chat/completions"
PORTAL = "/v1/services/portal/place"


def start_fleet(context, **settings):
    context.fleet = fake_fleet.FakeFleet(**settings)
    context.stack.callback(context.fleet.close)
    context.answers = []


def chat_body(prompt, stream, **fields):
    message = {"role": "user", "content": prompt}
    return {"model": "m", "messages": [message], "stream": stream} | fields


def ask(context, method, path, key="key-north", body=None, **headers):
    reply = context.fleet.run(
        context.fleet.fetch(method, path, key, body, **headers)
    )
    context.seen = http_caller.read(reply)
    context.answers.append(context.seen)


async def restart_entry(fleet, *, is_current=True):
    await fleet.entry.stop()
    if is_current:
        await fleet.start_entry()
        return
    fleet.entry_settings |= {"fleet_lease_ms": 1}
    await fleet.start_entry()
    client = fleet.entry._control
    await client.stop()
    await fake_fleet.wait_until(lambda: not fleet.entry.is_current())


async def wait_view_current(fleet):
    await fake_fleet.wait_until(
        lambda: fleet.entry.view.revision() == fleet.control.view.revision()
    )


def update_scripts(agents, **fields):
    for agent in agents:
        for name, value in fields.items():
            setattr(agent.script, name, value)


__all__ = [
    "CHAT",
    "PORTAL",
    "ask",
    "start_fleet",
    "chat_body",
    "restart_entry",
    "update_scripts",
    "wait_view_current",
]
