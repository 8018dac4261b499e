"""What a route table changes in the one before it."""

from __future__ import annotations

import msgspec

from lycheering.routes import records


class TableDifference(msgspec.Struct, frozen=True, array_like=True):
    """The parts of a route table that the one before it lacks.

    Attributes:
        revision: The number of the newer table.
        routes_put: Routes that are new or changed.
        routes_removed: Host and path prefix of each route that is gone.
        services_put: Services that are new or changed.
        services_removed: Names of the services that are gone.
        teams_put: Teams that are new or changed.
        teams_removed: Names of the teams that are gone.
        limits: What callers may send.
    """

    revision: int
    routes_put: tuple[records.Route, ...]
    routes_removed: tuple[tuple[str, str], ...]
    services_put: tuple[records.Service, ...]
    services_removed: tuple[str, ...]
    teams_put: tuple[records.KeyedTeam, ...]
    teams_removed: tuple[str, ...]
    limits: records.CallerLimits


def difference_of(
    old: records.RouteTable, new: records.RouteTable
) -> TableDifference | None:
    """Returns what makes one table out of another.

    Args:
        old: The table in force.
        new: The table that replaces it.

    Returns:
        The difference; None if a name is used twice, so that only the whole
        table says what is meant.
    """
    if not (_is_named_once(old) and _is_named_once(new)):
        return None
    old_routes, new_routes = _routes(old), _routes(new)
    old_services, new_services = _services(old), _services(new)
    old_teams, new_teams = _teams(old), _teams(new)
    return TableDifference(
        new.revision,
        tuple(r for k, r in new_routes.items() if old_routes.get(k) != r),
        tuple(key for key in old_routes if key not in new_routes),
        tuple(s for k, s in new_services.items() if old_services.get(k) != s),
        tuple(name for name in old_services if name not in new_services),
        tuple(t for k, t in new_teams.items() if old_teams.get(k) != t),
        tuple(name for name in old_teams if name not in new_teams),
        new.limits,
    )


def apply(
    old: records.RouteTable, difference: TableDifference
) -> records.RouteTable:
    """Returns the table that a difference makes of the one before it.

    Its routes, services and teams may stand in another order, which means
    nothing.

    Args:
        old: The table that the difference was made for.
        difference: What changes.
    """
    routes = _routes(old)
    services = _services(old)
    teams = _teams(old)
    for place in difference.routes_removed:
        routes.pop(place, None)
    for name in difference.services_removed:
        services.pop(name, None)
    for name in difference.teams_removed:
        teams.pop(name, None)
    for route in difference.routes_put:
        routes[route.host, route.path_prefix] = route
    for service in difference.services_put:
        services[service.name] = service
    for team in difference.teams_put:
        teams[team.name] = team
    return records.RouteTable(
        difference.revision,
        tuple(routes.values()),
        tuple(services.values()),
        tuple(teams.values()),
        difference.limits,
    )


def _routes(
    table: records.RouteTable,
) -> dict[tuple[str, str], records.Route]:
    return {(route.host, route.path_prefix): route for route in table.routes}


def _services(table: records.RouteTable) -> dict[str, records.Service]:
    return {service.name: service for service in table.services}


def _teams(table: records.RouteTable) -> dict[str, records.KeyedTeam]:
    return {team.name: team for team in table.teams}


def _is_named_once(table: records.RouteTable) -> bool:
    return (
        len(_routes(table)) == len(table.routes)
        and len(_services(table)) == len(table.services)
        and len(_teams(table)) == len(table.teams)
    )


__all__ = ["TableDifference", "apply", "difference_of"]
