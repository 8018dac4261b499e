"""What an entry's connection to an agent carries, byte by byte."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import zmq.asyncio

from bench.measures import capacity
from bench.measures import herd
from lycheering.fleet import view_holder
from lycheering.wire import api
from lycheering.wire import client
from lycheering.wire import messages
from lycheering.wire import server

if TYPE_CHECKING:
    from bench.measures import api as measures_api

# IPv4 and TCP with time stamps
HEADER_BYTES = 52
# three to open and four to close
HANDSHAKE_PACKETS = 7
ASK_COUNTS = (10, 20, 40)
HEARTBEAT_COUNTS = (4, 8, 16)
LEVELS = 5
POLL_S = 0.01


class Relay:
    """Passes a connection on and counts what goes through.

    Of what goes to and fro each read counts as a packet, and every second
    one is acknowledged by a packet of its own.

    Attributes:
        port: The port to connect to.
        reads: The reads so far.
        payload_bytes: The bytes read.
    """

    def __init__(self, to_port: int) -> None:
        self.port = 0
        self.reads = 0
        self.payload_bytes = 0
        self._to_port = to_port
        self._listener: asyncio.Server | None = None
        self._ended = asyncio.Event()

    @property
    def total_bytes(self) -> int:
        """The bytes read, with the headers of their packets."""
        packets = self.reads * 3 // 2
        return self.payload_bytes + packets * HEADER_BYTES

    async def start(self) -> None:
        """Begins to listen."""
        self._listener = await asyncio.start_server(
            self._accept, capacity.HOST, 0
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends listening, after the last connection ended."""
        await self._ended.wait()
        if self._listener is not None:
            self._listener.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._ended.clear()
        there, back = await asyncio.open_connection(
            capacity.HOST, self._to_port
        )
        await asyncio.gather(
            self._pass(reader, back), self._pass(there, writer)
        )
        self._ended.set()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                self.reads += 1
                self.payload_bytes += len(data)
                writer.write(data)
        writer.close()


class Agent(api.SessionHandler):
    """Answers cache inquiries."""

    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Answers one frame."""
        report = messages.CacheReport(20, 123.4, 17.25, 5_000.5, 0.25)
        session.send(report, envelope.call_id)


def load() -> messages.LoadReport:
    """Returns an agent's load."""
    return messages.LoadReport(7, 3, 8, 123.4, 17.25)


async def measure() -> None:
    """Prints the bytes of a connection, of an ask and of a heartbeat."""
    context = zmq.asyncio.Context()
    agent = herd.link_of(context, view_holder.ViewHolder(), messages.Role.AGENT)
    listener = server.Server(agent, capacity.HOST, Agent(), load)
    await listener.start()
    relay = Relay(listener.port)
    await relay.start()
    entry = herd.link_of(context, view_holder.ViewHolder(), messages.Role.ENTRY)
    address = api.Address("target-123", capacity.HOST, relay.port)
    try:
        await _measure_setup(relay, address, entry)
        connection = client.Connection(address, entry)
        connection.start()
        await connection.wait_ready(20_000)
        for count in ASK_COUNTS:
            await _measure_asks(relay, connection, count)
        for count in HEARTBEAT_COUNTS:
            await _measure_heartbeats(relay, count, entry)
        await connection.close()
    finally:
        await relay.stop()
        await listener.stop()
        context.destroy(linger=0)


async def _measure_setup(
    relay: Relay, address: api.Address, entry: api.Link
) -> None:
    connection = client.Connection(address, entry)
    connection.start()
    await connection.wait_ready(20_000)
    await connection.close()
    await asyncio.sleep(POLL_S)
    whole = relay.total_bytes + HANDSHAKE_PACKETS * HEADER_BYTES
    print(
        f"setup payload_bytes={relay.payload_bytes} reads={relay.reads}"
        f" with_headers={whole}",
        flush=True,
    )


async def _measure_asks(
    relay: Relay, connection: client.Connection, count: int
) -> None:
    before = relay.payload_bytes, relay.total_bytes
    cpu_s = time.process_time()
    inquiry = messages.CacheInquiry(("abcdefgh",) * LEVELS, LEVELS - 1)
    for _ in range(count):
        await connection.call(inquiry)
    spent_us = (time.process_time() - cpu_s) * 1e6
    payload = relay.payload_bytes - before[0]
    total = relay.total_bytes - before[1]
    print(
        f"asks={count} payload_bytes_each={payload / count:.0f}"
        f" with_headers_each={total / count:.0f}"
        f" cpu_us_each_both_ends_and_relay={spent_us / count:.0f}",
        flush=True,
    )


async def _measure_heartbeats(
    relay: Relay, count: int, entry: api.Link
) -> None:
    before = relay.payload_bytes, relay.total_bytes
    reads = relay.reads
    # a heartbeat and its reply are one read each
    while relay.reads < reads + 2 * count:
        await asyncio.sleep(POLL_S)
    payload = relay.payload_bytes - before[0]
    total = relay.total_bytes - before[1]
    print(
        f"heartbeats={count} each_ms={entry.settings.heartbeat_ms}"
        f" payload_bytes_each={payload / count:.0f}"
        f" with_headers_each={total / count:.0f}",
        flush=True,
    )


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    del settings
    asyncio.run(measure())


__all__ = ["measure", "run"]

if __name__ == "__main__":
    asyncio.run(measure())
