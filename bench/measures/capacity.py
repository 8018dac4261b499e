"""Slopes of state, messages, processor time and memory, in one process."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import gc
import os
import pathlib
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import msgspec
import zmq.asyncio

from bench import fleet
from bench.load import driver
from bench.measures import overhead
from lycheering import clock
from lycheering.cache import api as cache_api
from lycheering.cache import block_index
from lycheering.cache import eviction_age
from lycheering.fleet import changes
from lycheering.fleet import records
from lycheering.fleet import view
from lycheering.fleet import view_holder
from lycheering.fleet import view_parts
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

HOST = "127.0.0.1"
BLOCK_SIZES = (5_000, 10_000, 22_000)
TEAM_SIZES = (1_000, 5_000, 17_000)
SESSION_SIZES = (100, 200, 400)
HEARTBEAT_MS = 500
CONTROL_HEARTBEAT_MS = 4_000
WATCH_S = 8.0
KIB = 1_024
# requests a second, tokens of each
LOADS = ((50, 14), (100, 14), (150, 14), (50, 4), (50, 40))
CHANGES = 1_000


def resident_bytes() -> int:
    """Returns the memory that this process holds."""
    gc.collect()
    text = pathlib.Path("/proc/self/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def block_key(number: int) -> str:
    """Returns the hex key of a block."""
    return f"{number:032x}"


def measure_blocks(blocks: int) -> None:
    """Prints the cost of an agent's index and of its events."""
    index = block_index.BlockIndex(eviction_age.EvictionAge(clock.Clock()))
    before = resident_bytes()
    index.restore(
        cache_api.BlockListing(
            incarnation="i", weights_version="w", seq=0, blocks=()
        )
    )
    lines = [
        msgspec.json.encode(
            cache_api.CacheEvent(
                seq=number + 1,
                kind=cache_api.EventKind.STORED,
                block=block_key(number),
                incarnation="i",
                weights_version="w",
            )
        )
        for number in range(blocks)
    ]
    middle = resident_bytes()
    decoder = msgspec.json.Decoder(cache_api.CacheEvent)
    start_s = time.process_time()
    for line in lines:
        assert index.apply(decoder.decode(line))
    spent_s = time.process_time() - start_s
    held = resident_bytes() - middle
    assert len(index) == blocks
    del lines
    print(
        f"blocks={blocks} bytes_per_block={held / blocks:.0f}"
        f" us_per_event={spent_s / blocks * 1e6:.2f}"
        f" before_mib={before / KIB / KIB:.0f}"
    )


def team_change(number: int, key: int = 0) -> changes.TeamPut:
    """Returns the change that adds one team with one key."""
    digest = view.key_digest(f"key-{number}-{key}")
    return changes.TeamPut(records.Team(f"team-{number}", (digest,)))


def measure_teams(teams: int) -> None:
    """Prints the cost of the fleet view, its frame and its changes."""
    before = resident_bytes()
    made = view.FleetView()
    for number in range(teams):
        made.add_change(team_change(number), by_operator=True)
    held = resident_bytes() - before
    start_s = time.process_time()
    encoded = view_parts.encode(made, with_teams=True)
    frame = b"".join(encoded.pieces)
    encode_ms = (time.process_time() - start_s) * 1e3
    without = sum(map(len, view_parts.encode(made, with_teams=False).pieces))
    start_s = time.process_time()
    msgspec.msgpack.decode(frame, type=view.ViewSnapshot)
    decode_ms = (time.process_time() - start_s) * 1e3
    start_s = time.process_time()
    other = view.FleetView()
    other.restore(made.snapshot())
    restore_ms = (time.process_time() - start_s) * 1e3
    start_s = time.process_time()
    for number in range(CHANGES):
        made.add_change(team_change(number, 1), by_operator=True)
    change_us = (time.process_time() - start_s) / CHANGES * 1e6
    last = made.changes_since(made.view_revision - 1)
    update = messages.ViewUpdate(numbered=tuple(last or ()))
    one = len(codec.encode(frame_of(update)))
    print(
        f"teams={teams} view_bytes_per_team={held / teams:.0f}"
        f" whole_bytes={len(frame)} parts={len(encoded.pieces)}"
        f" whole_bytes_per_team={len(frame) / teams:.0f}"
        f" whole_bytes_without_teams={without}"
        f" encode_ms={encode_ms:.1f} decode_ms={decode_ms:.1f}"
        f" restore_ms={restore_ms:.1f} us_per_change={change_us:.0f}"
        f" change_frame_bytes={one}"
    )


def frame_of(message: messages.Message) -> messages.Envelope:
    """Returns a frame around a message."""
    return messages.Envelope(
        messages.PROTOCOL_VERSION,
        "control-0",
        "i" * 16,
        "i" * 16,
        1,
        0,
        0.0,
        message,
    )


class Answering(api.SessionHandler):
    """Answers calls and ignores what else comes."""

    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Answers one frame."""
        if envelope.call_id:
            session.send(messages.Done(), envelope.call_id)

    async def closed(self, session: server.Session) -> None:
        """Needs nothing."""


class End:
    """One end of connections, in a process of its own or not."""

    def __init__(self, name: str, control_heartbeat_ms: int) -> None:
        self.context = zmq.asyncio.Context()
        self.view = view_holder.ViewHolder()
        self.link = api.Link(
            self.context,
            api.Identity(name, messages.Role.CONTROL, "domain-a"),
            model.WireSettings(
                heartbeat_ms=HEARTBEAT_MS,
                control_heartbeat_ms=control_heartbeat_ms,
            ),
            clock.Clock(),
            self.view,
            counters.Counters(),
            api.NoSecurity(),
        )


async def hold_sessions(port: int, count: int, paced_ms: int) -> None:
    """Keeps sessions open until its standard input ends."""
    ends = End("peer", paced_ms)
    address = api.Address("control-0", HOST, port, is_control=True)
    connections = [client.Connection(address, ends.link) for _ in range(count)]
    for connection in connections:
        connection.start()
    await asyncio.gather(*(c.wait_ready(20_000) for c in connections))
    print("ready", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    await asyncio.gather(*(c.close() for c in connections))
    ends.context.destroy(linger=0)


async def measure_sessions(count: int, paced_ms: int) -> None:
    """Prints what idle sessions and changes cost a control instance."""
    ends = End("control-0", paced_ms)
    listener = server.Server(ends.link, HOST, Answering())
    await listener.start()
    before = resident_bytes()
    start_s = time.monotonic()
    peer = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.measures.capacity",
        "--hold",
        str(count),
        "--port",
        str(listener.port),
        "--paced-ms",
        str(paced_ms),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert peer.stdin is not None
    assert peer.stdout is not None
    try:
        await peer.stdout.readline()
        joined_s = time.monotonic() - start_s
        held = resident_bytes() - before
        cpu_s = time.process_time()
        peer_cpu_s = cpu_seconds(peer.pid)
        await asyncio.sleep(WATCH_S)
        idle = (time.process_time() - cpu_s) / WATCH_S
        peer_idle = (cpu_seconds(peer.pid) - peer_cpu_s) / WATCH_S
        cpu_s = time.process_time()
        for number in range(20):
            ends.view.fleet.add_change(team_change(number, 2), by_operator=True)
            listener.push_view()
            await asyncio.sleep(0.05)
        change_s = time.process_time() - cpu_s - idle * 20 * 0.05
        print(
            f"sessions={count} heartbeat_ms={paced_ms} joined_s={joined_s:.1f}"
            f" kib_per_session={held / KIB / count:.1f}"
            f" idle_core_share={idle:.3f}"
            f" idle_us_per_heartbeat={idle / count * paced_ms * 1e3:.0f}"
            f" peer_core_share={peer_idle:.3f}"
            f" us_per_session_and_change={change_s / 20 / count * 1e6:.0f}",
            flush=True,
        )
    finally:
        peer.stdin.write(b"\n")
        await peer.wait()
        await listener.stop()
        ends.context.destroy(linger=0)


def measure_load(duration_ms: float) -> None:
    """Prints what requests and chunks cost the entry and the agents."""
    with tempfile.TemporaryDirectory(prefix="lycheering-capacity-") as folder:
        running = fleet.Fleet(overhead.plan(), pathlib.Path(folder))
        try:
            running.start()
            entries = overhead.addresses(running.entry_urls)
            for rate_per_s, tokens in LOADS:
                drawn = [
                    dataclasses.replace(call, max_tokens=tokens)
                    for call in overhead.trace(1, duration_ms, rate_per_s)
                ]
                callers = driver.Driver(entries, running.key_by_team)
                before = overhead.cpu_by_role(running)
                records = asyncio.run(callers.run(drawn))
                after = overhead.cpu_by_role(running)
                whole = sum(record.looks_whole for record in records)
                spent = " ".join(
                    f"{role}_us_per_request="
                    f"{(after[role] - cpu) / len(records) * 1e6:.0f}"
                    for role, cpu in before.items()
                )
                print(
                    f"load rate_per_s={rate_per_s:.0f} tokens={tokens}"
                    f" requests={len(records)} whole={whole} {spent}",
                    flush=True,
                )
        finally:
            running.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hold", type=int, default=0)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--paced-ms", type=int, default=0)
    parser.add_argument("--duration-ms", type=float, default=6_000)
    parsed = parser.parse_args(arguments)
    if parsed.hold:
        asyncio.run(hold_sessions(parsed.port, parsed.hold, parsed.paced_ms))
        return 0
    for blocks in BLOCK_SIZES:
        measure_blocks(blocks)
    for teams in TEAM_SIZES:
        measure_teams(teams)
    for paced_ms in (HEARTBEAT_MS, CONTROL_HEARTBEAT_MS):
        for sessions in SESSION_SIZES:
            asyncio.run(measure_sessions(sessions, paced_ms))
    measure_load(parsed.duration_ms)
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    main([])


__all__ = ["main", "run"]

if __name__ == "__main__":
    sys.exit(main())
