"""Checks route tables, and tells two of them apart."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from lycheering.config_check import findings
from lycheering.routes import api as routes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    import msgspec


def check(
    table: routes.RouteTable, active: routes.RouteTable | None = None
) -> findings.Report:
    """Checks a table, and compares it with the one in force.

    Args:
        table: The table.
        active: The table in force, if it is known.
    """
    found = [findings.error("", text) for text in routes.check_table(table)]
    for part in (_routes, _services, _teams, _limits):
        found += part(table)
    if active is None:
        return findings.Report(found)
    found += _newly_isolated(active, table)
    differences = list(_differences(active, table))
    if differences and table.revision <= active.revision:
        problem = f"not above {active.revision}, which is in force"
        found.append(findings.error("version", problem))
    return findings.Report(found, differences)


def _routes(table: routes.RouteTable) -> Iterator[findings.Finding]:
    yield from _repeated("routes", [route.name for route in table.routes])
    store_names = {item.name for item in table.services if item.store}
    for number, route in enumerate(table.routes):
        position = f"routes[{number}] {route.name!r}"
        yield from _unmatchable(position, route)
        yield from _route_limits(position, route)
        for share in route.shares:
            field = f"{position}.shares"
            if share.weight == 0:
                problem = f"{share.service!r} gets nothing: its weight is 0"
                yield findings.warning(field, problem)
            if share.service in store_names:
                problem = f"{share.service!r} is a store and runs no requests"
                yield findings.error(field, problem)
        for service, count in _counts(share.service for share in route.shares):
            if count > 1:
                problem = f"{service!r} has {count} shares"
                yield findings.warning(f"{position}.shares", problem)


def _unmatchable(
    position: str, route: routes.Route
) -> Iterator[findings.Finding]:
    """Yields the reasons why no request can match a route."""
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        problem = f"{prefix!r} matches no path: it needs a slash at both ends"
        yield findings.error(f"{position}.path_prefix", problem)
    if any(char in "?#" or char.isspace() for char in prefix):
        problem = f"{prefix!r} matches no path, which has no query or spaces"
        yield findings.error(f"{position}.path_prefix", problem)
    host = route.host
    if not host or any(char in "/:@" or char.isspace() for char in host):
        problem = f"{host!r} matches no request: a name without port is needed"
        yield findings.error(f"{position}.host", problem)


def _route_limits(
    position: str, route: routes.Route
) -> Iterator[findings.Finding]:
    if route.objective_ms > route.timeout_ms:
        problem = (
            f"{route.objective_ms:g} is over the timeout of"
            f" {route.timeout_ms:g}: no answer can be late"
        )
        yield findings.warning(f"{position}.objective_ms", problem)
    if route.objective_ms < 0:
        yield findings.warning(f"{position}.objective_ms", "negative")
    if route.max_sends < 1:
        problem = "below 1: a request is sent once all the same"
        yield findings.warning(f"{position}.max_sends", problem)
    if route.priority < 0:
        yield findings.warning(f"{position}.priority", "negative; 0 is first")
    if not route.is_resumable:
        return
    if not route.resumes_streams:
        problem = f"no effect: its kind is {route.kind.value!r}"
        yield findings.warning(f"{position}.is_resumable", problem)
    elif route.max_sends < 2:
        problem = "the entry resumes no stream, as max_sends is below 2"
        yield findings.warning(f"{position}.is_resumable", problem)


def _services(table: routes.RouteTable) -> Iterator[findings.Finding]:
    yield from _repeated("services", [item.name for item in table.services])
    reached = {
        share.service
        for route in table.routes
        for share in route.shares
        if share.weight > 0
    }
    for number, service in enumerate(table.services):
        position = f"services[{number}] {service.name!r}"
        if service.store is None and service.name not in reached:
            yield findings.warning(position, "no route reaches it")
        if service.max_connections < 0:
            yield findings.error(f"{position}.max_connections", "negative")
        engine = service.engine
        if engine is not None and (
            engine.slots <= 0 or engine.cache_tokens <= 0
        ):
            problem = "slots and kv_capacity_tokens must be above 0"
            yield findings.error(f"{position}.engine", problem)


def _teams(table: routes.RouteTable) -> Iterator[findings.Finding]:
    yield from _repeated("teams", [team.name for team in table.teams])
    closed = [route for route in table.routes if not route.is_public]
    if table.teams and table.routes and not closed:
        problem = "no effect: all routes are public"
        yield findings.warning("teams", problem)
    if closed and not table.needs_key:
        problem = (
            f"missing: {len(closed)} routes that are not public are open to"
            " everybody, without a key"
        )
        yield findings.warning("teams", problem)
    if closed and table.needs_key and not table.teams:
        problem = (
            f"empty: all requests to {len(closed)} routes that are not public"
            " are refused with 401"
        )
        yield findings.warning("teams", problem)
    for number, team in enumerate(table.teams):
        position = f"teams[{number}] {team.name!r}"
        if not team.key_digests:
            yield findings.warning(position, "nobody can use it: no keys")
        if len(set(team.key_digests)) < len(team.key_digests):
            yield findings.warning(f"{position}.keys", "a key occurs twice")
        if team.priority is not None and team.priority < 0:
            problem = "negative; 0 is first"
            yield findings.warning(f"{position}.priority", problem)
        yield from _allowance(team, position)


def _newly_isolated(
    active: routes.RouteTable, table: routes.RouteTable
) -> Iterator[findings.Finding]:
    shared = {team.name for team in active.teams if not team.is_isolated}
    for number, team in enumerate(table.teams):
        if team.is_isolated and team.name in shared:
            problem = (
                "the team shared its cache entries: all teams that share"
                " begin with empty caches"
            )
            position = f"teams[{number}] {team.name!r}.is_isolated"
            yield findings.warning(position, problem)


def _allowance(
    team: routes.RouteTableTeam, position: str
) -> Iterator[findings.Finding]:
    counts_tokens = team.unit is routes.AllowanceUnit.TOKENS
    if team.burst and not team.has_allowance:
        problem = "no effect: without rate_per_s there is no limit"
        yield findings.warning(f"{position}.burst", problem)
    if team.plain_tokens and not (team.has_allowance and counts_tokens):
        problem = "no effect: the team has no allowance of tokens"
        yield findings.warning(f"{position}.plain_tokens", problem)


def _limits(table: routes.RouteTable) -> Iterator[findings.Finding]:
    limits = table.limits
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            yield findings.error(f"limits.{name}", "must be above 0")
    if limits.max_header_bytes > limits.max_body_bytes:
        problem = f"over max_body_bytes ({limits.max_body_bytes})"
        yield findings.warning("limits.max_header_bytes", problem)
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        problem = f"over idle_timeout_ms ({limits.idle_timeout_ms:g})"
        yield findings.warning("limits.header_timeout_ms", problem)


def _repeated(kind: str, names: list[str]) -> Iterator[findings.Finding]:
    for name, count in _counts(names):
        if count > 1:
            yield findings.warning(kind, f"{count} are named {name!r}")


def _counts(names: Iterable[str]) -> Iterable[tuple[str, int]]:
    return collections.Counter(names).items()


def _differences(
    old: routes.RouteTable, new: routes.RouteTable
) -> Iterator[str]:
    difference = routes.diff_tables(old, new)
    if difference is None:
        yield "not compared: an entry occurs twice in one of the tables"
        return
    yield from _item_differences(
        "route",
        old.routes,
        difference.routes_put,
        lambda route: f"{route.host}{route.path_prefix}",
    )
    yield from (
        f"removed route {host}{prefix}"
        for host, prefix in difference.routes_removed
    )
    yield from _item_differences(
        "service", old.services, difference.services_put, _name
    )
    yield from (
        f"removed service {name}" for name in difference.services_removed
    )
    yield from _item_differences("team", old.teams, difference.teams_put, _name)
    yield from (f"removed team {name}" for name in difference.teams_removed)
    if old.needs_key != new.needs_key:
        yield f"changed teams: needs_key {old.needs_key} -> {new.needs_key}"
    if old.limits != new.limits:
        yield f"changed limits: {_changed_fields(old.limits, new.limits)}"


def _name(item: routes.Service | routes.RouteTableTeam) -> str:
    return item.name


def _item_differences(
    kind: str,
    old: Iterable[msgspec.Struct],
    put: Iterable[msgspec.Struct],
    key: Callable[..., str],
) -> Iterator[str]:
    old_by_key = {key(item): item for item in old}
    for item in put:
        before = old_by_key.get(key(item))
        if before is None:
            yield f"added {kind} {key(item)}"
        else:
            yield f"changed {kind} {key(item)}: {_changed_fields(before, item)}"


def _changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> str:
    changes = []
    for name in new.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        if name == "key_digests":
            added = len(set(after) - set(before))
            removed = len(set(before) - set(after))
            changes.append(f"keys {added} added, {removed} removed")
        else:
            changes.append(f"{name} {_text(before)} -> {_text(after)}")
    return ", ".join(changes)


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(_text(item) for item in value) + "]"
    if isinstance(value, routes.ServiceShare):
        return f"{value.service}:{value.weight}"
    return str(value)


__all__ = ["check"]
