"""The operators' weight between reuse and tail latency."""

from __future__ import annotations

from bench.measures import api
from bench.measures import fleet_run
from bench.measures import routing

WEIGHTS = (0.0, 0.3, 0.7, 1.0)


def run(settings: api.Settings) -> None:
    """Runs both users' traces at several weights and prints the table."""
    plans = [
        fleet_run.RunPlan(
            trace,
            seed,
            settings.duration_ms,
            f"weight {weight}",
            (
                *settings.value_by_default.items(),
                ("routing.reuse_weight", weight),
            ),
        )
        for trace in settings.traces or ("mavazi", "tahanan")
        for seed in settings.seeds
        for weight in WEIGHTS
    ]
    api.say(routing.HEADER)
    fleet_run.run_all(plans, settings.workers, routing.say_row)


__all__ = ["run"]
