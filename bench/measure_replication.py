"""Measures a group of three members with real syncs in one process."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time

from lycheering.replication import settings
from tests.replication import fakes

NAMES = ["a", "b", "c"]
PROPOSER_COUNTS = (1, 16, 64)
COMMAND = b"x" * 300
DURATION_S = 2.0
TIMEOUT_MS = 10_000
CHANGES = 10_000
MS_PER_S = 1_000


async def measure_pairs(group: fakes.Group, proposers: int) -> str:
    """Returns the rate of two proposals made one after the other."""
    member = group.log_by_instance[await group.leader()]
    end = time.monotonic() + DURATION_S
    pairs = 0

    async def work() -> None:
        nonlocal pairs
        while time.monotonic() < end:
            await member.propose(COMMAND, TIMEOUT_MS)
            await member.propose(COMMAND, TIMEOUT_MS)
            pairs += 1

    await asyncio.gather(*[work() for _ in range(proposers)])
    rate = pairs / DURATION_S
    return f"measure=replicated_pairs proposers={proposers} per_s={rate:.0f}"


async def measure_failover(group: fakes.Group) -> str:
    """Returns how long writes stop when the leader is stopped."""
    leader = await group.leader()
    started = time.monotonic()
    await group.stop(leader)
    await group.propose(COMMAND)
    waited_ms = (time.monotonic() - started) * MS_PER_S
    return f"measure=leader_stopped writes_again_ms={waited_ms:.0f}"


async def measure_replacement(group: fakes.Group, lost: str) -> str:
    """Returns how long a replacement by an empty disk takes."""
    leader = group.log_by_instance[await group.leader()]
    old = next(m.id for m in leader.status().members if m.id.instance == lost)
    group.start("new")
    started = time.monotonic()
    report = await leader.replace(old, fakes.address("new"))
    waited_ms = (time.monotonic() - started) * MS_PER_S
    return (
        f"measure=replacement entries={report.synced_index}"
        f" finished_ms={waited_ms:.0f}"
    )


async def measure_restart(group: fakes.Group) -> str:
    """Returns how long a restart with a snapshot takes to catch up."""
    leader = await group.leader()
    name = next(n for n in group.log_by_instance if n != leader)
    target = group.log_by_instance[leader].status().commit_index
    await group.stop(name)
    started = time.monotonic()
    member = group.start(name)
    await fakes.wait_for(
        lambda: member.status().applied_index >= target, "the restart"
    )
    waited_ms = (time.monotonic() - started) * MS_PER_S
    return f"measure=restart index={target} caught_up_ms={waited_ms:.0f}"


async def run(folder: pathlib.Path) -> None:
    """Runs all measurements and prints a line for each."""
    for proposers in PROPOSER_COUNTS:
        group = start_group(folder / f"pairs-{proposers}")
        print(await measure_pairs(group, proposers), flush=True)
        await group.stop_all()
    group = start_group(folder / "recovery")
    await group.fill(CHANGES)
    print(await measure_restart(group), flush=True)
    lost = await group.leader()
    print(await measure_failover(group), flush=True)
    print(await measure_replacement(group, lost), flush=True)
    await group.stop_all()


def start_group(folder: pathlib.Path) -> fakes.Group:
    """Returns a new group with the settings of the product."""
    group = fakes.Group(folder, NAMES, settings.ReplicationSettings())
    for name in NAMES:
        group.start(name)
    return group


def main() -> None:
    """Measures in a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(run(pathlib.Path(name)))


if __name__ == "__main__":
    main()
