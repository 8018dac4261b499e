"""Keeps what isolated teams left in shared caches away from other teams.

Targets can't drop what one team left among shared cache entries. So all teams
that share go on under another cache scope, a new generation.
"""

from __future__ import annotations

import urllib.parse

import msgspec

from lycheering.routes import records

# names and keys of removed teams, beyond which a new generation begins
MAX_FORMER = 20_000


class SharingHistory(msgspec.Struct, frozen=True, array_like=True):
    """Who has shared cache entries in the current generation.

    Attributes:
        former: Names and key digests of removed teams that shared.
    """

    former: tuple[str, ...] = ()


def cache_scope(
    table: records.RouteTable,
    team: records.RouteTableTeam | None,
    *,
    is_removed: bool = False,
) -> str:
    """Returns the scope of a team's cache entries, for one weights version.

    Scopes begin with a character that no version contains.

    Args:
        table: The table in force.
        team: The team; None for requests without one.
        is_removed: Whether the team is no longer in the table. It shares
            nothing then, as the history counts it as one that has shared.
    """
    if team is not None and (team.is_isolated or is_removed):
        # as a header; two names never become one
        return f".{urllib.parse.quote(team.name)}"
    return f":{table.cache_generation}" if table.cache_generation else ""


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
    shared_names = set()
    for team in old_teams:
        if team.is_isolated:
            continue
        shared_names.add(team.name)
        if team.name not in new_names:
            former |= _identities(team)
    has_new_generation = len(former) > MAX_FORMER
    if history is None:
        # teams that are isolated may have shared before
        has_new_generation |= any(team.is_isolated for team in old_teams)
    for team in new.teams:
        if not team.is_isolated:
            former -= _identities(team)
        elif team.name in shared_names or former & _identities(team):
            has_new_generation = True
    if has_new_generation:
        return SharingHistory(), old_generation + 1
    return SharingHistory(tuple(sorted(former))), old_generation


def _identities(team: records.RouteTableTeam) -> set[str]:
    return {team.name, *team.key_digests}


__all__ = ["SharingHistory", "cache_scope", "update_generation"]
