"""Shows a fleet of plain processes serving both users through two kills."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from bench import fleet
from bench import judged
from bench import stats
from bench.traces import calls
from bench.traces import mavazi
from bench.traces import tahanan

if TYPE_CHECKING:
    from bench import checker
    from bench.load import driver

MODEL = "drafting"
SERVICE = "portal"
KILLED_ENGINE = "engine-2"
KILLED_ENTRY = "entry-1"
RATE_PER_S = 12.0
TEAMS = 8
PROGRESS_CALLS = 50


@dataclasses.dataclass
class Progress:
    """Prints how far the calls have come.

    Attributes:
        total: The number of calls.
        done: How many are complete.
        start_s: When the first one was sent.
    """

    total: int
    done: int = 0
    start_s: float = dataclasses.field(default_factory=time.monotonic)

    def record(self, record: driver.CallRecord) -> None:
        """Counts a call that is complete."""
        self.done += 1
        if self.done % PROGRESS_CALLS == 0 or self.done == self.total:
            self.say(f"{self.done} of {self.total} calls answered")

    def say(self, text: str) -> None:
        """Prints one line with the time since the start."""
        since_s = time.monotonic() - self.start_s
        print(f"[{since_s:5.1f} s] {text}", flush=True)


def settings_of(seed: int, duration_ms: float) -> calls.TraceSettings:
    """Returns what each user's trace is drawn from."""
    return calls.TraceSettings(
        seed=seed,
        duration_ms=duration_ms,
        rate_per_s=RATE_PER_S,
        teams=TEAMS,
        model=MODEL,
        service=SERVICE,
    )


def plan_of(settings: calls.TraceSettings) -> fleet.FleetPlan:
    """Returns the fleet that serves both users."""
    teams = mavazi.team_names(settings) + tahanan.team_names(settings)
    return fleet.FleetPlan(
        services={SERVICE: 3},
        teams=tuple(teams),
        model=MODEL,
        kv_store=True,
        weight_store=True,
    )


def faults_of(
    running: fleet.Fleet,
    recorder: judged.Recorder,
    duration_ms: float,
) -> list[judged.Fault]:
    """Returns the kills of the demo and the restarts that follow them."""

    def kill_engine() -> None:
        recorder.keep(KILLED_ENGINE)
        running.group.process_by_name[KILLED_ENGINE].kill()

    return [
        judged.Fault(0.3 * duration_ms, f"killed {KILLED_ENGINE}", kill_engine),
        judged.Fault(
            0.5 * duration_ms,
            f"killed {KILLED_ENTRY}",
            running.group.process_by_name[KILLED_ENTRY].kill,
        ),
        judged.Fault(
            0.6 * duration_ms,
            f"started {KILLED_ENTRY} again",
            running.group.process_by_name[KILLED_ENTRY].start,
        ),
        judged.Fault(
            0.7 * duration_ms,
            f"started {KILLED_ENGINE} again, empty",
            lambda: running.start_engine(KILLED_ENGINE),
        ),
    ]


def print_table(
    name: str,
    trace: list[calls.Call],
    records: list[driver.CallRecord],
    runs: list[checker.TargetRun],
) -> None:
    """Prints one user's figures."""
    own_ids = {call.call_id for call in trace}
    own = [record for record in records if record.call.call_id in own_ids]
    cache = stats.cache_figures(trace, runs)
    summary = stats.summarize(own)
    first = [
        stats.percentile(summary.first_token_ms, share)
        for share in (0.5, 0.95, 0.99)
    ]
    print(
        f"{name:8s} {summary.calls:6d} {summary.on_time:8d}"
        f" {cache.hit_rate:9.3f} {cache.recomputed_share:11.3f}"
        f" {first[0]:9.0f} {first[1]:9.0f} {first[2]:9.0f}"
    )


def run(seed: int, duration_ms: float) -> bool:
    """Runs the demo.

    Returns:
        Whether no call was lost, doubled or misattributed.
    """
    settings = settings_of(seed, duration_ms)
    trace_by_user = {
        "mavazi": mavazi.trace(settings),
        "tahanan": tahanan.trace(settings),
    }
    merged = sorted(
        (call for trace in trace_by_user.values() for call in trace),
        key=lambda call: call.at_ms,
    )
    with tempfile.TemporaryDirectory(prefix="lycheering-demo-") as folder:
        running = fleet.Fleet(plan_of(settings), pathlib.Path(folder))
        try:
            print("starting the fleet", flush=True)
            running.start()
            count = len(running.group.process_by_name)
            print(f"{count} processes serve", flush=True)
            progress = Progress(len(merged))
            recorder = judged.Recorder(running)
            records = asyncio.run(
                judged.drive(
                    running,
                    merged,
                    faults_of(running, recorder, duration_ms),
                    progress.record,
                    progress.say,
                )
            )
            result = judged.judge(running, records, recorder)
        finally:
            running.close()
    print(
        f"{'user':8s} {'calls':>6s} {'on time':>8s} {'hit rate':>9s}"
        f" {'recomputed':>11s} {'ttft p50':>9s} {'p95':>9s} {'p99 ms':>9s}"
    )
    for name, trace in trace_by_user.items():
        print_table(name, trace, result.records, result.runs)
    for finding in result.verdict.findings:
        print(f"{finding.fault}: {finding.call_id}: {finding.detail}")
    print(f"refused={result.verdict.refused}")
    print(f"demo: {result.verdict.line()}")
    return result.verdict.is_clean


def main() -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-ms", type=float, default=20_000)
    parsed = parser.parse_args()
    return 0 if run(parsed.seed, parsed.duration_ms) else 1


__all__ = ["main", "run"]

if __name__ == "__main__":
    sys.exit(main())
