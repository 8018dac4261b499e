"""Selects a target for each attempt of a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.fleet import view as fleet_view
from lycheering.limits import fleet_share
from lycheering.routing import api
from lycheering.routing import explanations
from lycheering.routing import hints
from lycheering.routing import load
from lycheering.routing import policies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from lycheering import clock
    from lycheering.fleet import view_holder

STANDBY_ROLE = "standby"
MIN_TEAM_SHARE = 0.001


class NoTargetError(Exception):
    """No target in the fleet may serve the request now."""


@dataclasses.dataclass(frozen=True)
class TargetRequirement:
    """What a target must serve: a model or a service.

    Attributes:
        model: The model's name; empty if a service is required.
        service: The service's name; empty if a model is required.
    """

    model: str = ""
    service: str = ""


@dataclasses.dataclass(frozen=True)
class RoutingDecision:
    """The target selected for one attempt.

    Attributes:
        target: The target.
        level_key: The key of the prefix level that targets are ranked by.
        width: How many targets the prefix is spread over.
        prefill_ms: Expected prefill time.
        fair_share_ratio: The team's demand on the fleet, as a multiple of its
            fair share; 0 while the fleet is not overloaded.
    """

    target: records.Target
    level_key: str
    width: int
    prefill_ms: float
    fair_share_ratio: float = 0.0


class Router:
    """Selects targets by the fleet view, their load and cache contents.

    Attributes:
        target_loads: The load of each target.
        cache_hints: Estimates of what targets have cached.
        prefix_widths: The widths of hot prefixes.
        explanations: Why recent requests were routed to their targets.
    """

    def __init__(
        self,
        view: view_holder.ViewHolder,
        time: clock.Clock,
        failure_domain: str,
    ) -> None:
        self.target_loads = load.TargetLoads(time)
        self.cache_hints = hints.CacheHints(time)
        self.prefix_widths = hints.PrefixWidths(time)
        self.explanations = explanations.Explanations()
        self._view = view
        self._clock = time
        self._shares_by_requirement: dict[
            TargetRequirement, fleet_share.FleetShares
        ] = {}
        self._targets_by_requirement: dict[
            TargetRequirement, tuple[records.Target, ...]
        ] = {}
        self._revision = -1
        self._policy_by_name = policies.build_all(
            policies.RoutingState(
                self.target_loads,
                self.cache_hints,
                self.prefix_widths,
                failure_domain,
            )
        )

    def targets(
        self, requirement: TargetRequirement
    ) -> tuple[records.Target, ...]:
        """Returns the targets that can serve such requests."""
        fleet = self._view.fleet
        if self._revision != fleet.view_revision:
            self._apply_view(fleet)
        targets = self._targets_by_requirement.get(requirement)
        if targets is None:
            targets = tuple(
                target
                for target in fleet.target_by_name.values()
                if _may_serve(fleet, target, requirement)
            )
            self._targets_by_requirement[requirement] = targets
        return targets

    def inquiry_candidates(
        self, requirement: TargetRequirement, query: api.Query, policy: str
    ) -> tuple[records.Target, ...]:
        """Returns the targets whose agents to query before `choose`."""
        targets = self.targets(requirement)
        if not targets:
            return ()
        return self._policy_by_name[policy].inquiry_candidates(query, targets)

    def choose(
        self,
        requirement: TargetRequirement,
        query: api.Query,
        *,
        policy: str,
        attempt: int,
        tried_targets: Collection[str],
        is_usable: Callable[[str], bool],
    ) -> RoutingDecision:
        """Selects a target for an attempt.

        Args:
            requirement: What the target must serve.
            query: The request.
            policy: The name of the policy.
            attempt: The number of the attempt.
            tried_targets: Names of the targets of earlier attempts. One of them
                is selected again only if no other target is usable.
            is_usable: Returns whether a target, given by name, may be sent
                requests now.

        Returns:
            The selected target.

        Raises:
            NoTargetError: If no target can serve the request.
        """
        targets = self.targets(requirement)
        if not targets:
            raise NoTargetError(requirement.model or requirement.service)
        ranking_policy = self._policy_by_name[policy]
        ranked = ranking_policy.rank(query, targets)
        untried = [c for c in ranked if c.target.name not in tried_targets]
        retried = [c for c in ranked if c.target.name in tried_targets]
        selected = next(
            (c for c in (*untried, *retried) if is_usable(c.target.name)),
            untried[0] if untried else ranked[0],
        )
        width = ranking_policy.width(query)
        self.explanations.add(
            explanations.Explanation(
                query.caller_request_id or query.request_id,
                attempt,
                policy,
                query.levels.rank_key,
                width,
                selected.target.name,
                "" if selected is ranked[0] else "better ones tried or failing",
                tuple(
                    _scored_target(candidate)
                    for candidate in ranked[: explanations.MAX_CANDIDATES]
                ),
            )
        )
        prefill_ms = selected.missing_pieces * selected.piece_ms
        fair_share_ratio = self._fair_share_ratio(requirement, query, targets)
        return RoutingDecision(
            selected.target,
            query.levels.rank_key,
            width,
            prefill_ms,
            fair_share_ratio,
        )

    def record_work(
        self, requirement: TargetRequirement, team: str, work_ms: float
    ) -> None:
        """Records how long a request of a team kept a slot busy."""
        shares = self._shares_by_requirement.get(requirement)
        if shares is not None:
            shares.record_work(team, work_ms)

    def _fair_share_ratio(
        self,
        requirement: TargetRequirement,
        query: api.Query,
        targets: tuple[records.Target, ...],
    ) -> float:
        shares = self._shares_by_requirement.get(requirement)
        if shares is None:
            shares = fleet_share.FleetShares(self._clock)
            self._shares_by_requirement[requirement] = shares
        return shares.record_request(
            query.team,
            max(MIN_TEAM_SHARE, query.team_weight),
            lambda: self.target_loads.fleet_utilization(
                target.name for target in targets
            ),
        )

    def _apply_view(self, fleet: fleet_view.FleetView) -> None:
        self._revision = fleet.view_revision
        self._targets_by_requirement.clear()
        incarnation_by_target = {
            target.name: target.agent_incarnation
            for target in fleet.target_by_name.values()
        }
        self.cache_hints.keep_only(incarnation_by_target)
        self.target_loads.keep_only(set(incarnation_by_target))


def _scored_target(candidate: api.Candidate) -> explanations.ScoredTarget:
    return explanations.ScoredTarget(
        candidate.target.name,
        round(candidate.score, 3),
        round(candidate.queue_ms, 3),
        round(candidate.missing_pieces, 3),
        round(candidate.piece_ms, 3),
        candidate.reason,
    )


def _may_serve(
    fleet: fleet_view.FleetView,
    target: records.Target,
    requirement: TargetRequirement,
) -> bool:
    if target.state is not records.TargetState.LIVE:
        return False
    if requirement.service:
        matches = (
            target.kind is records.TargetKind.SERVICE
            and target.service == requirement.service
        )
    else:
        matches = (
            target.kind is records.TargetKind.ENGINE
            and target.model == requirement.model
        )
    if not matches:
        return False
    subject = fleet_view.target_subject(target)
    if fleet.boolean_option("target.drained", subject):
        return False
    return fleet.text("target.role", subject) != STANDBY_ROLE


__all__ = ["NoTargetError", "Router", "RoutingDecision", "TargetRequirement"]
