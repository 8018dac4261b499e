"""The routing policy against what a user would pick instead."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

from bench import stats
from bench.measures import api
from bench.measures import fleet_run

if TYPE_CHECKING:
    from collections.abc import Callable

POLICIES = ("affinity", "round_robin", "least_loaded", "prefix_hash")
OWN = POLICIES[0]


def plans_of(settings: api.Settings) -> list[fleet_run.RunPlan]:
    """Returns one run for each trace, seed and policy."""
    return [
        fleet_run.RunPlan(
            trace,
            seed,
            settings.duration_ms,
            policy,
            (
                *settings.value_by_default.items(),
                ("routing.policy", policy),
            ),
        )
        for trace in settings.traces or tuple(fleet_run.RATE_BY_TRACE)
        for seed in settings.seeds
        for policy in settings.policies or POLICIES
    ]


HEADER = (
    f"{'trace':8s} {'seed':>4s} {'run':14s} {'hit':>5s} {'bound':>5s}"
    f" {'recom':>5s} {'use':>4s} {'p50':>6s} {'p95':>6s} {'p99':>6s}"
    f" {'calls':>5s} {'whole':>5s} {'ontime':>6s} {'worst team':>18s}"
    f" {'sends':>5s}  verdict"
)


def row(result: fleet_run.RunResult) -> str:
    """Returns one run as a line of the table."""
    summary = result.summary
    first = [
        stats.percentile(summary.first_token_ms, share)
        for share in (0.5, 0.95, 0.99)
    ]
    worst = summary.worst_team
    share = summary.on_time_share_by_team[worst]
    return (
        f"{result.plan.trace:8s} {result.plan.seed:4d}"
        f" {result.plan.label:14s} {result.cache.hit_rate:5.3f}"
        f" {result.bound:5.3f} {result.cache.recomputed_share:5.3f}"
        f" {result.use:4.2f}"
        f" {first[0]:6.0f} {first[1]:6.0f} {first[2]:6.0f}"
        f" {summary.calls:5d} {summary.whole:5d} {summary.on_time:6d}"
        f" {f'{worst}={share:.3f}':>18s} {result.sends_per_run:5.3f}"
        f"  refused={result.refused} {result.verdict}"
        + "".join(f"\n  {finding}" for finding in result.findings)
    )


def say_row(result: fleet_run.RunResult) -> None:
    """Prints one run as a line of the table."""
    api.say(row(result))


def spread(values: list[float]) -> str:
    """Returns the median of some ratios, with the least and the most."""
    known = [value for value in values if not math.isnan(value)]
    if not known:
        return "none"
    return (
        f"{statistics.median(known):.2f} ({min(known):.2f}..{max(known):.2f})"
    )


def ratios(results: list[fleet_run.RunResult], trace: str) -> list[str]:
    """Returns the ratios of one trace within the runs of each seed."""
    by_place = {
        (r.plan.seed, r.plan.label): r for r in results if r.plan.trace == trace
    }
    seeds = sorted({seed for seed, _ in by_place})
    labels = dict.fromkeys(label for _, label in by_place)
    if OWN not in labels:
        return []
    del labels[OWN]

    def over(other: str, figure: Callable[[fleet_run.RunResult], float]) -> str:
        return spread(
            [
                stats.ratio(
                    figure(by_place[seed, OWN]), figure(by_place[seed, other])
                )
                for seed in seeds
                if (seed, OWN) in by_place and (seed, other) in by_place
            ]
        )

    lines = []
    for other in labels:
        recomputed = over(other, lambda r: r.cache.recomputed_share)
        p99 = over(other, lambda r: r.p99_ms)
        lines.append(
            f"{trace:8s} affinity/{other:12s}"
            f" recomputed {recomputed:20s} p99 ttft {p99}"
        )
    of_bound = [
        stats.ratio(
            by_place[seed, OWN].cache.hit_rate, by_place[seed, OWN].bound
        )
        for seed in seeds
        if (seed, OWN) in by_place
    ]
    lines.append(f"{trace:8s} affinity hit rate/bound {spread(of_bound)}")
    return lines


def run(settings: api.Settings) -> None:
    """Runs every policy on every trace and prints the table."""
    api.say(HEADER)
    results = fleet_run.run_all(plans_of(settings), settings.workers, say_row)
    plots = []
    for result in results:
        plots.append(row(result))
        plots.append(stats.histogram(result.summary.first_token_ms))
    api.say("ratios within one seed, median (least..most)")
    for trace in dict.fromkeys(result.plan.trace for result in results):
        for line in ratios(results, trace):
            api.say(line)
    api.write_out("routing.txt", "\n".join([HEADER, *plots, ""]))


__all__ = ["HEADER", "run", "say_row", "spread"]
