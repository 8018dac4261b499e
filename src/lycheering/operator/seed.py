"""A seed file: the defaults, exceptions and teams that a fleet starts with."""

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
ID_CHARS = 24

_SEED_OPTIONS = ("name", "operator", "reason")
_EXCEPTION_OPTIONS = ("scope", "option", "value", "reason")
_TEAM_OPTIONS = ("key_digests",)
_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class SeedDefault(msgspec.Struct, frozen=True, tag=True):
    """A default to set.

    Attributes:
        option: The option's name.
        value: Its value.
        reason: The written reason.
    """

    option: str
    value: options.OptionValue
    reason: str

    def __str__(self) -> str:
        """Names the change for an operator."""
        return f"default {self.option} = {self.value}"

    def call(self, signature: calls.Signature) -> client.Call:
        """Returns the call that makes the change."""
        return calls.set_default(signature, self.option, self.value)


class SeedException(msgspec.Struct, frozen=True, tag=True):
    """An exception to add.

    Attributes:
        scope: What it applies to.
        option: The option's name.
        value: The option's value within the scope.
        reason: The written reason.
    """

    scope: records.Scope
    option: str
    value: options.OptionValue
    reason: str

    def __str__(self) -> str:
        """Names the change for an operator."""
        scope = f"{self.scope.kind}:{self.scope.name}"
        return f"exception {scope} {self.option} = {self.value}"

    def call(self, signature: calls.Signature) -> client.Call:
        """Returns the call that makes the change."""
        return calls.add_exception(
            signature, self.scope, self.option, self.value
        )


class SeedTeam(msgspec.Struct, frozen=True, tag=True):
    """A team to add.

    Attributes:
        name: The team's name.
        key_digests: SHA-256 digests of its bearer keys.
        reason: The written reason.
    """

    name: str
    key_digests: tuple[str, ...]
    reason: str

    def __str__(self) -> str:
        """Names the change for an operator."""
        return f"team {self.name}"

    def call(self, signature: calls.Signature) -> client.Call:
        """Returns the call that makes the change."""
        return calls.put_team(signature, self.name, (), self.key_digests)


SeedChange = SeedDefault | SeedException | SeedTeam


@dataclasses.dataclass(frozen=True)
class Seed:
    """What a seed file asks for.

    Attributes:
        name: Tells seeds apart.
        operator: Who makes the changes.
        changes: The changes, in the order of the file.
    """

    name: str
    operator: str
    changes: tuple[SeedChange, ...]

    def change_id_prefix(self, change: SeedChange) -> str:
        """Returns how the ids of a change begin, in each run."""
        digest = hashlib.sha256(msgspec.json.encode(change)).hexdigest()
        return f"{self.name}-{digest[:ID_CHARS]}@"


def is_seed(document: ini.Document) -> bool:
    """Returns whether a file is a seed file."""
    return SEED_SECTION in document.text_by_option_by_section


def load(path: str | pathlib.Path) -> Seed:
    """Reads and checks a seed file.

    Raises:
        SettingsError: With every finding, if there are any.
    """
    return parse(ini.read(path))


def parse(document: ini.Document) -> Seed:
    """Checks a seed file that was read.

    Raises:
        SettingsError: With every finding, if there are any.
    """
    reader = _SeedReader(document)
    made = reader.read()
    if document.findings:
        document.findings.sort(key=lambda finding: finding.line)
        raise findings.SettingsError(document.findings)
    return made


class _SeedReader:
    """Collects changes and findings."""

    def __init__(self, document: ini.Document) -> None:
        self._document = document
        self._sections = document.text_by_option_by_section
        self._changes: list[SeedChange] = []

    def read(self) -> Seed:
        if SEED_SECTION not in self._sections:
            self._document.add(SEED_SECTION, "", "missing")
        head = self._texts(SEED_SECTION, _SEED_OPTIONS)
        self._head_reason = head["reason"]
        for section in self._sections:
            if section == DEFAULTS_SECTION:
                self._read_defaults()
            elif section.startswith(EXCEPTION_PREFIX):
                self._read_exception(section)
            elif section.startswith(TEAM_PREFIX):
                self._read_team(section)
            elif section != SEED_SECTION:
                self._document.add(section, "", "unknown section")
        return Seed(head["name"], head["operator"], tuple(self._changes))

    def _texts(self, section: str, names: tuple[str, ...]) -> dict[str, str]:
        """Returns the texts of a section that must have just these."""
        found = self._sections.get(section, {})
        for option in found:
            if option not in names:
                self._document.add(section, option, "unknown option")
        if section in self._sections:
            for name in names:
                if not found.get(name, "").strip():
                    self._document.add(section, name, "missing")
        return {name: found.get(name, "") for name in names}

    def _read_defaults(self) -> None:
        for option, text in self._sections[DEFAULTS_SECTION].items():
            try:
                value = values.parse(option, text)
            except ValueError as error:
                self._document.add(DEFAULTS_SECTION, option, str(error))
                continue
            change = SeedDefault(option, value, self._head_reason)
            self._changes.append(change)

    def _read_exception(self, section: str) -> None:
        before = len(self._document.findings)
        texts = self._texts(section, _EXCEPTION_OPTIONS)
        if len(self._document.findings) > before:
            return
        option = texts["option"]
        scope = value = None
        try:
            scope = scopes.parse(texts["scope"])
            scopes.check(scope, option)
        except ValueError as error:
            self._document.add(section, "scope", str(error))
        try:
            value = values.parse(option, texts["value"])
        except ValueError as error:
            self._document.add(section, "value", str(error))
        if scope is not None and value is not None:
            change = SeedException(scope, option, value, texts["reason"])
            self._changes.append(change)

    def _read_team(self, section: str) -> None:
        texts = self._texts(section, _TEAM_OPTIONS)
        name = section.removeprefix(TEAM_PREFIX).strip()
        if not _NAME.fullmatch(name):
            self._document.add(section, "", f"not a name: {name!r}")
        digests = tuple(texts["key_digests"].replace(",", " ").split())
        for digest in digests:
            if not _DIGEST.fullmatch(digest):
                problem = f"not a SHA-256 digest: {digest!r}"
                self._document.add(section, "key_digests", problem)
        self._changes.append(SeedTeam(name, digests, self._head_reason))


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
