"""What a herd of restarted processes costs a control instance."""

from __future__ import annotations

import argparse
import asyncio
import resource
import sys
import time
from typing import TYPE_CHECKING
from unittest import mock

import zmq.asyncio

from bench.measures import capacity
from lycheering import clock
from lycheering.fleet import view_holder
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import client
from lycheering.wire import codec
from lycheering.wire import messages
from lycheering.wire import server

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.measures import api as measures_api

HERD_SIZES = (25, 50, 100)
TEAM_SIZES = (1_000, 5_000, 17_000)
POLL_S = 0.01
GIVE_UP_S = 60.0


def link_of(
    context: zmq.asyncio.Context, view: api.ViewExchange, role: messages.Role
) -> api.Link:
    """Returns what the connections of one process share."""
    return api.Link(
        context,
        api.Identity("peer", role, "domain-a"),
        model.WireSettings(),
        clock.Clock(),
        view,
        counters.Counters(),
    )


def view_of(role: messages.Role) -> view_holder.ViewHolder:
    """Returns an empty view as a role holds it."""
    return view_holder.ViewHolder(with_teams=role != messages.Role.AGENT)


async def join(port: int, count: int, teams: int, role: str) -> None:
    """Connects processes with an empty view each, until all have it."""
    context = zmq.asyncio.Context()
    kind = messages.Role(role)
    views = [view_of(kind) for _ in range(count)]
    address = api.Address("control-0", capacity.HOST, port)
    connections = [
        client.Connection(address, link_of(context, view, kind))
        for view in views
    ]
    start_s = time.monotonic()
    for connection in connections:
        connection.start()
    while any(view.revision() < teams for view in views):
        if time.monotonic() - start_s > GIVE_UP_S:
            break
        await asyncio.sleep(POLL_S)
    whole = sum(view.revision() >= teams for view in views)
    print(f"{whole} {time.monotonic() - start_s:.2f}", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    await asyncio.gather(*(c.close() for c in connections))
    context.destroy(linger=0)


async def measure_herd(count: int, teams: int, role: messages.Role) -> None:
    """Prints what one herd costs the instance that it connects to."""
    context = zmq.asyncio.Context()
    view = view_holder.ViewHolder()
    for number in range(teams):
        view.fleet.add_change(capacity.team_change(number), by_operator=True)
    listener = server.Server(
        link_of(context, view, messages.Role.CONTROL),
        capacity.HOST,
        capacity.Answering(),
    )
    await listener.start()
    frames = FrameCounter()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    cpu_s = time.process_time()
    peer = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.measures.herd",
        f"--join={count}",
        f"--port={listener.port}",
        f"--teams={teams}",
        f"--role={role.value}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert peer.stdin is not None
    assert peer.stdout is not None
    try:
        with mock.patch.object(codec, "encode", frames.encode):
            line = await peer.stdout.readline()
        whole, joined_s = line.decode().split()
        spent_ms = (time.process_time() - cpu_s) * 1e3
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print(
            f"herd={count} teams={teams} role={role.value} whole={whole}"
            f" joined_s={joined_s} server_ms_per_peer={spent_ms / count:.2f}"
            f" kb_sent_per_peer={frames.total / count / 1e3:.1f}"
            f" server_peak_mib={(after - before) / 1_024:.0f}",
            flush=True,
        )
    finally:
        peer.stdin.write(b"\n")
        await peer.wait()
        await listener.stop()
        context.destroy(linger=0)


class FrameCounter:
    """Counts the bytes of the frames that this process encodes.

    Attributes:
        total: The bytes so far.
    """

    def __init__(self) -> None:
        self.total = 0
        self._encode = codec.encode

    def encode(self, envelope: messages.Envelope) -> bytes:
        """Returns a frame's bytes, and counts them."""
        data = self._encode(envelope)
        self.total += len(data)
        return data


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--join", type=int, default=0)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--teams", type=int, default=0)
    parser.add_argument("--role", default=messages.Role.ENTRY.value)
    parsed = parser.parse_args(arguments)
    if parsed.join:
        asyncio.run(join(parsed.port, parsed.join, parsed.teams, parsed.role))
        return 0
    for role in (messages.Role.ENTRY, messages.Role.AGENT):
        for count in HERD_SIZES:
            asyncio.run(measure_herd(count, TEAM_SIZES[-1], role))
        for teams in TEAM_SIZES[:-1]:
            asyncio.run(measure_herd(HERD_SIZES[-1], teams, role))
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    del settings
    main([])


__all__ = ["main", "run"]

if __name__ == "__main__":
    sys.exit(main())
