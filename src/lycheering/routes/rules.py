"""Findings of a route table that can't be put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheering.routes import records


def findings_of(table: records.RouteTable) -> list[str]:
    """Returns all that is wrong with a table, each with its place."""
    return [*_route_findings(table), *_team_findings(table)]


def _route_findings(table: records.RouteTable) -> Iterator[str]:
    services = {service.name for service in table.services}
    first_by_place: dict[tuple[str, str], str] = {}
    for place, route in enumerate(table.routes):
        where = f"routes[{place}]"
        key = (route.host.lower(), route.path_prefix)
        first = first_by_place.setdefault(key, where)
        if first != where:
            yield f"{where}: the same host and prefix as {first}"
        if route.timeout_ms <= 0:
            yield f"{where}.timeout: not above 0"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"{where}.shares: the weights add up to 0"
        for share in route.shares:
            if share.weight < 0:
                yield f"{where}.shares: a weight below 0"
            if share.service not in services:
                yield f"{where}.shares: no service {share.service!r}"


def _team_findings(table: records.RouteTable) -> Iterator[str]:
    owner_by_digest: dict[str, str] = {}
    for place, team in enumerate(table.teams):
        for digest in team.key_digests:
            owner = owner_by_digest.setdefault(digest, team.name)
            if owner != team.name:
                yield f"teams[{place}]: shares a key with {owner!r}"


__all__ = ["findings_of"]
