"""Differences between a route table and the table that it replaces."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from lycheering.routes import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

_Item = TypeVar("_Item")
_Key = TypeVar("_Key")


class RouteTableDifference(msgspec.Struct, frozen=True, array_like=True):
    """The changes that turn one route table into the next.

    Attributes:
        revision: The revision of the new table.
        routes_put: The added or changed routes.
        routes_removed: The host and path prefix of each removed route.
        services_put: The added or changed services.
        services_removed: The names of the removed services.
        teams_put: The added or changed teams.
        teams_removed: The names of the removed teams.
        limits: The caller limits of the new table.
        cache_generation: The cache generation of the new table.
        needs_key: Whether requests need a bearer key in the new table.
    """

    revision: int
    routes_put: tuple[records.Route, ...]
    routes_removed: tuple[tuple[str, str], ...]
    services_put: tuple[records.Service, ...]
    services_removed: tuple[str, ...]
    teams_put: tuple[records.RouteTableTeam, ...]
    teams_removed: tuple[str, ...]
    limits: records.CallerLimits
    cache_generation: int = 0
    needs_key: bool = True


def diff_tables(
    old: records.RouteTable, new: records.RouteTable
) -> RouteTableDifference | None:
    """Returns the changes from one table to another.

    Args:
        old: The table in force.
        new: The table that replaces it.

    Returns:
        The difference; None if a name, or a host with a path prefix, occurs
        twice in a table, as changes by key would then be ambiguous and the
        whole table has to be sent.
    """
    if not (_has_unique_keys(old) and _has_unique_keys(new)):
        return None
    return RouteTableDifference(
        new.revision,
        *_diff_items(old.routes, new.routes, _route_key),
        *_diff_items(old.services, new.services, _item_name),
        *_diff_items(old.teams, new.teams, _item_name),
        new.limits,
        new.cache_generation,
        new.needs_key,
    )


def apply_difference(
    old: records.RouteTable, difference: RouteTableDifference
) -> records.RouteTable:
    """Returns a table with the changes applied.

    The order of its routes, services and teams may differ from that of the
    table that was compared; their order has no meaning.

    Args:
        old: The old table that the difference was computed from.
        difference: The changes.
    """
    return records.RouteTable(
        difference.revision,
        _apply_changes(
            old.routes,
            difference.routes_put,
            difference.routes_removed,
            _route_key,
        ),
        _apply_changes(
            old.services,
            difference.services_put,
            difference.services_removed,
            _item_name,
        ),
        _apply_changes(
            old.teams,
            difference.teams_put,
            difference.teams_removed,
            _item_name,
        ),
        difference.limits,
        difference.cache_generation,
        difference.needs_key,
    )


def _route_key(route: records.Route) -> tuple[str, str]:
    return route.host, route.path_prefix


def _item_name(item: records.Service | records.RouteTableTeam) -> str:
    return item.name


def _diff_items(
    old: Iterable[_Item], new: Iterable[_Item], key: Callable[[_Item], _Key]
) -> tuple[tuple[_Item, ...], tuple[_Key, ...]]:
    """Returns the added or changed items and the keys of removed items."""
    old_by_key = {key(item): item for item in old}
    new_by_key = {key(item): item for item in new}
    return (
        tuple(
            item
            for item_key, item in new_by_key.items()
            if old_by_key.get(item_key) != item
        ),
        tuple(
            item_key for item_key in old_by_key if item_key not in new_by_key
        ),
    )


def _apply_changes(
    old: Iterable[_Item],
    put: Iterable[_Item],
    removed: Iterable[_Key],
    key: Callable[[_Item], _Key],
) -> tuple[_Item, ...]:
    """Returns the items with some added or replaced and some removed."""
    item_by_key = {key(item): item for item in old}
    for removed_key in removed:
        item_by_key.pop(removed_key, None)
    item_by_key.update({key(item): item for item in put})
    return tuple(item_by_key.values())


def _has_unique_keys(table: records.RouteTable) -> bool:
    return (
        len(set(map(_route_key, table.routes))) == len(table.routes)
        and len(set(map(_item_name, table.services))) == len(table.services)
        and len(set(map(_item_name, table.teams))) == len(table.teams)
    )


__all__ = ["RouteTableDifference", "apply_difference", "diff_tables"]
