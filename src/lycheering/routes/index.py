"""Finds the route and the team of a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lycheering.fleet import view

if TYPE_CHECKING:
    from lycheering.routes import records


class RouteIndex:
    """A route table made ready for look-ups.

    Attributes:
        table: The table.
        service_by_name: Its services.
    """

    def __init__(self, table: records.RouteTable) -> None:
        self.table = table
        self.service_by_name = {
            service.name: service for service in table.services
        }
        self._route_by_prefix_by_host: dict[str, dict[str, records.Route]] = {}
        for route in table.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.path_prefix] = route
        self._team_by_digest = {
            digest: team for team in table.teams for digest in team.key_digests
        }

    def route_of(self, host: str, path: str) -> records.Route | None:
        """Returns the route with the longest prefix that begins the path.

        Args:
            host: The host that the request names.
            path: Its path, without the query.
        """
        by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if by_prefix is None:
            return None
        # prefixes end with a slash, so only those positions can match
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def team_of(self, key: str) -> records.KeyedTeam | None:
        """Returns the team that a bearer key names, if any."""
        return self._team_by_digest.get(view.key_digest(key))

    def service_of(
        self, route: records.Route, randomness: random.Random
    ) -> records.Service:
        """Returns a service of the route, drawn by the weights."""
        shares = route.shares
        if len(shares) == 1:
            return self.service_by_name[shares[0].service]
        weights = [share.weight for share in shares]
        chosen = randomness.choices(shares, weights)[0]
        return self.service_by_name[chosen.service]


__all__ = ["RouteIndex"]
