"""Looks up the route, the service and the team of a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lycheering.fleet import view
from lycheering.routes import cache_sharing

if TYPE_CHECKING:
    from lycheering.routes import records


class RouteIndex:
    """Look-up tables for one route table.

    Attributes:
        table: The route table.
        service_by_name: The table's services by their names.
        cache_scopes: The scopes of the teams' cache entries.
    """

    def __init__(self, table: records.RouteTable) -> None:
        self.table = table
        self.service_by_name = {
            service.name: service for service in table.services
        }
        self._route_by_prefix_by_host: dict[str, dict[str, records.Route]] = {}
        for route in table.routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            route_by_prefix[route.path_prefix] = route
        self.cache_scopes = cache_sharing.CacheScopes(table)
        self._team_by_digest = {
            digest: team for team in table.teams for digest in team.key_digests
        }

    def find_route(self, host: str, path: str) -> records.Route | None:
        """Returns the route with the longest matching path prefix, if any.

        Args:
            host: The host of the request, in any case.
            path: The path of the request, without the query.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if route_by_prefix is None:
            return None
        # Prefixes end with a slash, so only text up to a slash can match.
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_team(self, bearer_key: str) -> records.RouteTableTeam | None:
        """Returns the team that a bearer key belongs to, if any."""
        return self._team_by_digest.get(view.key_digest(bearer_key))

    def select_service(
        self, route: records.Route, rng: random.Random
    ) -> records.Service:
        """Returns one of the route's services, at random by their weights."""
        shares = route.shares
        if len(shares) == 1:
            return self.service_by_name[shares[0].service]
        weights = [share.weight for share in shares]
        selected = rng.choices(shares, weights)[0]
        return self.service_by_name[selected.service]


__all__ = ["RouteIndex"]
