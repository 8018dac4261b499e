"""One trace through one fresh fleet, and its figures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import enum
import functools
import multiprocessing
import pathlib
import tempfile

from bench import checker
from bench import fleet
from bench import judged
from bench import processes
from bench import stats
from bench.measures import api
from bench.traces import calls
from bench.traces import hot
from bench.traces import mavazi
from bench.traces import tahanan

MODEL = "drafting"
MAX_STARTS = 3
TEAMS = 8
ENGINES = 6
CAPACITY_BLOCKS = 40
PREFILL_MS = 40.0
BASE_MS = 5.0
RATE_BY_TRACE = {"mavazi": 30.0, "tahanan": 30.0, "hot": 30.0}
SHIFT_MS_BY_TRACE = {"mavazi": 10_000.0, "tahanan": 10_000.0, "hot": 7_000.0}
MODULE_BY_TRACE = {"mavazi": mavazi, "tahanan": tahanan, "hot": hot}


class Action(enum.StrEnum):
    """What can be done to a fleet during a run."""

    KILL = "kill"
    START = "start"
    DRAIN = "drain"
    WEIGHTS = "weights"


@dataclasses.dataclass(frozen=True)
class FaultPlan:
    """One thing that is done to one process during a run.

    Attributes:
        at_ms: When.
        process: The process.
        action: What is done to it.
    """

    at_ms: float
    process: str
    action: Action


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """What one run is made of.

    Attributes:
        trace: Name of the trace.
        seed: Its seed.
        duration_ms: Its length.
        label: What sets this run apart from others of the trace.
        value_by_default: Options set in the fleet.
        faults: What is done to it.
        kv_store: Whether there is a store of kept KV cache.
        shift_ms: How long a prefix stays hot; 0 for the trace's own time.
        entries: Entry instances.
    """

    trace: str
    seed: int
    duration_ms: float
    label: str
    value_by_default: tuple[tuple[str, bool | int | float | str], ...] = ()
    faults: tuple[FaultPlan, ...] = ()
    kv_store: bool = False
    shift_ms: float = 0.0
    entries: int = 2


@dataclasses.dataclass(frozen=True)
class Lookup:
    """How one call found its engine's cache.

    Attributes:
        at_ms: When the call was due.
        pieces: Pieces that may be cached.
        cached: Of those, pieces found.
    """

    at_ms: float
    pieces: int
    cached: int


@dataclasses.dataclass(frozen=True)
class RunResult:
    """The figures of one run.

    Attributes:
        plan: What was run.
        summary: What the callers saw.
        cache: How the caches served.
        bound: Best possible hit rate.
        use: Share of the engines' time taken by prefill.
        sends_per_run: Sendings to engines for each call that ran.
        lookups: Cache lookups in order of time.
        verdict: Faults found, in one line.
        refused: Calls that ended in an explicit error.
        findings: Each fault found.
    """

    plan: RunPlan
    summary: stats.Summary
    cache: stats.CacheFigures
    bound: float
    use: float
    sends_per_run: float
    lookups: tuple[Lookup, ...]
    verdict: str
    refused: int
    findings: tuple[str, ...]

    @property
    def p99_ms(self) -> float:
        """The 99th percentile of the time to first token."""
        return stats.percentile(self.summary.first_token_ms, 0.99)


def trace_of(plan: RunPlan) -> list[calls.Call]:
    """Returns the calls of a run that go to engines."""
    settings = calls.TraceSettings(
        seed=plan.seed,
        duration_ms=plan.duration_ms,
        rate_per_s=RATE_BY_TRACE[plan.trace],
        teams=TEAMS,
        shift_ms=plan.shift_ms or SHIFT_MS_BY_TRACE[plan.trace],
        model=MODEL,
    )
    trace = MODULE_BY_TRACE[plan.trace].trace(settings)
    return [call for call in trace if call.model]


def fleet_plan(plan: RunPlan, trace: Sequence[calls.Call]) -> fleet.FleetPlan:
    """Returns the fleet that a run needs."""
    return fleet.FleetPlan(
        entries=plan.entries,
        engines=ENGINES,
        teams=tuple(sorted({call.team for call in trace})),
        model=MODEL,
        engine=fleet.EnginePlan(
            capacity_blocks=CAPACITY_BLOCKS, prefill_ms_per_piece=PREFILL_MS
        ),
        value_by_default=dict(plan.value_by_default),
        kv_store=plan.kv_store,
        weight_store=any(f.action is Action.WEIGHTS for f in plan.faults),
    )


def do_fault(
    running: fleet.Fleet, recorder: judged.Recorder, fault: FaultPlan
) -> None:
    """Does one thing to a fleet."""
    name = fault.process
    match fault.action:
        case Action.KILL:
            if name in running.url_by_target:
                recorder.keep(name)
            running.group.process_by_name[name].kill()
        case Action.START:
            running.group.process_by_name[name].start()
        case Action.DRAIN:
            running.add_exception(
                "target", name, "target.drained", True, "leaves"
            )
        case Action.WEIGHTS:
            running.set_default("weights.version", name)


def run_one(plan: RunPlan) -> RunResult:
    """Starts a fleet, sends a trace through it and returns the figures."""
    for _ in range(MAX_STARTS - 1):
        try:
            return _run_fleet(plan)
        except processes.GiveUpError as error:
            # fleets side by side may be given the same port
            api.say(f"{plan.trace} {plan.seed} {plan.label} again: {error}")
    return _run_fleet(plan)


def _run_fleet(plan: RunPlan) -> RunResult:
    trace = trace_of(plan)
    with tempfile.TemporaryDirectory(prefix="lycheering-measure-") as folder:
        running = fleet.Fleet(fleet_plan(plan, trace), pathlib.Path(folder))
        try:
            running.start()
            recorder = judged.Recorder(running)
            faults = [
                judged.Fault(
                    fault.at_ms,
                    f"{fault.action} {fault.process}",
                    functools.partial(do_fault, running, recorder, fault),
                )
                for fault in plan.faults
            ]
            records = asyncio.run(judged.drive(running, trace, faults))
            result = judged.judge(running, records, recorder)
        finally:
            running.close()
    return figures(plan, trace, result)


def figures(
    plan: RunPlan, trace: Sequence[calls.Call], result: judged.Judged
) -> RunResult:
    """Returns the figures of a judged run."""
    cache = stats.cache_figures(trace, result.runs)
    at_by_id = {call.call_id: call.at_ms for call in trace}
    ran = [run for run in result.runs if run.weights_version]
    lookups = [
        Lookup(
            at_by_id[checker.call_id_of(run.request_id)],
            run.prompt_pieces - 1,
            run.cached_pieces,
        )
        for run in ran
    ]
    lookups.sort(key=lambda lookup: lookup.at_ms)
    tail_pieces = sum(len(call.tail) for call in trace) / 4_000
    missed = cache.pieces - cache.hits + tail_pieces
    work_ms = missed * PREFILL_MS + len(ran) * BASE_MS
    return RunResult(
        plan,
        stats.summarize(result.records),
        cache,
        stats.best_hit_rate(trace, ENGINES * CAPACITY_BLOCKS),
        work_ms / (ENGINES * plan.duration_ms),
        stats.ratio(len(result.runs), len(trace)),
        tuple(lookups),
        result.verdict.line(),
        result.verdict.refused,
        tuple(
            f"{finding.fault} {finding.call_id}: {finding.detail}"
            for finding in result.verdict.findings
        ),
    )


def run_all(
    plans: Sequence[RunPlan],
    workers: int,
    on_result: Callable[[RunResult], None],
) -> list[RunResult]:
    """Makes runs, several side by side.

    Args:
        plans: What to run.
        workers: Fleets side by side.
        on_result: Called with each result, in order.

    Returns:
        The results in order; a run that failed is left out and told.
    """
    context = multiprocessing.get_context("spawn")
    results = []
    with concurrent.futures.ProcessPoolExecutor(
        workers, mp_context=context, max_tasks_per_child=1
    ) as pool:
        coming = [pool.submit(run_one, plan) for plan in plans]
        for plan, future in zip(plans, coming, strict=True):
            try:
                results.append(future.result())
            except (OSError, processes.GiveUpError) as error:
                api.say(
                    f"{plan.trace} {plan.seed} {plan.label}: no run: {error}"
                )
                continue
            on_result(results[-1])
    return results


__all__ = [
    "CAPACITY_BLOCKS",
    "ENGINES",
    "RATE_BY_TRACE",
    "Action",
    "FaultPlan",
    "Lookup",
    "RunPlan",
    "RunResult",
    "run_all",
    "run_one",
]
