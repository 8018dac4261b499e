"""Fairness among teams, and what overload does to answers on time."""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import sys
import tempfile
import time
from typing import TYPE_CHECKING

from bench import checker
from bench import fleet
from bench import judged
from bench import stats
from bench.load import driver
from bench.measures import overhead
from bench.traces import calls
from lycheering import clock
from lycheering.limits import admission
from lycheering.limits import api as limits_api
from lycheering.limits import cost_model
from lycheering.limits import queue as queues

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.measures import api as measures_api

MODEL = "letters"
ENGINES = 2
ENGINE = fleet.EnginePlan(slots=8, prefill_ms_per_piece=10.0, token_ms=10.0)
TOKENS = 20
# two engines with eight slots each, 200 ms a request and more
CAPACITY_PER_S = 64.0
FAIR_LOAD = 0.4
HEAVY_FACTOR = 10
TEAMS = 8
PREFIX_PIECES = 2
FAIR_DEADLINE_MS = 10_000
OVERLOAD_DEADLINE_MS = 2_000
MIN_TEAM_CALLS = 20
SETTLE_S = 1.0


def team_names() -> list[str]:
    """Returns the names of the teams; the first ones are large."""
    return [f"team-{index + 1}" for index in range(TEAMS)]


def plan() -> fleet.FleetPlan:
    """Returns two engines behind one entry."""
    return fleet.FleetPlan(
        controls=1,
        entries=1,
        engines=ENGINES,
        teams=tuple(team_names()),
        model=MODEL,
        engine=ENGINE,
    )


def one_call(
    call_id: str, at_ms: float, team: str, deadline_ms: int
) -> calls.Call:
    """Returns a check below its team's own prefix."""
    return calls.Call(
        call_id,
        at_ms,
        team,
        "check",
        deadline_ms,
        MODEL,
        (calls.Level(f"{team}/guide", PREFIX_PIECES, team),),
        f"letter {call_id}",
        max_tokens=TOKENS,
        is_deterministic=True,
    )


def trace(
    seed: int, duration_ms: float, rate_per_s: float, deadline_ms: int
) -> list[calls.Call]:
    """Returns the calls of all teams in their usual shares."""
    rng = random.Random(f"limits/{seed}")
    settings = calls.TraceSettings(seed, duration_ms, rate_per_s)
    run = time.time_ns()
    return [
        one_call(
            f"base-{run}-{index}",
            at_ms,
            calls.draw_team(settings, rng, team_names()),
            deadline_ms,
        )
        for index, at_ms in enumerate(calls.arrivals(settings, rng))
    ]


def with_heavy(
    base: Sequence[calls.Call], seed: int, duration_ms: float, team: str
) -> list[calls.Call]:
    """Returns the same calls and those that bring a team to ten times."""
    own = sum(call.team == team for call in base)
    rate_per_s = own * (HEAVY_FACTOR - 1) / duration_ms * 1_000
    settings = calls.TraceSettings(seed, duration_ms, rate_per_s)
    rng = random.Random(f"heavy/{seed}")
    run = time.time_ns()
    more = [
        one_call(f"heavy-{run}-{index}", at_ms, team, FAIR_DEADLINE_MS)
        for index, at_ms in enumerate(calls.arrivals(settings, rng))
    ]
    return sorted([*base, *more], key=lambda call: call.at_ms)


def p95_by_team(
    records: Sequence[driver.CallRecord], heavy: str
) -> dict[str, float]:
    """Returns the p95 to the first token of all other teams and of each."""
    first: dict[str, list[float]] = collections.defaultdict(list)
    for record in records:
        team = record.call.team
        if team != heavy and record.looks_whole:
            first["others"].append(record.first_token_ms)
            first[team].append(record.first_token_ms)
    return {
        team: stats.percentile(values, 0.95)
        for team, values in sorted(first.items())
        if len(values) >= MIN_TEAM_CALLS
    }


def measure_fairness(
    running: fleet.Fleet, seed: int, duration_ms: float, heavy: str
) -> float:
    """Compares one trace with and without a heavy team.

    Returns:
        The other teams' p95 to the first token with it, by that without.
    """
    rate_per_s = CAPACITY_PER_S * FAIR_LOAD
    base = trace(seed, duration_ms, rate_per_s, FAIR_DEADLINE_MS)
    alone = asyncio.run(judged.drive(running, base))
    time.sleep(SETTLE_S)
    # the same calls under other ids
    base = trace(seed, duration_ms, rate_per_s, FAIR_DEADLINE_MS)
    drawn = with_heavy(base, seed, duration_ms, heavy)
    beside = asyncio.run(judged.drive(running, drawn))
    time.sleep(SETTLE_S)
    before = p95_by_team(alone, heavy)
    after = p95_by_team(beside, heavy)
    ratio = stats.ratio(after["others"], before["others"])
    lost = sum(not r.looks_whole for r in beside if r.call.team != heavy)
    heavy_records = [r for r in beside if r.call.team == heavy]
    served = sum(record.looks_whole for record in heavy_records)
    by_team = " ".join(
        f"{team}={before[team]:.0f}/{after[team]:.0f}"
        for team in after
        if team in before
    )
    print(
        f"fairness seed={seed} heavy={heavy} calls={len(alone)}"
        f" heavy_calls={len(heavy_records)} heavy_served={served}"
        f" others_refused={lost} p95_ratio={ratio:.2f} p95_ms {by_team}",
        flush=True,
    )
    return ratio


class ComeBack:
    """Callers that come back once when a refusal told them to.

    Attributes:
        told: Calls that were told when to come back.
        served: Those of them answered whole and on time then.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.told = 0
        self.served = 0
        self._where = overhead.addresses(running.entry_urls)
        self._keys = running.key_by_team
        self._tasks: list[asyncio.Task[None]] = []

    def take(self, record: driver.CallRecord) -> None:
        """Takes one record of the first sending."""
        error = record.error
        if error is None or not error.not_run or not error.retry_after_ms:
            return
        self.told += 1
        again = self._send(record.call, error.retry_after_ms)
        self._tasks.append(asyncio.create_task(again))

    async def _send(self, call: calls.Call, after_ms: float) -> None:
        await asyncio.sleep(after_ms / 1_000)
        again = dataclasses.replace(
            call, call_id=f"again{call.call_id}", at_ms=0.0
        )
        callers = driver.Driver(self._where, self._keys)
        (record,) = await callers.run([again])
        self.served += record.is_on_time

    async def done(self) -> None:
        """Returns once all have been answered."""
        await asyncio.gather(*self._tasks)


def measure_overload(
    running: fleet.Fleet, seed: int, duration_ms: float, factor: float
) -> None:
    """Offers a multiple of what the engines can do."""
    drawn = trace(
        seed, duration_ms, CAPACITY_PER_S * factor, OVERLOAD_DEADLINE_MS
    )
    returning = ComeBack(running)

    async def run() -> list[driver.CallRecord]:
        found = await judged.drive(running, drawn, (), returning.take)
        await returning.done()
        return found

    start_s = time.monotonic()
    records = asyncio.run(run())
    spent_s = time.monotonic() - start_s
    recorder = judged.Recorder(running)
    record_by_id = {record.call.call_id: record for record in records}
    runs = [
        run
        for run in recorder.all_runs()
        if run.has_run and checker.call_id_of(run.request_id) in record_by_id
    ]
    wasted = sum(
        not record_by_id[checker.call_id_of(run.request_id)].is_on_time
        for run in runs
    )
    on_time = sum(record.is_on_time for record in records)
    refused = [r for r in records if r.error is not None and r.error.not_run]
    late = [
        r.total_ms - r.call.deadline_ms
        for r in records
        if r.total_ms > r.call.deadline_ms
    ]
    answer_ms = [record.total_ms for record in refused]
    print(
        f"overload seed={seed} factor={factor} calls={len(records)}"
        f" on_time={on_time}"
        f" goodput_per_s={(on_time + returning.served) / spent_s:.1f}"
        f" refused={len(refused)}"
        f" other_failures={len(records) - on_time - len(refused)}"
        f" refusal_p50_ms={stats.percentile(answer_ms, 0.5):.0f}"
        f" refusal_p95_ms={stats.percentile(answer_ms, 0.95):.0f}"
        f" runs={len(runs)} wasted_runs={wasted}"
        f" held_past_deadline={len(late)}"
        f" longest_past_ms={max(late, default=0.0):.0f}"
        f" told_to_return={returning.told} served_then={returning.served}"
        f" share={stats.ratio(returning.served, returning.told):.2f}",
        flush=True,
    )


def measure_queue(teams: int, waiting: int = 2_000) -> None:
    """Prints the cost of the fair queue with many teams."""
    queue = queues.FairQueue()
    loop = asyncio.new_event_loop()
    try:
        made = [
            queues.QueuedRequest(
                f"team-{number % teams}",
                1.0,
                20,
                cost_model.Cost(10.0, 100.0),
                float(number),
                1e9,
                loop.create_future(),
            )
            for number in range(waiting + teams)
        ]
    finally:
        loop.close()
    start_s = time.perf_counter()
    for item in made[:waiting]:
        queue.assign_tags(item)
        queue.add(item)
    for item in made[waiting:]:
        queue.assign_tags(item)
        queue.add(item)
        queue.pop(0.0)
    spent_us = (time.perf_counter() - start_s) * 1e6 / len(made)
    print(
        f"queue teams={teams} waiting={waiting} us_per_request={spent_us:.1f}"
    )


async def measure_arrivals(teams: int, timed: int = 500) -> None:
    """Prints the cost of an arrival at a busy agent that many teams use."""
    target_admission = admission.TargetAdmission(clock.Clock())
    admitted_requests: list[limits_api.AdmittedRequest] = []

    def enter(number: int) -> None:
        properties = limits_api.RequestProperties(
            f"team-{number % teams}",
            1.0,
            10,
            cost_model.Cost(10.0, 100.0),
            clock.Clock().now_ms() + FAIR_DEADLINE_MS,
        )
        with contextlib.suppress(limits_api.RefusedError):
            admitted_requests.append(target_admission.enqueue(properties))

    for number in range(teams):
        enter(number)
    start_s = time.perf_counter()
    for number in range(timed):
        enter(number)
    spent_us = (time.perf_counter() - start_s) * 1e6 / timed
    for admitted_request in admitted_requests:
        target_admission.release(admitted_request)
    print(f"arrival teams={teams} us_per_request={spent_us:.1f}")


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the measurement and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--duration-ms", type=float, default=10_000)
    parser.add_argument("--parts", nargs="+", default=["fair", "overload"])
    parsed = parser.parse_args(arguments)
    for teams in (8, 1_000, 5_000, 17_000):
        measure_queue(teams)
        asyncio.run(measure_arrivals(teams))
    with tempfile.TemporaryDirectory(prefix="lycheering-limits-") as folder:
        running = fleet.Fleet(plan(), pathlib.Path(folder))
        try:
            running.start()
            warm = trace(0, 3_000, CAPACITY_PER_S / 2, FAIR_DEADLINE_MS)
            asyncio.run(judged.drive(running, warm))
            if "fair" in parsed.parts:
                for heavy in (team_names()[0], team_names()[-1]):
                    ratios = [
                        measure_fairness(
                            running, seed, parsed.duration_ms, heavy
                        )
                        for seed in parsed.seeds
                    ]
                    median = stats.percentile(ratios, 0.5)
                    print(f"fairness heavy={heavy} p95_ratio={median:.2f}")
            if "overload" in parsed.parts:
                for factor in (1.0, 2.0, 4.0):
                    for seed in parsed.seeds:
                        measure_overload(
                            running, seed, parsed.duration_ms, factor
                        )
                        time.sleep(SETTLE_S)
        finally:
            running.close()
    return 0


def run(settings: measures_api.Settings) -> None:
    """Runs the measurement as a part of all of them."""
    main(["--seeds", *map(str, settings.seeds)])


__all__ = ["main", "run"]

if __name__ == "__main__":
    sys.exit(main())
