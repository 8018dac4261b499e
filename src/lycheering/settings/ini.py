"""Reads INI files and keeps the line number of each section and option."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib

from lycheering.settings import findings

_NO_DEFAULT_SECTION = "\0"


@dataclasses.dataclass
class Document:
    """The content of an INI file.

    Attributes:
        file: The file's path.
        text_by_option_by_section: The values as text.
        line_by_key: Line numbers by `section` and by `section.option`.
        findings: The problems found in the file so far.
    """

    file: str
    text_by_option_by_section: dict[str, dict[str, str]]
    line_by_key: dict[str, int]
    findings: list[findings.Finding]

    def line(self, section: str, option: str = "") -> int:
        """Returns the line number of an option.

        Options that are not in the file have the line of their section;
        0 if that is missing as well.
        """
        section_line = self.line_by_key.get(section, 0)
        if not option:
            return section_line
        return self.line_by_key.get(f"{section}.{option}", section_line)

    def add(self, section: str, option: str, problem: str) -> None:
        """Adds a finding at the line of an option."""
        line = self.line(section, option)
        self.findings.append(
            findings.Finding(self.file, section, option, line, problem)
        )


def _scan(document: Document, text: str) -> None:
    """Records line numbers, and findings for repeated names."""
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and stripped.endswith("]"):
            section = stripped[1:-1]
            key, option = section, ""
        elif line[:1].isspace() or not stripped or stripped[0] in "#;":
            continue
        else:
            name = stripped.replace(":", "=").partition("=")[0]
            option = name.strip().lower()
            key = f"{section}.{option}"
        first_line = document.line_by_key.setdefault(key, number)
        if first_line != number:
            problem = f"already set in line {first_line}"
            document.findings.append(
                findings.Finding(
                    document.file, section, option, number, problem
                )
            )


def read(path: str | pathlib.Path) -> Document:
    """Reads an INI file.

    Args:
        path: The file.

    Returns:
        The content, with findings for repeated sections and options.

    Raises:
        SettingsError: If the file can't be read or is no INI file.
    """
    name = str(path)
    document = Document(name, {}, {}, [])
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = getattr(error, "strerror", "") or str(error)
        document.add("", "", problem)
        raise findings.SettingsError(document.findings) from error
    _scan(document, text)
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section=_NO_DEFAULT_SECTION
    )
    try:
        parser.read_string(text, source=name)
    except configparser.MissingSectionHeaderError as error:
        problem = "an option before the first section"
        raise _parse_error(name, [(error.lineno, problem)]) from error
    except configparser.ParsingError as error:
        lines = [
            (line, f"not an option: {source}") for line, source in error.errors
        ]
        raise _parse_error(name, lines) from error
    document.text_by_option_by_section = {
        section: dict(parser[section]) for section in parser.sections()
    }
    return document


def _parse_error(
    file: str, problems: list[tuple[int, str]]
) -> findings.SettingsError:
    """Returns the error for a file that is not INI, from its lines."""
    file_findings = []
    for line, problem in problems:
        file_findings.append(findings.Finding(file, "", "", line, problem))
    return findings.SettingsError(file_findings)


__all__ = ["Document", "read"]
