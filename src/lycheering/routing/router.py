"""Chooses a target for each attempt of a request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.fleet import records
from lycheering.fleet import view as fleet_view
from lycheering.limits import fleet_share
from lycheering.routing import api
from lycheering.routing import explain
from lycheering.routing import hints
from lycheering.routing import load
from lycheering.routing import policies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from lycheering import clock
    from lycheering.fleet import holder

STANDBY_ROLE = "standby"
MIN_TEAM_SHARE = 0.001


class NoTargetError(Exception):
    """No target may serve the request now."""


@dataclasses.dataclass(frozen=True)
class Wanted:
    """What a target must offer.

    Attributes:
        model: The model, for an engine.
        service: The plain service's name, for a service.
    """

    model: str = ""
    service: str = ""


@dataclasses.dataclass(frozen=True)
class Choice:
    """The target chosen for one attempt.

    Attributes:
        target: The target.
        level_key: The key that targets were ranked by.
        width: Over how many targets the prefix is spread.
        cost_ms: Expected prefill time.
        share_use: What the team asks of all targets, in parts of its fair
            share.
    """

    target: records.Target
    level_key: str
    width: int
    cost_ms: float
    share_use: float = 0.0


class Router:
    """Chooses targets from the fleet view, hints and load.

    Attributes:
        loads: Load of each target.
        caches: Likely contents of caches.
        widths: Width of hot prefixes.
        explanations: Why recent requests went where they went.
    """

    def __init__(
        self, view: holder.ViewHolder, time: clock.Clock, failure_domain: str
    ) -> None:
        self.loads = load.LoadBook(time)
        self.caches = hints.CacheHints(time)
        self.widths = hints.Widths(time)
        self.explanations = explain.Explanations()
        self._view = view
        self._clock = time
        self._shares_by_wanted: dict[Wanted, fleet_share.FleetShares] = {}
        self._targets_by_wanted: dict[Wanted, tuple[records.Target, ...]] = {}
        self._revision = -1
        self._policy_by_name = policies.build_all(
            policies.Knowledge(
                self.loads, self.caches, self.widths, failure_domain
            )
        )

    def targets(self, wanted: Wanted) -> tuple[records.Target, ...]:
        """Returns the targets that may get such a request."""
        fleet = self._view.fleet
        if self._revision != fleet.view_revision:
            self._take_view(fleet)
        found = self._targets_by_wanted.get(wanted)
        if found is None:
            found = tuple(
                target
                for target in fleet.target_by_name.values()
                if _may_serve(fleet, target, wanted)
            )
            self._targets_by_wanted[wanted] = found
        return found

    def compared(
        self, wanted: Wanted, query: api.Query, policy: str
    ) -> tuple[records.Target, ...]:
        """Returns the targets that are worth asking before a choice."""
        targets = self.targets(wanted)
        if not targets:
            return ()
        return self._policy_by_name[policy].compared(query, targets)

    def choose(
        self,
        wanted: Wanted,
        query: api.Query,
        *,
        policy: str,
        attempt: int,
        tried: Collection[str],
        usable: Callable[[str], bool],
    ) -> Choice:
        """Chooses a target.

        Args:
            wanted: What the target must offer.
            query: The request.
            policy: The policy's name.
            attempt: The attempt's number.
            tried: Targets of earlier attempts, taken before unusable ones
                only.
            usable: Whether a target is worth a try now.

        Returns:
            The choice.

        Raises:
            NoTargetError: If there is none.
        """
        targets = self.targets(wanted)
        if not targets:
            raise NoTargetError(wanted.model or wanted.service)
        chosen_by = self._policy_by_name[policy]
        ordered = chosen_by.order(query, targets)
        fresh = [c for c in ordered if c.target.name not in tried]
        again = [c for c in ordered if c.target.name in tried]
        taken = next(
            (c for c in (*fresh, *again) if usable(c.target.name)),
            fresh[0] if fresh else ordered[0],
        )
        width = chosen_by.width(query)
        self.explanations.add(
            explain.Explanation(
                query.caller_request_id or query.request_id,
                attempt,
                policy,
                query.levels.rank_key,
                width,
                taken.target.name,
                "" if taken is ordered[0] else "better ones tried or failing",
                tuple(
                    _compared(candidate)
                    for candidate in ordered[: explain.MAX_CANDIDATES]
                ),
            )
        )
        cost_ms = taken.missing_pieces * taken.piece_ms
        share_use = self._share_use(wanted, query, targets)
        return Choice(
            taken.target, query.levels.rank_key, width, cost_ms, share_use
        )

    def spent(self, wanted: Wanted, team: str, work_ms: float) -> None:
        """Learns how long a request kept a slot of its target busy."""
        shares = self._shares_by_wanted.get(wanted)
        if shares is not None:
            shares.spent(team, work_ms)

    def _share_use(
        self,
        wanted: Wanted,
        query: api.Query,
        targets: tuple[records.Target, ...],
    ) -> float:
        shares = self._shares_by_wanted.get(wanted)
        if shares is None:
            shares = fleet_share.FleetShares(self._clock)
            self._shares_by_wanted[wanted] = shares
        return shares.offered(
            query.team,
            max(MIN_TEAM_SHARE, query.team_share),
            lambda: self.loads.fleet_use(target.name for target in targets),
        )

    def _take_view(self, fleet: fleet_view.FleetView) -> None:
        self._revision = fleet.view_revision
        self._targets_by_wanted.clear()
        incarnation_by_target = {
            target.name: target.agent_incarnation
            for target in fleet.target_by_name.values()
        }
        self.caches.keep_only(incarnation_by_target)
        self.loads.keep_only(set(incarnation_by_target))


def _compared(candidate: api.Candidate) -> explain.Compared:
    return explain.Compared(
        candidate.target.name,
        round(candidate.score, 3),
        round(candidate.queue_ms, 3),
        round(candidate.missing_pieces, 3),
        round(candidate.piece_ms, 3),
        candidate.reason,
    )


def _may_serve(
    fleet: fleet_view.FleetView, target: records.Target, wanted: Wanted
) -> bool:
    if target.state is not records.TargetState.LIVE:
        return False
    if wanted.service:
        matches = (
            target.kind is records.TargetKind.SERVICE
            and target.service == wanted.service
        )
    else:
        matches = (
            target.kind is records.TargetKind.ENGINE
            and target.model == wanted.model
        )
    if not matches:
        return False
    subject = fleet_view.subject_of_target(target)
    if fleet.flag("target.drained", subject):
        return False
    return fleet.text("target.role", subject) != STANDBY_ROLE


__all__ = ["Choice", "NoTargetError", "Router", "Wanted"]
