"""How deep the hit rate dips after a shift, and how long until it is back."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from bench import stats
from bench.measures import api
from bench.measures import fleet_run
from bench.measures import routing

if TYPE_CHECKING:
    from collections.abc import Sequence

WINDOW_CALLS = 40
BACK_SHARE = 0.9
AT_MS = 12_000.0
DURATION_MS = 24_000.0
WARM_MS = 4_000.0
HOT_SHIFT_MS = 14_000.0
NONE = "none"  # the trace of most shifts without one
KILL = fleet_run.Action.KILL
START = fleet_run.Action.START


@dataclasses.dataclass(frozen=True)
class Shift:
    """One kind of shift.

    Attributes:
        name: What it is called in the table.
        trace: The trace during which it happens.
        at_ms: When it happens.
        faults: What is done to the fleet.
    """

    name: str
    trace: str
    at_ms: float
    faults: tuple[fleet_run.FaultPlan, ...] = ()


SHIFTS = (
    Shift(NONE, "mavazi", AT_MS),
    Shift("prefix", "hot", HOT_SHIFT_MS),
    Shift(
        "target",
        "mavazi",
        AT_MS,
        (
            fleet_run.FaultPlan(AT_MS, "engine-2", KILL),
            fleet_run.FaultPlan(AT_MS + 3_000, "engine-2", START),
        ),
    ),
    Shift(
        "herd",
        "mavazi",
        AT_MS,
        tuple(
            fleet_run.FaultPlan(at_ms, f"entry-{number}", action)
            for number in (0, 1)
            for at_ms, action in ((AT_MS, KILL), (AT_MS + 10, START))
        ),
    ),
    Shift(
        "weights",
        "mavazi",
        AT_MS,
        (fleet_run.FaultPlan(AT_MS, "w2", fleet_run.Action.WEIGHTS),),
    ),
)


@dataclasses.dataclass(frozen=True)
class Recovery:
    """How the hit rate went after a shift.

    Attributes:
        before: The hit rate from the warm-up to the shift.
        lowest: The lowest over a window of calls after it.
        back_calls: Calls from the shift to the end of the first window
            back at the share wanted; not a number if there is none.
        back_ms: The same as a time.
    """

    before: float
    lowest: float
    back_calls: float
    back_ms: float


def hit_rate(lookups: Sequence[fleet_run.Lookup]) -> float:
    """Returns the share of the pieces that were found."""
    pieces = sum(lookup.pieces for lookup in lookups)
    return stats.ratio(sum(lookup.cached for lookup in lookups), pieces)


def recovery(
    lookups: Sequence[fleet_run.Lookup],
    at_ms: float,
    undisturbed: Sequence[fleet_run.Lookup] = (),
) -> Recovery:
    """Returns how the hit rate went after a shift.

    Args:
        lookups: The lookups of the run, in order of time.
        at_ms: When the shift happened.
        undisturbed: Those of the same trace without it. If given, a window
            is held against the same calls there and not against the rate
            before the shift.
    """
    before = hit_rate([x for x in lookups if WARM_MS <= x.at_ms < at_ms])
    after = [lookup for lookup in lookups if lookup.at_ms >= at_ms]
    windows = [
        after[start : start + WINDOW_CALLS]
        for start in range(max(0, len(after) - WINDOW_CALLS + 1))
    ]
    if not windows:
        return Recovery(before, math.nan, math.nan, math.nan)
    rates = [hit_rate(window) for window in windows]
    goals = [
        BACK_SHARE * (_same_rate(window, undisturbed) or before)
        for window in windows
    ]
    kept = [
        stats.ratio(rate, goal) for rate, goal in zip(rates, goals, strict=True)
    ]
    lowest = min(range(len(rates)), key=kept.__getitem__)
    if rates[lowest] >= goals[lowest]:
        return Recovery(before, rates[lowest], 0, 0.0)
    for start in range(lowest, len(rates)):
        if rates[start] >= goals[start]:
            end = start + WINDOW_CALLS - 1
            return Recovery(
                before, rates[lowest], end + 1, after[end].at_ms - at_ms
            )
    return Recovery(before, rates[lowest], math.nan, math.nan)


def _same_rate(
    window: Sequence[fleet_run.Lookup],
    undisturbed: Sequence[fleet_run.Lookup],
) -> float:
    """Returns the hit rate of a window's calls in another run; 0 if none."""
    first_ms, last_ms = window[0].at_ms, window[-1].at_ms
    same = [x for x in undisturbed if first_ms <= x.at_ms <= last_ms]
    return hit_rate(same) if same else 0.0


def run(settings: api.Settings) -> None:
    """Runs every shift with every seed and prints the table."""
    plans = [
        fleet_run.RunPlan(
            shift.trace,
            seed,
            DURATION_MS,
            shift.name,
            tuple(settings.value_by_default.items()),
            shift.faults,
            shift_ms=shift.at_ms if shift.trace == "hot" else 0.0,
            entries=4,
        )
        for shift in SHIFTS
        if not settings.shifts or shift.name in (*settings.shifts, NONE)
        for seed in settings.seeds
    ]
    shift_by_name = {shift.name: shift for shift in SHIFTS}
    api.say(routing.HEADER)
    results = fleet_run.run_all(plans, settings.workers, routing.say_row)
    api.say(
        f"rolling hit rate over {WINDOW_CALLS} calls; back means"
        f" {BACK_SHARE:.0%} of before, or of the same calls in the run none"
    )
    api.say(
        f"{'shift':8s} {'seed':>4s} {'before':>6s} {'lowest':>6s}"
        f" {'back calls':>10s} {'back ms':>8s} {'set calls':>9s}"
        f" {'back, same calls':>16s}"
    )
    undisturbed_by_seed = {
        result.plan.seed: result.lookups
        for result in results
        if result.plan.label == NONE
    }
    for result in results:
        shift = shift_by_name[result.plan.label]
        found = recovery(result.lookups, shift.at_ms)
        same = math.nan
        if shift.trace == "mavazi" and result.plan.seed in undisturbed_by_seed:
            undisturbed = undisturbed_by_seed[result.plan.seed]
            same = recovery(result.lookups, shift.at_ms, undisturbed).back_calls
        set_calls = result.cache.distinct / stats.ratio(
            result.cache.pieces, len(result.lookups)
        )
        api.say(
            f"{shift.name:8s} {result.plan.seed:4d} {found.before:6.3f}"
            f" {found.lowest:6.3f} {found.back_calls:10.0f}"
            f" {found.back_ms:8.0f} {set_calls:9.0f} {same:16.0f}"
        )


__all__ = ["Recovery", "recovery", "run"]
