"""Keeps what isolated teams left in shared caches away from other teams.

Targets can't drop what one team left among shared cache entries. So all teams
that share go on under another cache scope, a new generation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering.routes import records

# names and keys of removed teams, beyond which a new generation begins
MAX_FORMER = 20_000


class SharingHistory(msgspec.Struct, frozen=True, array_like=True):
    """Who has shared cache entries in the current generation.

    Attributes:
        former: Names and key digests of removed teams that shared.
    """

    former: tuple[str, ...] = ()


class CacheScopes:
    """The scopes of cache entries under one table, for one weights version.

    Scopes begin with a character that no version contains.
    """

    def __init__(self, table: records.RouteTable) -> None:
        self._shared = ""
        if table.cache_generation:
            self._shared = f":{table.cache_generation}"
        self._sharing_names = _sharing_names(table.teams)

    def scope(self, team: records.RouteTableTeam | None) -> str:
        """Returns the scope of a team's cache entries.

        A team that is no longer in the table shares nothing, as the history
        counts it as one that has shared.

        Args:
            team: The team; None for requests without one.
        """
        if team is None or team.name in self._sharing_names:
            return self._shared
        # as a header; two names never become one
        return f".{urllib.parse.quote(team.name)}"


def update_generation(
    history: SharingHistory | None,
    old: records.RouteTable | None,
    new: records.RouteTable,
) -> tuple[SharingHistory, int]:
    """Returns the history and generation under which a new table takes effect.

    A new generation begins if a team that has shared in this one becomes
    isolated, also under a new name with one of its keys, and also if it was
    removed in between.

    Args:
        history: The history until now; None if nobody has kept it.
        old: The table in force, if there is one.
        new: The table that replaces it.
    """
    old_teams = old.teams if old is not None else ()
    old_generation = old.cache_generation if old is not None else 0
    new_names = {team.name for team in new.teams}
    former = set(history.former if history is not None else ())
    old_sharing = _sharing_names(old_teams)
    new_sharing = _sharing_names(new.teams)
    for team in old_teams:
        if team.name in old_sharing and team.name not in new_names:
            former |= _identities(team)
    has_new_generation = len(former) > MAX_FORMER
    if history is None:
        # teams that are isolated may have shared before
        has_new_generation |= any(team.is_isolated for team in old_teams)
    for team in new.teams:
        if team.name in new_sharing:
            former -= _identities(team)
        elif team.name in old_sharing or former & _identities(team):
            has_new_generation = True
    if has_new_generation:
        return SharingHistory(), old_generation + 1
    return SharingHistory(tuple(sorted(former))), old_generation


def _sharing_names(
    teams: Iterable[records.RouteTableTeam],
) -> frozenset[str]:
    """Returns the names of teams that share cache entries.

    If a name occurs twice, one isolated team isolates both.
    """
    teams = tuple(teams)
    isolated = {team.name for team in teams if team.is_isolated}
    return frozenset(team.name for team in teams) - isolated


def _identities(team: records.RouteTableTeam) -> set[str]:
    return {team.name, *team.key_digests}


__all__ = ["CacheScopes", "SharingHistory", "update_generation"]
