"""Two ends of the inner protocol in one test process."""

from __future__ import annotations

import asyncio

import zmq

from lycheering import clock
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.fleet import view_holder
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import client
from lycheering.wire import messages
from lycheering.wire import server
from lycheering.wire import sockets

HOST = "127.0.0.1"
HEARTBEAT_MS = 50
SILENCE_MS = 400
MAX_FRAME_BYTES = 65_536
GIVE_UP_S = 20
POLL_S = 0.005


def wire_settings(**options):
    """Returns settings with a silence limit short enough for tests."""
    # skips validation, as some tests use longer heartbeat intervals than
    # the settings allow
    return model.WireSettings.model_construct(
        **{
            "heartbeat_ms": HEARTBEAT_MS,
            "silence_ms": SILENCE_MS,
            "max_frame_bytes": MAX_FRAME_BYTES,
            "call_timeout_ms": 5_000,
        }
        | options
    )


class RecordingHandler(api.SessionHandler):
    """Records each message and replies to calls with Done."""

    def __init__(self, view):
        self.handled = []
        self.revisions = []
        self.closed_names = []
        self.served = set()
        self._view = view

    async def handle(self, session, envelope):
        self.handled.append(envelope.message)
        self.revisions.append(self._view.revision())
        if envelope.call_id:
            session.send(messages.Done(), envelope.call_id)

    def serving(self):
        return self.served

    async def closed(self, session):
        self.closed_names.append(session.name)


class Peer:
    """A process on the inner protocol: its link, server and connections.

    `security` is a function that creates the security from the counters.
    """

    def __init__(
        self,
        name,
        security=None,
        view_revision=0,
        with_teams=True,
        control_heartbeat_ms=0,
        role=messages.Role.CONTROL,
    ):
        self.context = sockets.new_context()
        self.counters = counters.Counters()
        self.view = view_holder.ViewHolder(with_teams=with_teams)
        for number in range(view_revision):
            self.change(number)
        self.link = api.Link(
            self.context,
            api.Identity(name, role, "d1"),
            wire_settings(control_heartbeat_ms=control_heartbeat_ms),
            clock.Clock(),
            self.view,
            self.counters,
            security(self.counters) if security else api.NoSecurity(),
        )
        self.handler = RecordingHandler(self.view)
        self.server = server.Server(self.link, HOST, self.handler)
        self.connections = []
        self.sockets = []

    def change(self, number):
        """Changes the view, which increments its revision."""
        change = changes.DefaultSet("limits.max_running", number + 1)
        self.view.fleet.add_change(change, by_operator=True)

    def add_team(self, name):
        """Adds a team to the view."""
        team = records.Team(name, (view.key_digest(name),))
        self.view.fleet.add_change(changes.TeamPut(team), by_operator=True)

    def connect(self, name, port, *, is_control=False, budget=None):
        """Opens a connection to a port and returns it."""
        address = api.Address(name, HOST, port, is_control)
        connection = client.Connection(address, self.link, budget)
        connection.start()
        self.connections.append(connection)
        return connection

    def raw_socket(self, port):
        """Returns a ZeroMQ socket connected to a port."""
        socket = self.context.socket(zmq.DEALER)
        socket.linger = 0
        socket.connect(f"tcp://{HOST}:{port}")
        self.sockets.append(socket)
        return socket

    async def stop(self):
        """Closes the connections, the server and the context."""
        for connection in self.connections:
            await connection.close()
        await self.server.stop()
        self.context.destroy(linger=0)


async def until(condition):
    """Waits until a condition holds; raises TimeoutError after GIVE_UP_S."""
    async with asyncio.timeout(GIVE_UP_S):
        while not condition():
            await asyncio.sleep(POLL_S)


__all__ = ["HOST", "MAX_FRAME_BYTES", "Peer", "until", "wire_settings"]
