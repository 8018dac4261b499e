"""Reads an INI file and reports everything wrong with it at once."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib

import pydantic

from lycheering.settings import model


@dataclasses.dataclass(frozen=True)
class Finding:
    """One thing wrong with a settings file.

    Attributes:
        file: The file's path.
        section: The section, empty where none applies.
        option: The option, empty where none applies.
        line: The line number, 0 where the option is missing.
        problem: What is wrong.
    """

    file: str
    section: str
    option: str
    line: int
    problem: str

    def __str__(self) -> str:
        """Returns the finding as one line for an operator."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        name = f"[{self.section}] {self.option}".strip()
        return f"{place}: {name}: {self.problem}"


class SettingsError(Exception):
    """A settings file can't be used.

    Attributes:
        findings: Everything found wrong, in the order of the file.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


def option_lines(text: str) -> dict[str, int]:
    """Returns the line number of each section and option.

    Args:
        text: The file's text.

    Returns:
        Line numbers by `section` and by `section.option`.
    """
    line_by_place: dict[str, int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and stripped.endswith("]"):
            section = stripped[1:-1]
            line_by_place.setdefault(section, number)
        elif line[:1].isspace() or not stripped or stripped[0] in "#;":
            continue
        else:
            option = stripped.replace(":", "=").partition("=")[0].strip()
            line_by_place.setdefault(f"{section}.{option.lower()}", number)
    return line_by_place


def load(path: str | pathlib.Path) -> model.Settings:
    """Reads and checks a settings file.

    Args:
        path: The file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: With every finding, if there are any.
    """
    name = str(path)
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Finding(name, "", "", 0, str(error))]) from error
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        problem = str(error).replace("\n", " ")
        raise SettingsError([Finding(name, "", "", line, problem)]) from error
    raw = {section: dict(parser[section]) for section in parser.sections()}
    try:
        return model.Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        lines = option_lines(text)
        raise SettingsError(_findings(name, error, lines)) from error


def _findings(
    file: str,
    error: pydantic.ValidationError,
    line_by_place: dict[str, int],
) -> list[Finding]:
    findings = []
    for detail in error.errors():
        parts = [str(part) for part in detail["loc"]]
        section = parts[0] if parts else ""
        option = parts[1] if len(parts) > 1 else ""
        place = f"{section}.{option}" if option else section
        line = line_by_place.get(place, line_by_place.get(section, 0))
        problem = detail["msg"]
        if detail["type"] == "extra_forbidden":
            problem = "unknown option" if option else "unknown section"
        elif detail["type"] == "missing":
            problem = "missing"
        findings.append(Finding(file, section, option, line, problem))
    findings.sort(key=lambda finding: finding.line)
    return findings


__all__ = ["Finding", "SettingsError", "load", "option_lines"]
