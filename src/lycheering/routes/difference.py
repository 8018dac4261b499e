"""What a route table changes in the one before it."""

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
    return TableDifference(
        new.revision,
        *_changes(old.routes, new.routes, _place),
        *_changes(old.services, new.services, _name),
        *_changes(old.teams, new.teams, _name),
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
    return records.RouteTable(
        difference.revision,
        _changed(
            old.routes,
            difference.routes_put,
            difference.routes_removed,
            _place,
        ),
        _changed(
            old.services,
            difference.services_put,
            difference.services_removed,
            _name,
        ),
        _changed(
            old.teams, difference.teams_put, difference.teams_removed, _name
        ),
        difference.limits,
    )


def _place(route: records.Route) -> tuple[str, str]:
    return route.host, route.path_prefix


def _name(item: records.Service | records.KeyedTeam) -> str:
    return item.name


def _changes(
    old: Iterable[_Item], new: Iterable[_Item], key: Callable[[_Item], _Key]
) -> tuple[tuple[_Item, ...], tuple[_Key, ...]]:
    """Returns the items that are new or changed, and the keys of those gone."""
    old_by_key = {key(item): item for item in old}
    new_by_key = {key(item): item for item in new}
    return (
        tuple(i for k, i in new_by_key.items() if old_by_key.get(k) != i),
        tuple(k for k in old_by_key if k not in new_by_key),
    )


def _changed(
    old: Iterable[_Item],
    put: Iterable[_Item],
    removed: Iterable[_Key],
    key: Callable[[_Item], _Key],
) -> tuple[_Item, ...]:
    """Returns the items after some were put and some removed."""
    by_key = {key(item): item for item in old}
    for gone in removed:
        by_key.pop(gone, None)
    by_key.update({key(item): item for item in put})
    return tuple(by_key.values())


def _is_named_once(table: records.RouteTable) -> bool:
    return (
        len(set(map(_place, table.routes))) == len(table.routes)
        and len(set(map(_name, table.services))) == len(table.services)
        and len(set(map(_name, table.teams))) == len(table.teams)
    )


__all__ = ["TableDifference", "apply", "difference_of"]
