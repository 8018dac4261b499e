"""Figures of a run: percentiles, shares, hit rates and histograms."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
from typing import TYPE_CHECKING

from bench import checker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.load import driver
    from bench.traces import calls

HISTOGRAM_WIDTH = 50
NEVER = math.inf


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that a share of the values do not exceed.

    Args:
        values: The values, in any order.
        share: The share, from 0 to 1.

    Returns:
        The value; not a number when there are none.
    """
    if not values:
        return math.nan
    rank = math.ceil(share * len(values))
    return sorted(values)[max(rank, 1) - 1]


def ratio(part: float, whole: float) -> float:
    """Returns a quotient; not a number when there is nothing to divide by."""
    return part / whole if whole else math.nan


@dataclasses.dataclass(frozen=True)
class CacheFigures:
    """How the engines' caches served a run.

    Attributes:
        pieces: Pieces of prompts that may be cached.
        hits: Of those, pieces found in the cache.
        distinct: Different pieces in the trace.
    """

    pieces: int
    hits: int
    distinct: int

    @property
    def hit_rate(self) -> float:
        """Share of the pieces that were found."""
        return ratio(self.hits, self.pieces)

    @property
    def recomputed_share(self) -> float:
        """Share of the pieces computed though computed before."""
        missed = self.pieces - self.hits
        return ratio(max(0, missed - self.distinct), self.pieces)


def cache_figures(
    trace: Sequence[calls.Call], runs: Sequence[checker.TargetRun]
) -> CacheFigures:
    """Returns the cache figures of a trace from the engines' records.

    The last piece of every prompt in a trace is too short to be cached and
    is left out.

    Args:
        trace: The calls of the trace.
        runs: What the engines recorded, of this trace and of others.

    Returns:
        The figures.
    """
    call_ids = {call.call_id for call in trace}
    prefilled = [
        run
        for run in runs
        if run.weights_version
        and checker.call_id_of(run.request_id) in call_ids
    ]
    names = {name for call in trace for name in call.block_names()}
    return CacheFigures(
        sum(run.prompt_pieces - 1 for run in prefilled),
        sum(run.cached_pieces for run in prefilled),
        len(names),
    )


def best_hit_rate(trace: Sequence[calls.Call], capacity_blocks: int) -> float:
    """Returns a hit rate that no policy can pass on a trace.

    The bound takes all caches together for one, knows the future, and drops
    or leaves out the block whose next use is the farthest (Belady's rule,
    with bypass). It ignores that a block is of use only after its parents,
    and that calls run side by side.

    Args:
        trace: The calls in order.
        capacity_blocks: Total size of all caches.

    Returns:
        The share of pieces found.
    """
    uses = [name for call in trace for name in call.block_names()]
    next_use: list[float] = [NEVER] * len(uses)
    later_by_name: dict[str, int] = {}
    for index in range(len(uses) - 1, -1, -1):
        next_use[index] = later_by_name.get(uses[index], NEVER)
        later_by_name[uses[index]] = index
    cached: dict[str, float] = {}
    farthest: list[tuple[float, str]] = []
    hits = 0
    for index, name in enumerate(uses):
        hits += name in cached
        cached[name] = next_use[index]
        heapq.heappush(farthest, (-next_use[index], name))
        while len(cached) > capacity_blocks:
            negated, victim = heapq.heappop(farthest)
            if cached.get(victim) == -negated:
                del cached[victim]
    return ratio(hits, len(uses))


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of one run.

    Attributes:
        calls: Number of calls.
        whole: Number of calls answered whole.
        on_time: Number of calls answered whole and on time.
        on_time_share_by_team: That, as a share, for each team.
        first_token_ms: Time to first token of whole streamed answers.
        gap_ms: Times between chunks.
        sends_per_call: Mean number of sendings.
    """

    calls: int
    whole: int
    on_time: int
    on_time_share_by_team: dict[str, float]
    first_token_ms: list[float]
    gap_ms: list[float]
    sends_per_call: float

    @property
    def worst_team(self) -> str:
        """The team with the lowest share of calls answered on time."""
        shares = self.on_time_share_by_team
        return min(shares, key=lambda team: (shares[team], team))

    def line(self) -> str:
        """Returns the main figures in one line."""
        first = [percentile(self.first_token_ms, q) for q in (0.5, 0.95, 0.99)]
        worst = self.worst_team
        return (
            f"calls={self.calls} whole={self.whole} on_time={self.on_time}"
            f" ttft_p50_ms={first[0]:.1f} ttft_p95_ms={first[1]:.1f}"
            f" ttft_p99_ms={first[2]:.1f}"
            f" gap_p99_ms={percentile(self.gap_ms, 0.99):.1f}"
            f" sends_per_call={self.sends_per_call:.3f} worst_team={worst}"
            f" worst_share={self.on_time_share_by_team[worst]:.3f}"
        )


def summarize(records: Sequence[driver.CallRecord]) -> Summary:
    """Returns the figures of a run from what the callers saw."""
    total_by_team: collections.Counter[str] = collections.Counter()
    on_time_by_team: collections.Counter[str] = collections.Counter()
    for record in records:
        total_by_team[record.call.team] += 1
        on_time_by_team[record.call.team] += record.is_on_time
    whole = [record for record in records if record.looks_whole]
    return Summary(
        calls=len(records),
        whole=len(whole),
        on_time=on_time_by_team.total(),
        on_time_share_by_team={
            team: ratio(on_time_by_team[team], total)
            for team, total in sorted(total_by_team.items())
        },
        first_token_ms=[r.first_token_ms for r in whole if r.gaps_ms],
        gap_ms=list(itertools.chain.from_iterable(r.gaps_ms for r in whole)),
        sends_per_call=ratio(
            sum(len(record.attempts) for record in records), len(records)
        ),
    )


def histogram(values: Sequence[float], bins: int = 12) -> str:
    """Returns a text histogram with bins of doubling width."""
    if not values:
        return "(no values)"
    top = max(max(values), 1e-9)
    edges = [top / 2**power for power in range(bins - 1, -1, -1)]
    counts = [0] * bins
    for value in values:
        fitting = [i for i, edge in enumerate(edges) if value <= edge]
        counts[fitting[0]] += 1
    most = max(counts)
    lines = []
    for edge, count in zip(edges, counts, strict=True):
        bar = "#" * round(count / most * HISTOGRAM_WIDTH)
        lines.append(f"<= {edge:10.2f} {count:7d} {bar}".rstrip())
    return "\n".join(lines)


__all__ = [
    "CacheFigures",
    "Summary",
    "best_hit_rate",
    "cache_figures",
    "histogram",
    "percentile",
    "ratio",
    "summarize",
]
