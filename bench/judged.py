"""Drives traces through a fleet and judges what came of them."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
import urllib.parse

from bench import checker
from bench.load import client
from bench.load import driver

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from bench import fleet
    from bench.traces import calls


def shared_salts(model: str) -> frozenset[str]:
    """Returns the cache salts that all teams of a model share."""
    return frozenset({f"shared:{model}"})


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something done to the fleet while calls run.

    Attributes:
        at_ms: When, from the start of the trace.
        name: What it is called in the progress lines.
        act: Does it.
    """

    at_ms: float
    name: str
    act: Callable[[], None]


@dataclasses.dataclass
class Judged:
    """A run and its judgement.

    Attributes:
        records: What the callers saw.
        runs: What the targets recorded, those killed before excepted.
        verdict: The judgement.
    """

    records: list[driver.CallRecord]
    runs: list[checker.TargetRun]
    verdict: checker.Verdict


class Recorder:
    """Keeps the record of targets that are about to be killed.

    Attributes:
        runs: The runs kept so far.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.runs: list[checker.TargetRun] = []
        self._fleet = running

    def keep(self, target: str) -> None:
        """Copies the record of one target."""
        self.runs += checker.fetch_runs([self._fleet.url_by_target[target]])

    def all_runs(self) -> list[checker.TargetRun]:
        """Returns the kept runs and those of every target that answers."""
        live = [
            url
            for name, url in self._fleet.url_by_target.items()
            if self._fleet.group.process_by_name[name].running
        ]
        return self.runs + checker.fetch_runs(live)


async def _act(
    faults: Sequence[Fault], on_fault: Callable[[str], None]
) -> None:
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for fault in sorted(faults, key=lambda fault: fault.at_ms):
        await asyncio.sleep(start_s + fault.at_ms / 1_000 - loop.time())
        await asyncio.to_thread(fault.act)
        on_fault(fault.name)


async def drive(
    running: fleet.Fleet,
    trace: Sequence[calls.Call],
    faults: Sequence[Fault] = (),
    on_record: Callable[[driver.CallRecord], None] | None = None,
    on_fault: Callable[[str], None] = lambda name: None,
) -> list[driver.CallRecord]:
    """Sends a trace to the fleet's entries while faults happen.

    Args:
        running: The fleet.
        trace: The calls in order of time.
        faults: What is done to the fleet meanwhile.
        on_record: Called with each record once it is complete.
        on_fault: Called with the name of each fault once it is done.

    Returns:
        What the callers saw.
    """
    entries = []
    for url in running.entry_urls:
        parts = urllib.parse.urlsplit(url)
        entries.append(
            client.Address(str(parts.hostname), int(parts.port or 0))
        )
    callers = driver.Driver(entries, running.key_by_team)
    acting = asyncio.create_task(_act(faults, on_fault))
    try:
        return await callers.run(trace, on_record)
    finally:
        await acting


def judge(
    running: fleet.Fleet,
    records: list[driver.CallRecord],
    recorder: Recorder,
) -> Judged:
    """Judges a run that has ended."""
    runs = recorder.all_runs()
    salts = shared_salts(running.plan.model)
    return Judged(records, runs, checker.check(records, runs, salts))


__all__ = ["Fault", "Judged", "Recorder", "drive", "judge", "shared_salts"]
