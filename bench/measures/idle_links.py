"""What idle connections to agents cost an entry and the agents."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from typing import TYPE_CHECKING

from bench.measures import capacity
from lycheering import clock
from lycheering.fleet import view_holder
from lycheering.settings import model
from lycheering.telemetry import counters
from lycheering.wire import api
from lycheering.wire import byte_budget
from lycheering.wire import client
from lycheering.wire import messages
from lycheering.wire import server
from lycheering.wire import sockets

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.measures import api as measures_api

SIZES = (300, 600, 900)
TARGETS = 940
WATCH_S = 10.0
READY_MS = 20_000


def link_of(role: messages.Role) -> api.Link:
    """Returns what the connections of one process share."""
    return api.Link(
        sockets.new_context(),
        api.Identity("peer", role, "domain-a"),
        model.WireSettings(),
        clock.Clock(),
        view_holder.ViewHolder(),
        counters.Counters(),
    )


async def hold(port: int, count: int) -> None:
    """Keeps connections open until its standard input ends."""
    link = link_of(messages.Role.ENTRY)
    budget = byte_budget.ByteBudget(link.settings, link.clock)
    budget.target_count = TARGETS
    budget.connection_count = count
    before = capacity.resident_bytes()
    address = api.Address("agent", capacity.HOST, port)
    connections = [
        client.Connection(address, link, budget) for _ in range(count)
    ]
    for connection in connections:
        connection.start()
    await asyncio.gather(*(c.wait_ready(READY_MS) for c in connections))
    held = capacity.resident_bytes() - before
    print(f"{held / capacity.KIB / count:.1f}", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    print(link.counters.value_by_name["wire.replaced"], flush=True)
    await asyncio.gather(*(c.close() for c in connections))
    link.context.destroy(linger=0)


async def measure(count: int) -> None:
    """Prints what idle connections cost at both ends."""
    link = link_of(messages.Role.AGENT)
    listener = server.Server(link, capacity.HOST, capacity.Answering())
    await listener.start()
    before = capacity.resident_bytes()
    peer = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.measures.idle_links",
        f"--hold={count}",
        f"--port={listener.port}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert peer.stdin is not None
    assert peer.stdout is not None
    try:
        client_kib = float(await peer.stdout.readline())
        session_kib = (
            (capacity.resident_bytes() - before) / capacity.KIB / count
        )
        client_s = capacity.cpu_seconds(peer.pid)
        server_s = time.process_time()
        await asyncio.sleep(WATCH_S)
        client_s = capacity.cpu_seconds(peer.pid) - client_s
        server_s = time.process_time() - server_s
        sessions = len(listener.session_by_routing_id)
        peer.stdin.write(b"\n")
        replaced = int(await peer.stdout.readline())
        print(
            f"connections={count} sessions={sessions} replaced={replaced}"
            f" entry_kib_each={client_kib}"
            f" entry_core_share={client_s / WATCH_S:.4f}"
            f" session_kib_each={session_kib:.1f}"
            f" agent_core_share={server_s / WATCH_S:.4f}",
            flush=True,
        )
    finally:
        await peer.wait()
        await listener.stop()
        link.context.destroy(linger=0)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hold", type=int, default=0)
    parser.add_argument("--port", type=int, default=0)
    parsed = parser.parse_args(arguments)
    if parsed.hold:
        asyncio.run(hold(parsed.port, parsed.hold))
        return 0
    for count in SIZES:
        asyncio.run(measure(count))
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    del settings
    main([])


__all__ = ["main", "run"]

if __name__ == "__main__":
    main()
