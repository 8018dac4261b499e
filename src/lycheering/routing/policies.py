"""The routing policies that operators can configure."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

from lycheering.routing import api
from lycheering.routing import rendezvous
from lycheering.routing import score

if TYPE_CHECKING:
    from lycheering.fleet import records
    from lycheering.routing import hints
    from lycheering.routing import load

MAX_CACHED_RANKINGS = 5_000
MAX_UTILIZATION = 0.8  # beyond it, the queue of a target grows


@dataclasses.dataclass(frozen=True)
class RoutingState:
    """The shared state that policies read.

    Attributes:
        target_loads: The load of each target.
        cache_hints: Estimates of what targets have cached.
        prefix_widths: The widths of hot prefixes.
        failure_domain: The failure domain of this process.
    """

    target_loads: load.TargetLoads
    cache_hints: hints.CacheHints
    prefix_widths: hints.PrefixWidths
    failure_domain: str


class RankingCache:
    """Caches the rankings of recent keys over one set of targets."""

    def __init__(self) -> None:
        self._targets: tuple[records.Target, ...] = ()
        self._ranking_by_key: collections.OrderedDict[
            str, tuple[records.Target, ...]
        ] = collections.OrderedDict()

    def rank(
        self, key: str, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the targets, ranked for a key."""
        if targets is not self._targets:
            self._targets = targets
            self._ranking_by_key.clear()
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = rendezvous.rank(key, targets)
            self._ranking_by_key[key] = ranking
            if len(self._ranking_by_key) > MAX_CACHED_RANKINGS:
                self._ranking_by_key.popitem(last=False)
        return ranking


class Affinity(api.Policy):
    """Weighs cache reuse against latency among a prefix's best targets."""

    name = "affinity"

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._rankings = RankingCache()

    def width(self, query: api.Query) -> int:
        """Returns the number of targets that the prefix needs now.

        It is computed from the utilization that agents reported for this
        request. The last width hint is used if no agent reported, and as a
        lower bound if fewer agents were queried than the hint has targets.
        """
        state_by_target = query.cache_state_by_target
        hinted_width = self._state.prefix_widths.width(query.levels.rank_key)
        report_count = len(state_by_target)
        if not report_count:
            return min(hinted_width, query.max_width)
        utilization = sum(
            state.prefix_utilization for state in state_by_target.values()
        )
        width = max(1, math.ceil(utilization / MAX_UTILIZATION))
        if query.max_candidates <= report_count < hinted_width:
            # the other targets that serve the prefix were not queried
            width = max(width, hinted_width)
        return min(width, query.max_width)

    def inquiry_candidates(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the targets that rank first for the prefix."""
        if not query.levels.keys:
            return ()
        ranking = self._rankings.rank(query.levels.rank_key, targets)
        return ranking[: max(query.max_candidates, self.width(query))]

    def rank(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the best-ranked targets by score, then all others."""
        if not query.levels.keys:
            return score.rank_by_load(self._state, query, targets)
        ranking = self._rankings.rank(query.levels.rank_key, targets)
        width = self.width(query)
        compared = self.inquiry_candidates(query, targets)
        # spreads the requests with a wide prefix by their innermost level
        spread = rendezvous.rank(query.levels.deepest_key, compared[:width])
        candidates = [
            score.score_target(
                self._state,
                query,
                target,
                position=spread.index(target) if target in spread else width,
                width=width,
            )
            for target in compared
        ]
        candidates.sort(key=lambda candidate: candidate.score)
        rest = [
            api.Candidate(target, score.UNSCORED, reason="lower rank")
            for target in ranking[len(compared) :]
        ]
        return candidates + rest


class RoundRobin(api.Policy):
    """Rotates over the targets."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turns = itertools.count()

    def rank(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets, starting with the next one in rotation."""
        start = next(self._turns) % len(targets)
        rotated = targets[start:] + targets[:start]
        return [
            api.Candidate(target, float(position), reason="turn")
            for position, target in enumerate(rotated)
        ]


class LeastLoaded(api.Policy):
    """Prefers the target with the shortest expected wait."""

    name = "least_loaded"

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def rank(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets by expected wait."""
        return score.rank_by_load(self._state, query, targets)


class PrefixHash(api.Policy):
    """Prefers the target that the prefix hashes to, regardless of load."""

    name = "prefix_hash"

    def __init__(self) -> None:
        self._rankings = RankingCache()

    def rank(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets, ranked for the prefix."""
        key = query.levels.rank_key or query.request_id
        ranking = self._rankings.rank(key, targets)
        return [
            api.Candidate(target, float(position), reason="hash")
            for position, target in enumerate(ranking)
        ]


def build_all(state: RoutingState) -> dict[str, api.Policy]:
    """Returns all policies by name."""
    policies: tuple[api.Policy, ...] = (
        Affinity(state),
        RoundRobin(),
        LeastLoaded(state),
        PrefixHash(),
    )
    return {policy.name: policy for policy in policies}


__all__ = [
    "Affinity",
    "LeastLoaded",
    "PrefixHash",
    "RankingCache",
    "RoundRobin",
    "RoutingState",
    "build_all",
]
