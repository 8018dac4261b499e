"""Kept KV cache: imports against recomputing, and exports at a drain."""

from __future__ import annotations

import dataclasses

from bench.measures import api
from bench.measures import fleet_run
from bench.measures import routing

DURATION_MS = 24_000.0
AT_MS = 10_000.0


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Two runs of one trace that differ in one option.

    Attributes:
        name: What is compared.
        option: The option.
        on: Its value in the run with it.
        off: Its value in the run without.
        faults: What is done to both fleets.
    """

    name: str
    option: str
    on: bool | int
    off: bool | int
    faults: tuple[fleet_run.FaultPlan, ...]


COMPARISONS = (
    Comparison(
        "import",
        "kv.import",
        True,
        False,
        (
            fleet_run.FaultPlan(AT_MS, "engine-2", fleet_run.Action.KILL),
            fleet_run.FaultPlan(
                AT_MS + 2_000, "engine-2", fleet_run.Action.START
            ),
            fleet_run.FaultPlan(
                AT_MS + 6_000, "engine-4", fleet_run.Action.DRAIN
            ),
        ),
    ),
    Comparison(
        "export",
        "kv.leave_export_ms",
        5_000,
        0,
        (
            fleet_run.FaultPlan(AT_MS, "engine-2", fleet_run.Action.DRAIN),
            fleet_run.FaultPlan(AT_MS, "engine-4", fleet_run.Action.DRAIN),
        ),
    ),
)


def run(settings: api.Settings) -> None:
    """Runs each comparison on each trace and prints the table."""
    api.say(routing.HEADER)
    for comparison in COMPARISONS:
        for trace in settings.traces or ("mavazi", "hot"):
            compare(settings, comparison, trace)


def compare(settings: api.Settings, comparison: Comparison, trace: str) -> None:
    """Runs one comparison on one trace and prints its figures."""
    labels = (f"{comparison.name} on", f"{comparison.name} off")
    plans = [
        fleet_run.RunPlan(
            trace,
            seed,
            DURATION_MS,
            label,
            ((comparison.option, value), *settings.value_by_default.items()),
            comparison.faults,
            kv_store=True,
        )
        for seed in settings.seeds
        for label, value in zip(
            labels, (comparison.on, comparison.off), strict=True
        )
    ]
    results = fleet_run.run_all(plans, settings.workers, routing.say_row)
    by_place = {(r.plan.seed, r.plan.label): r for r in results}
    pairs = [
        (by_place[seed, labels[0]], by_place[seed, labels[1]])
        for seed in settings.seeds
        if all((seed, label) in by_place for label in labels)
    ]
    work = routing.spread([on.use / off.use for on, off in pairs])
    p99 = routing.spread([on.p99_ms / off.p99_ms for on, off in pairs])
    missed = routing.spread([missed_after(on) for on, _ in pairs])
    without = routing.spread([missed_after(off) for _, off in pairs])
    api.say(
        f"{trace:8s} {comparison.name} on/off within one seed: prefill time"
        f" {work}  p99 ttft {p99}  missed after {AT_MS / 1_000:.0f} s:"
        f" on {missed}, off {without}"
    )


def missed_after(result: fleet_run.RunResult) -> float:
    """Returns the share of pieces missed from the first fault on."""
    later = [x for x in result.lookups if x.at_ms >= AT_MS]
    wanted = sum(lookup.pieces for lookup in later)
    found = sum(lookup.cached for lookup in later)
    return 1.0 - found / wanted if wanted else 0.0


__all__ = ["run"]
