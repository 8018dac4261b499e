"""Importing kept KV cache against recomputing it."""

from __future__ import annotations

from bench.measures import api
from bench.measures import fleet_run
from bench.measures import routing

DURATION_MS = 24_000.0
AT_MS = 10_000.0
FAULTS = (
    fleet_run.FaultPlan(AT_MS, "engine-2", fleet_run.Action.KILL),
    fleet_run.FaultPlan(AT_MS + 2_000, "engine-2", fleet_run.Action.START),
    fleet_run.FaultPlan(AT_MS + 6_000, "engine-4", fleet_run.Action.DRAIN),
)
OPTION = "kv.import"
ON = "import on"
OFF = "import off"


def run(settings: api.Settings) -> None:
    """Runs both traces with and without imports and prints the table."""
    plans = [
        fleet_run.RunPlan(
            trace,
            seed,
            DURATION_MS,
            label,
            ((OPTION, value), *settings.value_by_default.items()),
            FAULTS,
            kv_store=True,
        )
        for trace in settings.traces or ("mavazi", "hot")
        for seed in settings.seeds
        for label, value in ((ON, True), (OFF, False))
    ]
    api.say(routing.HEADER)
    results = fleet_run.run_all(plans, settings.workers, routing.say_row)
    api.say("import on/off within one seed, median (least..most)")
    for trace in dict.fromkeys(plan.trace for plan in plans):
        own = [r for r in results if r.plan.trace == trace]
        by_place = {(r.plan.seed, r.plan.label): r for r in own}
        pairs = [
            (by_place[seed, ON], by_place[seed, OFF])
            for seed in settings.seeds
            if (seed, ON) in by_place and (seed, OFF) in by_place
        ]
        work = routing.spread([on.use / off.use for on, off in pairs])
        p99 = routing.spread([on.p99_ms / off.p99_ms for on, off in pairs])
        api.say(f"{trace:8s} prefill time {work}  p99 ttft {p99}")


__all__ = ["run"]
