"""Checks defaults and exceptions, and compares them with those in force."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lycheering.config_check import findings
from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import seed as seeds

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    Values = dict[str, options.OptionValue]

ORDER_DEADLINE = "deadline_ms.order"


@dataclasses.dataclass(frozen=True)
class Subject:
    """A target, as far as exceptions can apply to it.

    Attributes:
        target: Its name.
        model: The model that an engine serves.
        service: The name of a plain service.
        failure_domain: The failure domain that it is in.
    """

    target: str
    model: str = ""
    service: str = ""
    failure_domain: str = ""

    def is_in(self, scope: records.Scope) -> bool:
        """Returns whether an exception of a scope applies to it."""
        return getattr(self, scope.kind.value, None) == scope.name


@dataclasses.dataclass(frozen=True)
class ActiveFleet:
    """The configuration in force, and what it applies to.

    Attributes:
        value_by_option: The defaults in force.
        value_by_exception: The values of exceptions, by scope and option.
        key_count_by_team: The number of bearer keys of each team.
        subjects: The targets.
    """

    value_by_option: Values
    value_by_exception: dict[tuple[records.Scope, str], options.OptionValue]
    key_count_by_team: dict[str, int]
    subjects: tuple[Subject, ...]


def _is_never_exported(values: Values) -> bool:
    return (
        bool(values["kv.leave_export_ms"])
        and not values["kv.leave_export_blocks"]
    )


# pairs of defaults that contradict each other: the option, the problem and
# when it is there
_CONTRADICTIONS: tuple[tuple[str, str, Callable[[Values], bool]], ...] = (
    (
        "orders.retention_ms",
        f"below {ORDER_DEADLINE}: outcomes are forgotten before their deadline",
        lambda values: _is_less(values, "orders.retention_ms", ORDER_DEADLINE),
    ),
    (
        "routing.max_width",
        "over routing.candidates: more targets for a prefix than are compared",
        lambda values: _is_less(
            values, "routing.candidates", "routing.max_width"
        ),
    ),
    (
        "kv.leave_export_blocks",
        "0, so nothing is exported in kv.leave_export_ms",
        _is_never_exported,
    ),
    (
        "target.drained",
        "all targets are drained but for exceptions",
        lambda values: bool(values["target.drained"]),
    ),
    (
        "target.role",
        "no target serves requests but for exceptions",
        lambda values: values["target.role"] == "standby",
    ),
    *(
        (
            name,
            "not above routing.ask_ms: asking for caches takes all of it",
            lambda values, name=name: _is_less(
                values, name, "routing.ask_ms", or_equal=True
            ),
        )
        for name in options.OPTION_BY_NAME
        if name.startswith("deadline_ms.")
    ),
)


def _is_less(
    values: Values, low: str, high: str, *, or_equal: bool = False
) -> bool:
    lower, higher = float(values[low]), float(values[high])
    return lower < higher or (or_equal and lower == higher)


def check(
    seed: seeds.Seed, active: ActiveFleet | None = None
) -> findings.Report:
    """Checks the changes of a seed file, and compares them with the fleet.

    Args:
        seed: The content of the file.
        active: The configuration in force, if it is known.
    """
    checker = _Checker(seed, active)
    found = [
        *checker.repeated(),
        *checker.contradictions(),
        *checker.exceptions(),
    ]
    if active is None:
        return findings.Report(found)
    return findings.Report(found, list(checker.differences(active)))


class _Checker:
    """Looks at one seed file."""

    def __init__(self, seed: seeds.Seed, active: ActiveFleet | None) -> None:
        self._seed = seed
        self._active = active
        self._defaults: Values = {
            name: option.default
            for name, option in options.OPTION_BY_NAME.items()
        }
        self._exceptions: dict[
            tuple[records.Scope, str], options.OptionValue
        ] = {}
        if active is not None:
            self._defaults |= active.value_by_option
            self._exceptions |= active.value_by_exception
        self._new = {
            (change.scope, change.option): change.value
            for change in seed.changes
            if isinstance(change, seeds.SeedException)
        }
        self._exceptions |= self._new
        self._set = {
            change.option: change.value
            for change in seed.changes
            if isinstance(change, seeds.SeedDefault)
        }
        self._defaults |= self._set

    def repeated(self) -> Iterator[findings.Finding]:
        """Yields the entries that others of the file replace."""
        seen: set[tuple[records.Scope, str]] = set()
        owner_by_digest: dict[str, str] = {}
        for change in self._seed.changes:
            if isinstance(change, seeds.SeedException):
                key = (change.scope, change.option)
                if key in seen:
                    yield findings.error(_position(*key), "occurs twice")
                seen.add(key)
            if not isinstance(change, seeds.SeedTeam):
                continue
            for digest in change.key_digests:
                owner = owner_by_digest.setdefault(digest, change.name)
                if owner != change.name:
                    yield findings.error(
                        f"team {change.name}", f"has a key of team {owner}"
                    )

    def contradictions(self) -> Iterator[findings.Finding]:
        """Yields the defaults that contradict each other."""
        for option, problem, is_there in _CONTRADICTIONS:
            if is_there(self._defaults):
                yield findings.warning(f"default {option}", problem)

    def exceptions(self) -> Iterator[findings.Finding]:
        """Yields the new exceptions that have no effect."""
        for (scope, option), value in self._new.items():
            problem = (
                self._matches_nothing(scope)
                or self._is_hidden(scope, option)
                or self._changes_nothing(scope, option, value)
            )
            if problem:
                yield findings.warning(_position(scope, option), problem)

    def differences(self, active: ActiveFleet) -> Iterator[str]:
        """Yields what would change."""
        for option, value in self._set.items():
            before = active.value_by_option.get(
                option, options.OPTION_BY_NAME[option].default
            )
            if before != value:
                yield f"changed default {option}: {before} -> {value}"
        for key, value in self._new.items():
            earlier = active.value_by_exception.get(key)
            if earlier is None:
                yield f"added {_position(*key)} = {value}"
            elif earlier != value:
                yield f"changed {_position(*key)}: {earlier} -> {value}"
        for change in self._seed.changes:
            if not isinstance(change, seeds.SeedTeam):
                continue
            key_count = len(change.key_digests)
            known_count = active.key_count_by_team.get(change.name)
            if known_count is None:
                yield f"added team {change.name}"
            elif known_count != key_count:
                yield (
                    f"changed team {change.name}: {known_count} keys ->"
                    f" {key_count}"
                )

    def _matches_nothing(self, scope: records.Scope) -> str:
        if self._active is None:
            return ""
        if scope.kind is options.ScopeKind.TEAM:
            names = self._active.key_count_by_team.keys() | {
                change.name
                for change in self._seed.changes
                if isinstance(change, seeds.SeedTeam)
            }
            return "" if scope.name in names else "there is no such team"
        if any(subject.is_in(scope) for subject in self._active.subjects):
            return ""
        return "no target is in this scope"

    def _is_hidden(self, scope: records.Scope, option: str) -> str:
        """Tells whether narrower exceptions apply to all of its targets."""
        if self._active is None or scope.kind is options.ScopeKind.TEAM:
            return ""
        precedence = options.PRECEDENCE.index(scope.kind)
        narrower = [
            other
            for other, other_option in self._exceptions
            if other_option == option
            and options.PRECEDENCE.index(other.kind) < precedence
        ]
        matched = [s for s in self._active.subjects if s.is_in(scope)]
        if all(any(map(subject.is_in, narrower)) for subject in matched):
            return "narrower exceptions apply to all of its targets"
        return ""

    def _changes_nothing(
        self, scope: records.Scope, option: str, value: options.OptionValue
    ) -> str:
        if value != self._defaults[option]:
            return ""
        others = {
            other
            for other, other_option in self._exceptions
            if other_option == option and other != scope
        }
        return "" if others else f"the default is {value} already"


def _position(scope: records.Scope, option: str) -> str:
    return f"exception {scope.kind.value}:{scope.name} {option}"


__all__ = ["ActiveFleet", "Subject", "check"]
