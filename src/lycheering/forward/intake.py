"""Makes a job of a request: its route, its team, its body, its work."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from lycheering.forward import api
from lycheering.forward import cached_parts
from lycheering.forward import choice
from lycheering.forward import job as jobs
from lycheering.forward import refusals
from lycheering.forward import weights_names
from lycheering.routes import api as route_api

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lycheering import clock
    from lycheering.fleet import holder
    from lycheering.forward import caller as callers
    from lycheering.forward import target_registry

NO_TABLE_RETRY_AFTER_MS = 700.0
# how long a request waits for control to confirm that settings are current
CURRENT_WAIT_MS = 600.0
CURRENT_WAIT_PART = 0.2


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request as the HTTP server hands it over.

    Attributes:
        method: Its HTTP method.
        host: The host that it names.
        path: Its path, without the query.
        target: Its path with the query, unchanged.
        headers: Its headers.
        at_ms: When it arrived.
    """

    method: str
    host: str
    path: str
    target: str
    headers: api.Headers
    at_ms: float


class Intake:
    """Knows the route table in force and when weights were named.

    Attributes:
        index: The route table in force, None before the first.
    """

    def __init__(
        self,
        view: holder.ViewHolder,
        registry: target_registry.TargetRegistry,
        dialect: api.Dialect,
        wait_current: Callable[[float], Awaitable[bool]],
        time: clock.Clock,
    ) -> None:
        """Prepares the intake.

        Args:
            view: The fleet view in force.
            registry: What is known of targets, kept to the view from here on.
            dialect: The names and forms that callers use.
            wait_current: Returns whether the view is known to be current,
                after a time in milliseconds at the latest.
            time: The clock.
        """
        self.index: route_api.RouteIndex | None = None
        self._view = view
        self._registry = registry
        self._dialect = dialect
        self._wait_current = wait_current
        self._clock = time
        self._random = random.Random()
        self._weights = weights_names.WeightsNames(time)
        view.listen(self._view_changed)

    def _view_changed(self) -> None:
        fleet = self._view.fleet
        self._weights.update(fleet, is_first=self.index is None)
        table = fleet.route_table
        if table is None:
            return
        if self.index is None or self.index.table is not table:
            self.index = route_api.RouteIndex(table)
        self._registry.update(
            fleet.direct_target_by_key.values(), self.index.service_by_name
        )

    async def job(self, arrival: Arrival, caller: callers.Caller) -> jobs.Job:
        """Returns a request once its body is read and its team is known.

        Raises:
            RefusalError: If the entry answers it by itself.
            CallerGoneError: If the caller left before its end.
        """
        index = self._table()
        try:
            traits = self._dialect.read_request(arrival.headers)
        except api.BadRequestError as error:
            raise refusals.RefusalError(
                refusals.Reason.BAD_REQUEST, str(error)
            ) from error
        route = index.route_of(arrival.host, arrival.path)
        if route is None:
            raise refusals.RefusalError(refusals.Reason.NO_ROUTE)
        wait_ms = route.timeout_ms
        if traits.patience_ms is not None:
            wait_ms = min(wait_ms, traits.patience_ms)
        limits = index.table.limits
        body = await caller.body(limits.max_body_bytes, wait_ms)
        # last, since a key may be taken away while the body comes
        team = await self._team(index, route, traits.key, wait_ms)
        service = index.service_of(route, self._random)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return jobs.Job(
            caller=caller,
            traits=traits,
            method=arrival.method,
            path=arrival.target,
            headers=arrival.headers,
            body=body,
            route=route,
            service=service,
            team=team,
            priority=priority,
            arrived_ms=arrival.at_ms,
            until_ms=arrival.at_ms + wait_ms,
            work=self._work(traits, team, route, service.name),
            last_event_id=traits.last_event_id,
        )

    def _table(self) -> route_api.RouteIndex:
        if self.index is None:
            raise refusals.RefusalError(
                refusals.Reason.NO_TABLE,
                "no route table yet",
                NO_TABLE_RETRY_AFTER_MS,
            )
        return self.index

    async def _team(
        self,
        index: route_api.RouteIndex,
        route: route_api.Route,
        key: str,
        wait_ms: float,
    ) -> route_api.KeyedTeam | None:
        if route.is_public or not index.table.teams:
            return None
        # a key may have been taken away, or added, unseen
        soon_ms = min(CURRENT_WAIT_MS, CURRENT_WAIT_PART * wait_ms)
        if not await self._wait_current(soon_ms):
            raise refusals.RefusalError(
                refusals.Reason.NOT_CURRENT,
                "settings may be outdated",
                NO_TABLE_RETRY_AFTER_MS,
            )
        # waiting may have brought another table
        index = self._table()
        team = index.team_of(key) if key else None
        if team is None:
            raise refusals.RefusalError(refusals.Reason.BAD_KEY)
        return team

    def _work(
        self,
        traits: api.RequestTraits,
        team: route_api.KeyedTeam | None,
        route: route_api.Route,
        service: str,
    ) -> choice.Work:
        if not traits.parts:
            return choice.Work(objective_ms=route.objective_ms)
        scope = team.name if team is not None and team.is_isolated else ""
        chains = cached_parts.chains_of(scope, traits.parts)
        in_parts = sum(part.tokens for part in traits.parts)
        prompt_tokens = max(traits.prompt_tokens, in_parts)
        shared = in_parts - traits.parts[-1].tokens
        levels = chains[:-1] or chains
        self._registry.heat.count(levels, prompt_tokens, self._clock.now_ms())
        affinity_key, width = self._registry.heat.level(
            levels, len(self._registry.of_service(service))
        )
        return choice.Work(
            prompt_tokens=prompt_tokens,
            shared_tokens=shared,
            chains=tuple(chains),
            affinity_key=affinity_key,
            width=width,
            model=traits.model,
            names=self._weights.ages(traits.model),
            objective_ms=route.objective_ms,
        )


__all__ = ["Arrival", "Intake"]
