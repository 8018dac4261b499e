"""The routing policies that operators choose from."""

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

MAX_RANKINGS = 5_000
FULL_USE = 0.8  # more of a target's time makes its queue grow


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What policies know about targets.

    Attributes:
        loads: Load of each target.
        caches: Likely contents of caches.
        widths: Width of hot prefixes.
        failure_domain: Where this process is.
    """

    loads: load.LoadBook
    caches: hints.CacheHints
    widths: hints.Widths
    failure_domain: str


class Rankings:
    """Remembers the ranking of recent keys over one set of targets."""

    def __init__(self) -> None:
        self._targets: tuple[records.Target, ...] = ()
        self._ranking_by_key: collections.OrderedDict[
            str, tuple[records.Target, ...]
        ] = collections.OrderedDict()

    def rank(
        self, key: str, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the targets in the order that a key prefers."""
        if targets is not self._targets:
            self._targets = targets
            self._ranking_by_key.clear()
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = rendezvous.rank(key, targets)
            self._ranking_by_key[key] = ranking
            if len(self._ranking_by_key) > MAX_RANKINGS:
                self._ranking_by_key.popitem(last=False)
        return ranking


class Affinity(api.Policy):
    """Weighs expected time to first token among a prefix's first targets."""

    name = "affinity"

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge
        self._rankings = Rankings()

    def width(self, query: api.Query) -> int:
        """Returns the width that the prefix needs now.

        It follows from what agents told when asked for this request, and
        from the last hint where none did or fewer were asked than that has
        targets.
        """
        seen_by_target = query.seen_by_target
        hinted = self._knowledge.widths.width(query.levels.rank_key)
        told = len(seen_by_target)
        if not told:
            return min(hinted, query.max_width)
        use = sum(seen.prefix_use for seen in seen_by_target.values())
        width = max(1, math.ceil(use / FULL_USE))
        if query.candidates <= told < hinted:
            # the others that the prefix takes were not asked
            width = max(width, hinted)
        return min(width, query.max_width)

    def compared(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> tuple[records.Target, ...]:
        """Returns the first ranked targets."""
        if not query.levels.keys:
            return ()
        ranking = self._rankings.rank(query.levels.rank_key, targets)
        return ranking[: max(query.candidates, self.width(query))]

    def order(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the first ranked targets by score, then the others."""
        if not query.levels.keys:
            return score.by_load(self._knowledge, query, targets)
        ranking = self._rankings.rank(query.levels.rank_key, targets)
        width = self.width(query)
        compared = self.compared(query, targets)
        # requests under a wide prefix part by their innermost level
        order = rendezvous.rank(query.levels.deepest_key, compared[:width])
        found = [
            score.of_target(
                self._knowledge,
                query,
                target,
                place=order.index(target) if target in order else width,
                width=width,
            )
            for target in compared
        ]
        found.sort(key=lambda candidate: candidate.score)
        rest = [
            api.Candidate(target, score.UNCOMPARED, reason="lower rank")
            for target in ranking[len(compared) :]
        ]
        return found + rest


class RoundRobin(api.Policy):
    """Takes targets in turn."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turns = itertools.count()

    def order(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets from the next in turn on."""
        start = next(self._turns) % len(targets)
        turned = targets[start:] + targets[:start]
        return [
            api.Candidate(target, float(place), reason="turn")
            for place, target in enumerate(turned)
        ]


class LeastLoaded(api.Policy):
    """Takes the target with the least expected wait."""

    name = "least_loaded"

    def __init__(self, knowledge: Knowledge) -> None:
        self._knowledge = knowledge

    def order(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets by expected wait."""
        return score.by_load(self._knowledge, query, targets)


class PrefixHash(api.Policy):
    """Takes the target that the prefix hashes to, whatever its load."""

    name = "prefix_hash"

    def __init__(self) -> None:
        self._rankings = Rankings()

    def order(
        self, query: api.Query, targets: tuple[records.Target, ...]
    ) -> list[api.Candidate]:
        """Returns the targets in the order that the prefix prefers."""
        key = query.levels.rank_key or query.request_id
        ranking = self._rankings.rank(key, targets)
        return [
            api.Candidate(target, float(place), reason="hash")
            for place, target in enumerate(ranking)
        ]


def build_all(knowledge: Knowledge) -> dict[str, api.Policy]:
    """Returns every policy by its name."""
    policies: tuple[api.Policy, ...] = (
        Affinity(knowledge),
        RoundRobin(),
        LeastLoaded(knowledge),
        PrefixHash(),
    )
    return {policy.name: policy for policy in policies}


__all__ = [
    "Affinity",
    "Knowledge",
    "LeastLoaded",
    "PrefixHash",
    "Rankings",
    "RoundRobin",
    "build_all",
]
