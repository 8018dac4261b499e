"""Seed files: the initial defaults, exceptions and teams of a fleet."""

from __future__ import annotations

import dataclasses
import hashlib
import re
from typing import TYPE_CHECKING

import msgspec

from lycheering.fleet import options
from lycheering.fleet import records
from lycheering.operator import calls
from lycheering.operator import scopes
from lycheering.operator import values
from lycheering.settings import findings
from lycheering.settings import ini

if TYPE_CHECKING:
    import pathlib

    from lycheering.operator import client

SEED_SECTION = "seed"
DEFAULTS_SECTION = "defaults"
EXCEPTION_PREFIX = "exception "
TEAM_PREFIX = "team "
CHANGE_DIGEST_CHARS = 24

_SEED_OPTIONS = ("name", "operator", "reason")
_EXCEPTION_OPTIONS = ("scope", "option", "value", "reason")
_TEAM_OPTIONS = ("key_digests",)
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_TEAM_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class SeedDefault(msgspec.Struct, frozen=True, tag=True):
    """A default to set.

    Attributes:
        option: The option's name.
        value: The new default.
        reason: The reason for the change.
    """

    option: str
    value: options.OptionValue
    reason: str

    def __str__(self) -> str:
        """Returns a short description of the change."""
        return f"default {self.option} = {self.value}"

    def call(self, metadata: calls.ChangeMetadata) -> client.Call:
        """Returns the call that makes the change."""
        return calls.set_default(metadata, self.option, self.value)


class SeedException(msgspec.Struct, frozen=True, tag=True):
    """An exception to add.

    Attributes:
        scope: The scope that the exception applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The reason for the change.
    """

    scope: records.Scope
    option: str
    value: options.OptionValue
    reason: str

    def __str__(self) -> str:
        """Returns a short description of the change."""
        scope = f"{self.scope.kind}:{self.scope.name}"
        return f"exception {scope} {self.option} = {self.value}"

    def call(self, metadata: calls.ChangeMetadata) -> client.Call:
        """Returns the call that makes the change."""
        return calls.add_exception(
            metadata, self.scope, self.option, self.value
        )


class SeedTeam(msgspec.Struct, frozen=True, tag=True):
    """A team to add.

    Attributes:
        name: The team's name.
        key_digests: SHA-256 digests of its bearer keys.
        reason: The reason for the change.
    """

    name: str
    key_digests: tuple[str, ...]
    reason: str

    def __str__(self) -> str:
        """Returns a short description of the change."""
        return f"team {self.name}"

    def call(self, metadata: calls.ChangeMetadata) -> client.Call:
        """Returns the call that makes the change."""
        return calls.put_team(metadata, self.name, (), self.key_digests)


SeedChange = SeedDefault | SeedException | SeedTeam


@dataclasses.dataclass(frozen=True)
class Seed:
    """The content of a seed file.

    Attributes:
        name: The name of the seed, part of the ids of its changes.
        operator: The operator in whose name the changes are made.
        changes: The changes, in the order of the file.
    """

    name: str
    operator: str
    changes: tuple[SeedChange, ...]

    def change_id_prefix(self, change: SeedChange) -> str:
        """Returns the prefix of a change's id, which is the same in each run.

        The prefix contains a digest of the change, so a later run finds in
        the history that the change was already made.
        """
        digest = hashlib.sha256(msgspec.json.encode(change)).hexdigest()
        return f"{self.name}-{digest[:CHANGE_DIGEST_CHARS]}@"


def is_seed(document: ini.Document) -> bool:
    """Returns whether a file is a seed file."""
    return SEED_SECTION in document.text_by_option_by_section


def load(path: str | pathlib.Path) -> Seed:
    """Reads and validates a seed file.

    Raises:
        SettingsError: If the file has problems; contains every finding.
    """
    return parse(ini.read(path))


def parse(document: ini.Document) -> Seed:
    """Validates a seed file and returns its content.

    Raises:
        SettingsError: If the file has problems; contains every finding.
    """
    reader = _SeedReader(document)
    seed = reader.read()
    if document.findings:
        document.findings.sort(key=lambda finding: finding.line)
        raise findings.SettingsError(document.findings)
    return seed


class _SeedReader:
    """Collects the changes and the findings of a seed file."""

    def __init__(self, document: ini.Document) -> None:
        self._document = document
        self._sections = document.text_by_option_by_section
        self._changes: list[SeedChange] = []

    def read(self) -> Seed:
        if SEED_SECTION not in self._sections:
            self._document.add(SEED_SECTION, "", "missing")
        seed_options = self._option_values(SEED_SECTION, _SEED_OPTIONS)
        self._seed_reason = seed_options["reason"]
        for section in self._sections:
            if section == DEFAULTS_SECTION:
                self._read_defaults()
            elif section.startswith(EXCEPTION_PREFIX):
                self._read_exception(section)
            elif section.startswith(TEAM_PREFIX):
                self._read_team(section)
            elif section != SEED_SECTION:
                self._document.add(section, "", "unknown section")
        return Seed(
            seed_options["name"], seed_options["operator"], tuple(self._changes)
        )

    def _option_values(
        self, section: str, names: tuple[str, ...]
    ) -> dict[str, str]:
        """Returns the values of a section with exactly the named options."""
        section_values = self._sections.get(section, {})
        for option in section_values:
            if option not in names:
                self._document.add(section, option, "unknown option")
        if section in self._sections:
            for name in names:
                if not section_values.get(name, "").strip():
                    self._document.add(section, name, "missing")
        return {name: section_values.get(name, "") for name in names}

    def _read_defaults(self) -> None:
        for option, text in self._sections[DEFAULTS_SECTION].items():
            try:
                value = values.parse(option, text)
            except ValueError as error:
                self._document.add(DEFAULTS_SECTION, option, str(error))
                continue
            change = SeedDefault(option, value, self._seed_reason)
            self._changes.append(change)

    def _read_exception(self, section: str) -> None:
        finding_count = len(self._document.findings)
        value_by_option = self._option_values(section, _EXCEPTION_OPTIONS)
        if len(self._document.findings) > finding_count:
            return
        option = value_by_option["option"]
        scope = value = None
        try:
            scope = scopes.parse(value_by_option["scope"])
            scopes.check(scope, option)
        except ValueError as error:
            self._document.add(section, "scope", str(error))
        try:
            value = values.parse(option, value_by_option["value"])
        except ValueError as error:
            self._document.add(section, "value", str(error))
        if scope is not None and value is not None:
            change = SeedException(
                scope, option, value, value_by_option["reason"]
            )
            self._changes.append(change)

    def _read_team(self, section: str) -> None:
        value_by_option = self._option_values(section, _TEAM_OPTIONS)
        name = section.removeprefix(TEAM_PREFIX).strip()
        if not _TEAM_NAME.fullmatch(name):
            self._document.add(section, "", f"not a name: {name!r}")
        digests = tuple(
            value_by_option["key_digests"].replace(",", " ").split()
        )
        for digest in digests:
            if not _SHA256_HEX.fullmatch(digest):
                problem = f"not a SHA-256 digest: {digest!r}"
                self._document.add(section, "key_digests", problem)
        self._changes.append(SeedTeam(name, digests, self._seed_reason))


__all__ = [
    "Seed",
    "SeedChange",
    "SeedDefault",
    "SeedException",
    "SeedTeam",
    "is_seed",
    "load",
    "parse",
]
