"""What the product adds to a request, and what it holds in memory."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time
from typing import TYPE_CHECKING
import urllib.parse

from bench import fleet
from bench import stats
from bench.load import client
from bench.load import driver
from bench.traces import calls

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

TEAM = "team-1"
MODEL = "drafting"
ENGINES = 3
RATE_PER_S = 150.0
TOKENS = 14
SLOTS = 64
PREFIXES = 20
DEADLINE_MS = 10_000
MIB = 1_048_576
SMALL_WORKERS = 24
RESTART_TIMEOUT_S = 10.0
RESTART_POLL_S = 0.005


def trace(
    seed: int, duration_ms: float, rate_per_s: float = RATE_PER_S
) -> list[calls.Call]:
    """Returns short streamed completions with seeded arrivals."""
    rng = random.Random(seed)
    settings = calls.TraceSettings(seed, duration_ms, rate_per_s)
    drawn = []
    for number, at_ms in enumerate(calls.arrivals(settings, rng)):
        level = calls.Level(f"prefix-{rng.randrange(PREFIXES)}", 1)
        drawn.append(
            calls.Call(
                f"overhead-{seed}-{time.time_ns()}-{number}",
                at_ms,
                TEAM,
                "tag_query",
                DEADLINE_MS,
                MODEL,
                (level,),
                f"question {number}",
                max_tokens=TOKENS,
            )
        )
    return drawn


def plan() -> fleet.FleetPlan:
    """Returns a fleet of one entry and engines without prefill cost.

    Calls go round the engines and are limited as little as direct ones, so
    that only the way there differs.
    """
    return fleet.FleetPlan(
        controls=1,
        entries=1,
        engines=ENGINES,
        teams=(TEAM,),
        model=MODEL,
        engine=fleet.EnginePlan(
            slots=SLOTS, prefill_ms_per_piece=0.0, token_ms=5.0
        ),
        value_by_default={
            "routing.policy": "round_robin",
            "limits.max_running": SLOTS,
        },
    )


def addresses(urls: Iterable[str]) -> list[client.Address]:
    """Returns where URLs lead to."""
    parsed = [urllib.parse.urlsplit(url) for url in urls]
    return [client.Address(str(p.hostname), int(p.port or 0)) for p in parsed]


@dataclasses.dataclass(frozen=True)
class Figures:
    """First tokens of one phase.

    Attributes:
        p50_ms: Median time to the first token.
        p95_ms: That of 95 in 100.
        p99_ms: That of 99 in 100.
        chunks_per_s: Chunks read a second.
        failed: Calls not answered whole.
    """

    p50_ms: float
    p95_ms: float
    p99_ms: float
    chunks_per_s: float
    failed: int

    def line(self) -> str:
        """Returns the figures in one line."""
        return (
            f"p50_ms={self.p50_ms:.1f} p95_ms={self.p95_ms:.1f}"
            f" p99_ms={self.p99_ms:.1f} chunks_per_s={self.chunks_per_s:.0f}"
            f" failed={self.failed}"
        )


def phase(
    where: Sequence[client.Address],
    key_by_team: dict[str, str],
    seed: int,
    duration_ms: float,
) -> Figures:
    """Runs one phase and returns its figures."""
    callers = driver.Driver(where, key_by_team)
    records = asyncio.run(callers.run(trace(seed, duration_ms)))
    whole = [record for record in records if record.looks_whole]
    first = [record.first_token_ms for record in whole]
    chunks = sum(len(record.gaps_ms) + 1 for record in whole)
    return Figures(
        stats.percentile(first, 0.5),
        stats.percentile(first, 0.95),
        stats.percentile(first, 0.99),
        chunks / duration_ms * 1_000,
        len(records) - len(whole),
    )


def engine_urls(running: fleet.Fleet) -> list[str]:
    """Returns where the engines listen."""
    return [
        url
        for name, url in running.url_by_target.items()
        if name.startswith("engine-")
    ]


def measure_latency(
    running: fleet.Fleet, seeds: Sequence[int], duration_ms: float
) -> float:
    """Compares direct calls with those through the product, in turn.

    Returns:
        The median over the seeds of what is added at p95.
    """
    direct = addresses(engine_urls(running))
    entries = addresses(running.entry_urls)
    keys = running.key_by_team
    phase(entries, keys, 0, 2_000)
    phase(direct, keys, 0, 2_000)
    added = []
    for seed in seeds:
        plain = phase(direct, keys, seed, duration_ms)
        before = cpu_by_role(running)
        routed = phase(entries, keys, seed, duration_ms)
        after = cpu_by_role(running)
        added.append(routed.p95_ms - plain.p95_ms)
        print(f"overhead seed={seed} direct {plain.line()}")
        print(f"overhead seed={seed} routed {routed.line()}")
        cpu = " ".join(
            f"{role}_cpu_share={(after[role] - spent) / duration_ms * 1e3:.3f}"
            for role, spent in before.items()
        )
        print(f"overhead seed={seed} added_p95_ms={added[-1]:.1f} {cpu}")
    return stats.percentile(added, 0.5)


def cpu_by_role(running: fleet.Fleet) -> dict[str, float]:
    """Returns the processor seconds used by the entry and one agent."""
    named = running.group.process_by_name
    return {
        "entry": named["entry-0"].cpu_seconds(),
        "agents": sum(
            process.cpu_seconds()
            for name, process in named.items()
            if name.startswith("agent-")
        ),
        "control": named["control-0"].cpu_seconds(),
    }


async def _send_small(
    where: client.Address, key: str, numbers: Iterable[int]
) -> int:
    """Sends small requests one after another and returns the failed."""
    http = client.Client()
    failed = 0
    for number in numbers:
        headers = {
            "Host": f"{where.host}:{where.port}",
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            "X-Priority-Class": "tag_query",
        }
        body = b'{"model":"%b","prompt":"word %d","max_tokens":1}' % (
            MODEL.encode(),
            number,
        )
        request = client.encode_request(
            "POST", "/v1/completions", headers, body
        )
        response = client.Response(lambda data: None)
        try:
            await http.exchange(where, request, response)
        except OSError:
            failed += 1
            continue
        failed += response.status != 200
    await http.close()
    return failed


async def _send_many(where: client.Address, key: str, count: int) -> int:
    """Sends small requests side by side and returns the failed."""
    numbers = iter(range(count))
    failed = await asyncio.gather(
        *(_send_small(where, key, numbers) for _ in range(SMALL_WORKERS))
    )
    return sum(failed)


def measure_memory(running: fleet.Fleet, requests: int) -> dict[str, float]:
    """Sends many small requests and returns the memory held, by process."""
    where = addresses(running.entry_urls)[0]
    key = running.key_by_team[TEAM]
    step = max(1, requests // 4)
    held: dict[str, float] = {}
    for sent in range(0, requests, step):
        failed = asyncio.run(_send_many(where, key, step))
        held = {
            name: process.resident_bytes() / MIB
            for name, process in running.group.process_by_name.items()
            if name.startswith(("entry-", "agent-", "control-"))
        }
        text = " ".join(f"{name}={mib:.1f}" for name, mib in held.items())
        print(f"memory requests={sent + step} failed={failed} MiB {text}")
    return held


def measure_restart(running: fleet.Fleet, seed: int) -> float:
    """Kills the entry under load, starts it and returns the time to answer.

    Returns:
        Milliseconds from the start of the process to its first answer.
    """
    entry = running.group.process_by_name["entry-0"]
    where = addresses(running.entry_urls)[0]
    took_ms: list[float] = []

    def restart() -> None:
        entry.kill()
        start_s = time.monotonic()
        entry.start()
        end_s = start_s + RESTART_TIMEOUT_S
        key = running.key_by_team[TEAM]
        while time.monotonic() < end_s:
            if not asyncio.run(_send_small(where, key, [0])):
                took_ms.append((time.monotonic() - start_s) * 1_000)
                return
            time.sleep(RESTART_POLL_S)
        took_ms.append(RESTART_TIMEOUT_S * 1_000)

    async def run() -> None:
        callers = driver.Driver([where], running.key_by_team)
        load = asyncio.create_task(callers.run(trace(seed, 4_000)))
        await asyncio.sleep(1.5)
        await asyncio.to_thread(restart)
        await load

    asyncio.run(run())
    return took_ms[0]


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--duration-ms", type=float, default=10_000)
    parser.add_argument("--requests", type=int, default=100_000)
    parsed = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="lycheering-overhead-") as folder:
        running = fleet.Fleet(plan(), pathlib.Path(folder))
        try:
            running.start()
            added_ms = measure_latency(
                running, parsed.seeds, parsed.duration_ms
            )
            print(f"overhead added_p95_ms median={added_ms:.1f} bound=5.0")
            for seed in parsed.seeds:
                took_ms = measure_restart(running, seed)
                print(f"restart seed={seed} first_answer_ms={took_ms:.0f}")
            if parsed.requests:
                measure_memory(running, parsed.requests)
        finally:
            running.close()
    return 0


__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
