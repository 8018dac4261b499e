"""How much work failures add, and what callers see of them."""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import sys
import tempfile
from typing import TYPE_CHECKING

from bench import checker
from bench import fleet
from bench import json_calls
from bench import judged
from bench import stats
from bench.traces import calls
from bench.traces import tahanan

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.load import driver
    from bench.measures import api as measures_api

MODEL = "letters"
ENGINES = 6
RATE_PER_S = 40.0
FAULT_SHARE = 0.4
FREEZE_MS = 5_000
FAULTS = ("none", "engines", "instances", "frozen")
KILLED = ("engine-1", "engine-4")


def trace(seed: int, duration_ms: float) -> list[calls.Call]:
    """Returns letters, checks and matches that may run again.

    The users' calls are deterministic: they are sent with temperature 0.
    """
    settings = calls.TraceSettings(seed, duration_ms, RATE_PER_S, model=MODEL)
    return [
        dataclasses.replace(call, is_deterministic=True)
        for call in tahanan.trace(settings)
        if call.is_repeatable
    ]


def plan() -> fleet.FleetPlan:
    """Returns six engines behind two entries."""
    settings = calls.TraceSettings()
    return fleet.FleetPlan(
        engines=ENGINES,
        teams=tuple(tahanan.team_names(settings)),
        model=MODEL,
        engine=fleet.EnginePlan(prefill_ms_per_piece=10.0, token_ms=5.0),
    )


class Injector:
    """Does a fault to a third of the targets, or to one agent."""

    def __init__(
        self, running: fleet.Fleet, recorder: judged.Recorder, fault: str
    ) -> None:
        self._running = running
        self._recorder = recorder
        self._fault = fault

    def faults(self, duration_ms: float) -> list[judged.Fault]:
        """Returns what is done, and when."""
        at_ms = duration_ms * FAULT_SHARE
        if self._fault == "none":
            return []
        if self._fault == "frozen":
            agent = self._running.group.process_by_name["agent-engine-1"]
            end_ms = at_ms + FREEZE_MS
            return [
                judged.Fault(at_ms, "agent frozen", agent.pause),
                judged.Fault(end_ms, "agent goes on", agent.resume),
            ]
        return [judged.Fault(at_ms, f"{self._fault} killed", self._kill)]

    def _kill(self) -> None:
        for name in KILLED:
            self._recorder.keep(name)
            self._running.group.process_by_name[name].kill()
            if self._fault == "instances":
                agent = self._running.group.process_by_name[f"agent-{name}"]
                agent.kill()


def entry_counters(running: fleet.Fleet) -> collections.Counter[str]:
    """Returns the counters of all entries, added up."""
    total: collections.Counter[str] = collections.Counter()
    for url in running.entry_urls:
        reply = json_calls.call_json(f"{url}/v1/counters")
        assert isinstance(reply, dict)
        total.update(reply["counters"])
    return total


def report(
    seed: int,
    fault: str,
    records: Sequence[driver.CallRecord],
    runs: Sequence[checker.TargetRun],
    count: collections.Counter[str],
) -> float:
    """Prints one run's figures and returns the amplification."""
    requests = len(records)
    retries = sum(n for name, n in count.items() if name.startswith("retry."))
    ids = {record.call.call_id for record in records}
    ran = sum(
        run.has_run and checker.call_id_of(run.request_id) in ids
        for run in runs
    )
    first = [r.first_token_ms for r in records if r.looks_whole]
    sends = sum(len(record.attempts) for record in records)
    amplification = (sends + retries) / requests
    by_reason = {
        name: value
        for name, value in sorted(count.items())
        if name.startswith(("retry", "resume"))
    }
    failed = collections.Counter(
        record.error.reason if record.error else "no answer"
        for record in records
        if not record.looks_whole
    )
    print(
        f"retries seed={seed} fault={fault} requests={requests}"
        f" sends={sends} retries={retries} runs={ran}"
        f" amplification={amplification:.3f}"
        f" run_amplification={ran / requests:.3f}"
        f" whole={len(first)} failed={dict(failed)}"
        f" ttft_p95_ms={stats.percentile(first, 0.95):.0f}"
        f" ttft_max_ms={max(first):.0f} {by_reason}",
        flush=True,
    )
    return amplification


def run_one(seed: int, fault: str, duration_ms: float) -> float:
    """Runs one trace with one fault and returns the amplification."""
    drawn = trace(seed, duration_ms)
    with tempfile.TemporaryDirectory(prefix="lycheering-retries-") as folder:
        running = fleet.Fleet(plan(), pathlib.Path(folder))
        try:
            running.start()
            recorder = judged.Recorder(running)
            injector = Injector(running, recorder, fault)
            records = asyncio.run(
                judged.drive(running, drawn, injector.faults(duration_ms))
            )
            result = judged.judge(running, records, recorder)
            count = entry_counters(running)
            amplification = report(seed, fault, records, result.runs, count)
            print(f"retries seed={seed} fault={fault} {result.verdict.line()}")
            return amplification
        finally:
            running.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=FAULTS)
    parser.add_argument("--duration-ms", type=float, default=10_000)
    parsed = parser.parse_args(arguments)
    for fault in parsed.faults:
        found = [run_one(s, fault, parsed.duration_ms) for s in parsed.seeds]
        median = stats.percentile(found, 0.5)
        print(f"retries fault={fault} amplification median={median:.3f}")
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    main(["--seeds", *map(str, settings.seeds)])


__all__ = ["main", "run"]

if __name__ == "__main__":
    sys.exit(main())
