"""Scripted peers on the inner protocol that run in a thread."""

from __future__ import annotations

import asyncio
import threading

import zmq.asyncio

from lycheering import clock
from lycheering.fleet import records
from lycheering.fleet import view_holder
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import client
from lycheering.wire import errors
from lycheering.wire import messages
from lycheering.wire import server
from tests.support import processes

CALL_S = 30.0


class ScriptedHandler(api.SessionHandler):
    """Replies by a table of message types, and records all messages."""

    def __init__(self):
        self.reply_by_kind = {}
        self.received = []

    async def handle(self, session, envelope):
        self.received.append(envelope.message)
        reply = self.reply_by_kind.get(type(envelope.message))
        if callable(reply):
            reply = reply(envelope.message)
        if reply is not None:
            session.send(reply, envelope.call_id)


class Peer:
    """A scripted process: a link, and a server if it listens."""

    def __init__(self, peers, name, role):
        self.peers = peers
        self.name = name
        self.view = view_holder.ViewHolder()
        self.handler = ScriptedHandler()
        self.connection_by_name = {}
        self.link = api.Link(
            peers.context,
            api.Identity(name, role, "fd1"),
            model.WireSettings(),
            clock.Clock(),
            self.view,
            counters.Counters(),
        )
        self.server = None

    @property
    def incarnation(self):
        return self.link.identity.incarnation

    async def listen(self):
        self.server = server.Server(self.link, processes.HOST, self.handler)
        await self.server.start()

    async def connect(self, name, port):
        address = api.Address(name, processes.HOST, port)
        connection = client.Connection(address, self.link)
        self.connection_by_name[name] = connection
        connection.start()

    async def close(self):
        for connection in self.connection_by_name.values():
            await connection.close()
        if self.server is not None:
            await self.server.stop()

    def target(self, **members):
        """Returns the target record that the agent registers."""
        port = self.server.port if self.server is not None else 1
        return records.Target(
            self.name,
            records.TargetKind.ENGINE,
            f"worker-{self.name}",
            processes.HOST,
            port,
            self.incarnation,
            "fd1",
            model="drafting",
            **members,
        )

    def call(self, message, timeout_ms=2_000):
        """Calls the control instances in turn until the leader answers."""
        return self.peers.run(self.call_leader(message, timeout_ms))

    async def call_leader(self, message, timeout_ms=2_000):
        """Does the same as `call`, within the peers' event loop."""
        end_ms = clock.Clock().now_ms() + CALL_S * 1_000
        names = list(self.connection_by_name)
        while clock.Clock().now_ms() < end_ms:
            connection = self.connection_by_name[names[0]]
            try:
                return await connection.call(message, timeout_ms)
            except errors.CallFailedError as error:
                failure = error.failure
                if failure.reason not in (
                    messages.Reason.NOT_LEADER,
                    messages.Reason.NO_QUORUM,
                ):
                    return failure
            except errors.WireError:
                pass
            names.append(names.pop(0))
            await asyncio.sleep(0.02)
        raise AssertionError(f"no control instance answered {message!r}")


class ControlPeers:
    """An event loop in a thread that runs the scenario's peers."""

    def __enter__(self):
        self.peers = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.context = self.run(self._make_context())
        return self

    def __exit__(self, *_):
        self.run(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _make_context(self):
        return zmq.asyncio.Context()

    async def _close(self):
        for peer in self.peers:
            await peer.close()
        self.context.destroy(linger=0)

    def run(self, work):
        """Runs a coroutine in the peers' event loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(2 * CALL_S)

    def join(self, group, name, role, *, listens=False):
        """Returns a peer that is connected to all control instances."""
        return self.run(self._join(group, name, role, listens))

    async def _join(self, group, name, role, listens):
        peer = Peer(self, name, role)
        self.peers.append(peer)
        if listens:
            await peer.listen()
        for control in group.names:
            await peer.connect(control, group.member_port[control])
        return peer
