"""The fleet view, which depends only on the changes applied to it."""

from __future__ import annotations

import collections
import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec

from lycheering.fleet import changes
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.routes import difference as table_difference
from lycheering.routes import records as route_records

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_RECENT_CHANGES = 1_000
# weights versions requested for a model, of which a whole view has the latest
MAX_NAMED_VERSIONS = 32
SHARED_LEVELS = "prefix.shared_levels"


class Subject(msgspec.Struct, frozen=True):
    """What an option's value is looked up for; empty names match nothing.

    Attributes:
        target: The target's name.
        team: The team's name.
        service: The plain service's name.
        model: The model's name.
        failure_domain: The failure domain.
    """

    target: str = ""
    team: str = ""
    service: str = ""
    model: str = ""
    failure_domain: str = ""


def target_subject(target: records.Target) -> Subject:
    """Returns the subject for looking up the options of a target."""
    return Subject(
        target=target.name,
        service=target.service,
        model=target.model,
        failure_domain=target.failure_domain,
    )


class ViewSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A whole fleet view.

    Attributes:
        view_revision: The revision of the whole view.
        config_revision: The revision of the operators' configuration.
        value_by_option: Defaults that operators set.
        exceptions: All exceptions.
        teams: All teams, unless they are left out.
        targets: All targets that have an agent.
        has_teams: Whether the teams are included.
        route_table: The current route table, if any.
        direct_targets: All targets without an agent.
        requested_version_by_model: The latest weights version requested for
            each model.
        named_wall_ms_by_model: Wall-clock time of each of those requests; for
            instances of an earlier release.
        weights_requests_by_model: Version and wall-clock time of the latest
            requests for each model, the oldest first.
        shared_generation: The sharing generation.
    """

    view_revision: int
    config_revision: int
    value_by_option: dict[str, options.OptionValue]
    exceptions: tuple[records.ExceptionRecord, ...]
    teams: tuple[records.Team, ...]
    targets: tuple[records.Target, ...]
    has_teams: bool = True
    route_table: route_records.RouteTable | None = None
    direct_targets: tuple[records.DirectTarget, ...] = ()
    requested_version_by_model: dict[str, int] = {}
    named_wall_ms_by_model: dict[str, int] = {}
    weights_requests_by_model: dict[str, tuple[tuple[int, int], ...]] = {}
    shared_generation: int = 0


class ViewGapError(Exception):
    """A change is missing between the view and the changes to apply."""


def key_digest(key: str) -> str:
    """Returns the digest that is stored of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


class FleetView:
    """Defaults, exceptions, teams, targets and routes at one revision.

    Attributes:
        view_revision: Number of the last change applied.
        config_revision: Number of the last change by an operator.
        value_by_option: Defaults that operators set.
        exception_by_id: Exceptions.
        team_by_name: Teams.
        target_by_name: Targets and their agents.
        has_teams: Whether the teams are included; only some roles need them.
        route_table: The current route table, if any.
        direct_target_by_key: Targets without an agent.
        requested_version_by_model: The latest weights version requested for
            each model.
        weights_requests_by_model: Version and wall-clock time of the latest
            requests for each model, the oldest first.
        shared_generation: Config revision of the last change after which some
            team or model shares fewer levels of prompts. What was cached as
            shared before is not used any more, as it may be a team's own now.
    """

    def __init__(self) -> None:
        self.has_teams = True
        self.view_revision = 0
        self.config_revision = 0
        self.value_by_option: dict[str, options.OptionValue] = {}
        self.exception_by_id: dict[str, records.ExceptionRecord] = {}
        self.team_by_name: dict[str, records.Team] = {}
        self.target_by_name: dict[str, records.Target] = {}
        self.route_table: route_records.RouteTable | None = None
        self.direct_target_by_key: dict[str, records.DirectTarget] = {}
        self.requested_version_by_model: dict[str, int] = {}
        self.weights_requests_by_model: dict[
            str, tuple[tuple[int, int], ...]
        ] = {}
        self.shared_generation = 0
        self._team_by_digest: dict[str, records.Team] = {}
        self._value_by_scope_by_option: dict[
            str, dict[records.Scope, options.OptionValue]
        ] = {}
        self._recent_changes: collections.deque[changes.NumberedChange] = (
            collections.deque(maxlen=MAX_RECENT_CHANGES)
        )

    def snapshot(self, *, with_teams: bool = True) -> ViewSnapshot:
        """Returns the whole view, for a peer whose view is too old.

        Args:
            with_teams: Whether the peer needs the teams.
        """
        has_teams = with_teams and self.has_teams
        return ViewSnapshot(
            self.view_revision,
            self.config_revision,
            dict(self.value_by_option),
            tuple(self.exception_by_id.values()),
            tuple(self.team_by_name.values()) if has_teams else (),
            tuple(self.target_by_name.values()),
            has_teams,
            self.route_table,
            tuple(self.direct_target_by_key.values()),
            dict(self.requested_version_by_model),
            {
                model: named[-1][1]
                for model, named in self.weights_requests_by_model.items()
            },
            dict(self.weights_requests_by_model),
            self.shared_generation,
        )

    def restore(self, snapshot: ViewSnapshot) -> bool:
        """Replaces this view with a whole view, if that one is newer.

        Args:
            snapshot: The whole view.

        Returns:
            Whether this view was replaced.
        """
        if snapshot.view_revision <= self.view_revision:
            return False
        self.view_revision = snapshot.view_revision
        self.config_revision = snapshot.config_revision
        self.value_by_option = dict(snapshot.value_by_option)
        self.exception_by_id = {
            record.exception_id: record for record in snapshot.exceptions
        }
        self.team_by_name = {team.name: team for team in snapshot.teams}
        self.target_by_name = {
            target.name: target for target in snapshot.targets
        }
        self.has_teams = snapshot.has_teams
        self._set_route_table(snapshot.route_table)
        self.direct_target_by_key = {
            target.key: target for target in snapshot.direct_targets
        }
        self.requested_version_by_model = dict(
            snapshot.requested_version_by_model
        )
        # an earlier release sends the time of the latest request only
        self.weights_requests_by_model = dict(
            snapshot.weights_requests_by_model
        ) or {
            model: ((version, snapshot.named_wall_ms_by_model.get(model, 0)),)
            for model, version in snapshot.requested_version_by_model.items()
        }
        self.shared_generation = max(
            self.shared_generation, snapshot.shared_generation
        )
        self._recent_changes.clear()
        self._index_teams()
        self._index_exceptions()
        return True

    def adopt_teams(self, snapshot: ViewSnapshot) -> bool:
        """Adds the teams that this view lacks, at its current revision.

        Args:
            snapshot: A whole view with teams, at this revision or earlier.

        Returns:
            False if the changes after the snapshot are no longer known.
        """
        later = self.changes_since(snapshot.view_revision)
        if later is None or not snapshot.has_teams:
            return False
        other = FleetView()
        other.restore(snapshot)
        other.apply_changes(later)
        self.team_by_name = other.team_by_name
        self.has_teams = True
        self._index_teams()
        return True

    def changes_since(
        self, view_revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if it is too old."""
        if view_revision >= self.view_revision:
            return []
        missing = self.view_revision - view_revision
        if missing > len(self._recent_changes):
            return None
        return list(self._recent_changes)[-missing:]

    def first_view_revision(self, config_revision: int) -> int:
        """Returns the first view revision that has a config revision.

        If the change is no longer known, returns the current view revision.
        """
        for item in self._recent_changes:
            if item.config_revision >= config_revision:
                return item.view_revision
        return self.view_revision

    def apply_changes(self, numbered: Iterable[changes.NumberedChange]) -> int:
        """Applies the changes that are newer than the view.

        Args:
            numbered: Changes in the order of their revisions.

        Returns:
            The number of changes applied.

        Raises:
            ViewGapError: If a change is missing before one of them.
        """
        applied = 0
        for item in numbered:
            if item.view_revision <= self.view_revision:
                continue
            if item.view_revision != self.view_revision + 1:
                raise ViewGapError(
                    f"view is at revision {self.view_revision},"
                    f" change creates revision {item.view_revision}"
                )
            self._apply(item)
            applied += 1
        return applied

    def add_change(
        self, change: changes.Change, *, by_operator: bool
    ) -> changes.NumberedChange:
        """Numbers a change, applies it and returns it."""
        numbered = changes.NumberedChange(
            self.view_revision + 1,
            self.config_revision + int(by_operator),
            change,
        )
        self._apply(numbered)
        return numbered

    def _apply(self, item: changes.NumberedChange) -> None:
        self.view_revision = item.view_revision
        self.config_revision = item.config_revision
        self._recent_changes.append(item)
        if self._shares_fewer_levels(item.change):
            self.shared_generation = item.config_revision
        match item.change:
            case changes.DefaultSet(option, value):
                self.value_by_option[option] = value
            case changes.ExceptionAdded(record):
                self.exception_by_id[record.exception_id] = record
                self._index_exceptions()
            case changes.ExceptionRemoved(exception_id):
                self.exception_by_id.pop(exception_id, None)
                self._index_exceptions()
            case changes.TeamPut(team):
                self._remove_digests(team.name)
                self.team_by_name[team.name] = team
                for digest in team.key_digests:
                    self._team_by_digest[digest] = team
            case changes.TeamRemoved(name):
                self._remove_digests(name)
                self.team_by_name.pop(name, None)
            case changes.TargetPut(target):
                self.target_by_name[target.name] = target
            case changes.TargetRemoved(name):
                self.target_by_name.pop(name, None)
            case _:
                self._apply_direct(item.change)

    def _shares_fewer_levels(self, change: changes.Change) -> bool:
        """Returns whether some scope may share fewer levels after a change."""
        match change:
            case changes.DefaultSet(option, value) if option == SHARED_LEVELS:
                return int(value) < self.integer(SHARED_LEVELS)
            case changes.ExceptionAdded(record) if (
                record.option == SHARED_LEVELS
            ):
                others = self._shared_levels(record.scope)
                before = self._value_by_scope_by_option.get(
                    SHARED_LEVELS, {}
                ).get(record.scope)
                if before is not None:
                    others = [int(before)]
                return int(record.value) < max(others)
            case changes.ExceptionRemoved(exception_id):
                removed = self.exception_by_id.get(exception_id)
                if removed is None or removed.option != SHARED_LEVELS:
                    return False
                others = self._shared_levels(removed.scope)
                return min(others) < int(removed.value)
        return False

    def _shared_levels(self, scope: records.Scope) -> list[int]:
        """Returns the default and the values of all scopes but one."""
        values = self._value_by_scope_by_option.get(SHARED_LEVELS, {})
        return [
            self.integer(SHARED_LEVELS),
            *(int(value) for other, value in values.items() if other != scope),
        ]

    def _apply_direct(self, change: changes.Change) -> None:
        """Applies a change of routes, weights or targets without an agent."""
        match change:
            case changes.RouteTablePut(table):
                self._set_route_table(table)
            case changes.RouteTableChanged(difference):
                # changes are applied in order, so the previous table is present
                assert self.route_table is not None
                self._set_route_table(
                    table_difference.apply_difference(
                        self.route_table, difference
                    )
                )
            case changes.DirectTargetPut(target):
                self.direct_target_by_key[target.key] = target
            case changes.DirectTargetRemoved(key):
                self.direct_target_by_key.pop(key, None)
            case changes.WeightsNamed(model, version, wall_ms):
                self.requested_version_by_model[model] = version
                history = self.weights_requests_by_model.get(model, ())
                history = (*history, (version, wall_ms))
                self.weights_requests_by_model[model] = history[
                    -MAX_NAMED_VERSIONS:
                ]

    def _set_route_table(self, table: route_records.RouteTable | None) -> None:
        """Sets the table; its cache generation never goes back.

        A control instance of a release without generations names none.
        """
        current = self.route_table
        if (
            table is not None
            and current is not None
            and table.cache_generation < current.cache_generation
        ):
            table = msgspec.structs.replace(
                table, cache_generation=current.cache_generation
            )
        self.route_table = table

    def _remove_digests(self, team_name: str) -> None:
        team = self.team_by_name.get(team_name)
        if team is not None:
            for digest in team.key_digests:
                self._team_by_digest.pop(digest, None)

    def _index_teams(self) -> None:
        self._team_by_digest = {
            digest: team
            for team in self.team_by_name.values()
            for digest in team.key_digests
        }

    def _index_exceptions(self) -> None:
        self._value_by_scope_by_option = {}
        for record in self.exception_by_id.values():
            value_by_scope = self._value_by_scope_by_option.setdefault(
                record.option, {}
            )
            value_by_scope[record.scope] = record.value

    def find_team_by_digest(self, digest: str) -> records.Team | None:
        """Returns the team with the digest of a bearer key, if any."""
        return self._team_by_digest.get(digest)

    def find_team_by_key(self, key: str) -> records.Team | None:
        """Returns the team that a bearer key identifies, if any."""
        digest = key_digest(key)
        team = self.find_team_by_digest(digest)
        if team is None:
            return None
        # looks up by digest, then compares in constant time against timing
        # attacks
        for team_digest in team.key_digests:
            if hmac.compare_digest(team_digest, digest):
                return team
        return None

    def value(
        self, option: str, subject: Subject | None = None
    ) -> options.OptionValue:
        """Returns an option's effective value for a subject.

        Args:
            option: The option's name.
            subject: What the value is for; None looks up the default.

        Returns:
            The value of the narrowest exception, else the default.
        """
        value_by_scope = self._value_by_scope_by_option.get(option)
        if subject is not None and value_by_scope is not None:
            for kind in options.PRECEDENCE:
                name = getattr(subject, kind.value)
                if not name:
                    continue
                scope = records.Scope(kind, name)
                if scope in value_by_scope:
                    return value_by_scope[scope]
        definition = options.OPTION_BY_NAME[option]
        return self.value_by_option.get(option, definition.default)

    def number(self, option: str, subject: Subject | None = None) -> float:
        """Returns an option's value as a number."""
        return float(self.value(option, subject))

    def integer(self, option: str, subject: Subject | None = None) -> int:
        """Returns an option's value as an integer."""
        return int(self.value(option, subject))

    def boolean_option(
        self, option: str, subject: Subject | None = None
    ) -> bool:
        """Returns an option's value as a flag."""
        return bool(self.value(option, subject))

    def text(self, option: str, subject: Subject | None = None) -> str:
        """Returns an option's value as text."""
        return str(self.value(option, subject))


__all__ = [
    "MAX_RECENT_CHANGES",
    "FleetView",
    "Subject",
    "ViewGapError",
    "ViewSnapshot",
    "key_digest",
    "target_subject",
]
