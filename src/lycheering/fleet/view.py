"""The fleet view: a pure function of the changes applied to it."""

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

RECENT_CHANGES = 1_000
# earlier names of a model's weights that are told with a whole view
KEPT_NAMES = 32


class Subject(msgspec.Struct, frozen=True):
    """What an option's value is asked for.

    Attributes:
        target: The target's name, if one is meant.
        team: The team's name, if one is meant.
        service: The plain service's name, if one is meant.
        model: The model's name, if one is meant.
        failure_domain: The failure domain, if one is meant.
    """

    target: str = ""
    team: str = ""
    service: str = ""
    model: str = ""
    failure_domain: str = ""


def subject_of_target(target: records.Target) -> Subject:
    """Returns the subject for options of one target."""
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
        config_revision: The revision that operators expect and name.
        value_by_option: Defaults that operators set.
        exceptions: All exceptions.
        teams: All teams.
        targets: All targets.
        has_teams: Whether teams are in it at all.
        route_table: The route table in force, if any.
        direct_targets: The targets that entries reach by themselves.
        version_by_model: The weights wanted of each model.
        named_wall_ms_by_model: When they were named, by the wall clock; for
            instances of an earlier release.
        named_by_model: Version and wall-clock time of each name of late, the
            oldest first.
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
    version_by_model: dict[str, int] = {}
    named_wall_ms_by_model: dict[str, int] = {}
    named_by_model: dict[str, tuple[tuple[int, int], ...]] = {}


class ViewGapError(Exception):
    """Changes do not follow on the view that they were applied to."""


def key_digest(key: str) -> str:
    """Returns the digest under which a bearer key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


class FleetView:
    """Defaults, exceptions, teams and targets at one revision.

    Attributes:
        view_revision: Number of the last change applied.
        config_revision: Number of the last change by an operator.
        value_by_option: Defaults that operators set.
        exception_by_id: Exceptions.
        team_by_name: Teams.
        target_by_name: Targets and their agents.
        has_teams: Whether all teams are held, as only some roles need.
        route_table: The route table in force, if any.
        direct_target_by_key: Targets that entries reach by themselves.
        version_by_model: The weights wanted of each model.
        named_by_model: Version and wall-clock time of each name of late.
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
        self.version_by_model: dict[str, int] = {}
        self.named_by_model: dict[str, tuple[tuple[int, int], ...]] = {}
        self._team_by_digest: dict[str, records.Team] = {}
        self._value_by_scope_by_option: dict[
            str, dict[records.Scope, options.OptionValue]
        ] = {}
        self._recent: collections.deque[changes.NumberedChange] = (
            collections.deque(maxlen=RECENT_CHANGES)
        )

    def snapshot(self, *, with_teams: bool = True) -> ViewSnapshot:
        """Returns the whole view, for a peer that holds too old a one.

        Args:
            with_teams: Whether the peer uses the teams.
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
            dict(self.version_by_model),
            {
                model: named[-1][1]
                for model, named in self.named_by_model.items()
            },
            dict(self.named_by_model),
        )

    def restore(self, snapshot: ViewSnapshot) -> bool:
        """Takes over a whole view, unless the present one is as new.

        Args:
            snapshot: The view to take over.

        Returns:
            Whether it was taken over.
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
        self.route_table = snapshot.route_table
        self.direct_target_by_key = {
            target.key: target for target in snapshot.direct_targets
        }
        self.version_by_model = dict(snapshot.version_by_model)
        # an earlier release tells only when the newest weights were named
        self.named_by_model = dict(snapshot.named_by_model) or {
            model: ((version, snapshot.named_wall_ms_by_model.get(model, 0)),)
            for model, version in snapshot.version_by_model.items()
        }
        self._recent.clear()
        self._index_teams()
        self._index_exceptions()
        return True

    def adopt_teams(self, snapshot: ViewSnapshot) -> bool:
        """Takes teams over that are not held, at the present revision.

        Args:
            snapshot: A whole view with teams, at this revision or earlier.

        Returns:
            False if changes after the snapshot are no longer known.
        """
        later = self.changes_since(snapshot.view_revision)
        if later is None or not snapshot.has_teams:
            return False
        other = FleetView()
        other.restore(snapshot)
        other.apply_all(later)
        self.team_by_name = other.team_by_name
        self.has_teams = True
        self._index_teams()
        return True

    def changes_since(
        self, view_revision: int
    ) -> list[changes.NumberedChange] | None:
        """Returns the changes after a revision, or None if too old."""
        if view_revision >= self.view_revision:
            return []
        missing = self.view_revision - view_revision
        if missing > len(self._recent):
            return None
        return list(self._recent)[-missing:]

    def view_revision_of(self, config_revision: int) -> int:
        """Returns the first view revision that holds a config revision.

        Where the change is no longer kept, it is the present one.
        """
        for item in self._recent:
            if item.config_revision >= config_revision:
                return item.view_revision
        return self.view_revision

    def apply_all(self, numbered: Iterable[changes.NumberedChange]) -> int:
        """Applies the changes that are newer than the view.

        Args:
            numbered: Changes in order of their revisions.

        Returns:
            How many were applied.

        Raises:
            ViewGapError: If a change is missing before one of them.
        """
        applied = 0
        for item in numbered:
            if item.view_revision <= self.view_revision:
                continue
            if item.view_revision != self.view_revision + 1:
                raise ViewGapError(
                    f"view at {self.view_revision},"
                    f" change makes {item.view_revision}"
                )
            self._apply(item)
            applied += 1
        return applied

    def make(
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
        self._recent.append(item)
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
                self._drop_digests(team.name)
                self.team_by_name[team.name] = team
                for digest in team.key_digests:
                    self._team_by_digest[digest] = team
            case changes.TeamRemoved(name):
                self._drop_digests(name)
                self.team_by_name.pop(name, None)
            case changes.TargetPut(target):
                self.target_by_name[target.name] = target
            case changes.TargetRemoved(name):
                self.target_by_name.pop(name, None)
            case _:
                self._apply_direct(item.change)

    def _apply_direct(self, change: changes.Change) -> None:
        """Applies what concerns targets that entries reach by themselves."""
        match change:
            case changes.RouteTablePut(table):
                self.route_table = table
            case changes.RouteTableChanged(difference):
                # changes come in order, so the table before it is held
                assert self.route_table is not None
                self.route_table = table_difference.apply(
                    self.route_table, difference
                )
            case changes.DirectTargetPut(target):
                self.direct_target_by_key[target.key] = target
            case changes.DirectTargetRemoved(key):
                self.direct_target_by_key.pop(key, None)
            case changes.WeightsNamed(model, version, wall_ms):
                self.version_by_model[model] = version
                names = self.named_by_model.get(model, ())
                names = (*names, (version, wall_ms))
                self.named_by_model[model] = names[-KEPT_NAMES:]

    def _drop_digests(self, team_name: str) -> None:
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

    def team_of_digest(self, digest: str) -> records.Team | None:
        """Returns the team that a key's digest names, if any."""
        return self._team_by_digest.get(digest)

    def team_of_key(self, key: str) -> records.Team | None:
        """Returns the team that a bearer key names, if any."""
        digest = key_digest(key)
        team = self.team_of_digest(digest)
        if team is None:
            return None
        # the look-up is by digest, the comparison in constant time
        for known in team.key_digests:
            if hmac.compare_digest(known, digest):
                return team
        return None

    def value(
        self, option: str, subject: Subject | None = None
    ) -> options.OptionValue:
        """Returns an option's value in force for a subject.

        Args:
            option: The option's name.
            subject: What the value is for; the default when None.

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
        known = options.OPTION_BY_NAME[option]
        return self.value_by_option.get(option, known.default)

    def number(self, option: str, subject: Subject | None = None) -> float:
        """Returns an option's value as a number."""
        return float(self.value(option, subject))

    def integer(self, option: str, subject: Subject | None = None) -> int:
        """Returns an option's value as an integer."""
        return int(self.value(option, subject))

    def flag(self, option: str, subject: Subject | None = None) -> bool:
        """Returns an option's value as a flag."""
        return bool(self.value(option, subject))

    def text(self, option: str, subject: Subject | None = None) -> str:
        """Returns an option's value as text."""
        return str(self.value(option, subject))


__all__ = [
    "RECENT_CHANGES",
    "FleetView",
    "Subject",
    "ViewGapError",
    "ViewSnapshot",
    "key_digest",
    "subject_of_target",
]
