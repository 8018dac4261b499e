"""Checks a route table before it is put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering.routes import records


def check_table(table: records.RouteTable) -> list[str]:
    """Returns all errors of a table, each prefixed with its position."""
    return [*_route_findings(table), *_team_findings(table)]


def _route_findings(table: records.RouteTable) -> Iterator[str]:
    service_names = {service.name for service in table.services}
    first_position_by_key: dict[tuple[str, str], str] = {}
    for number, route in enumerate(table.routes):
        position = f"routes[{number}]"
        route_key = (route.host.lower(), route.path_prefix)
        first_position = first_position_by_key.setdefault(route_key, position)
        if first_position != position:
            yield f"{position}: has the host and prefix of {first_position}"
        if route.timeout_ms <= 0:
            yield f"{position}.timeout: must be above 0"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"{position}.shares: the sum of the weights must be above 0"
        for share in route.shares:
            if share.weight < 0:
                yield f"{position}.shares: a weight is negative"
            if share.service not in service_names:
                yield f"{position}.shares: unknown service {share.service!r}"


def _team_findings(table: records.RouteTable) -> Iterator[str]:
    owner_by_digest: dict[str, str] = {}
    for number, team in enumerate(table.teams):
        for digest in team.key_digests:
            owner = owner_by_digest.setdefault(digest, team.name)
            if owner != team.name:
                yield f"teams[{number}]: has a bearer key of team {owner!r}"


__all__ = ["check_table"]
