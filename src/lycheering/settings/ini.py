"""INI files with the line number of everything in them."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib

from lycheering.settings import findings

_NO_DEFAULT_SECTION = "\0"


@dataclasses.dataclass
class Document:
    """What an INI file says.

    Attributes:
        file: The file's path.
        text_by_option_by_section: The values.
        line_by_place: Line numbers by `section` and by `section.option`.
        findings: What is wrong with the file's shape.
    """

    file: str
    text_by_option_by_section: dict[str, dict[str, str]]
    line_by_place: dict[str, int]
    findings: list[findings.Finding]

    def line(self, section: str, option: str = "") -> int:
        """Returns the line of an option, else of its section, else 0."""
        section_line = self.line_by_place.get(section, 0)
        if not option:
            return section_line
        return self.line_by_place.get(f"{section}.{option}", section_line)

    def add(self, section: str, option: str, problem: str) -> None:
        """Adds a finding at the place of an option."""
        line = self.line(section, option)
        self.findings.append(
            findings.Finding(self.file, section, option, line, problem)
        )


def _scan(document: Document, text: str) -> None:
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and stripped.endswith("]"):
            section = stripped[1:-1]
            place, option = section, ""
        elif line[:1].isspace() or not stripped or stripped[0] in "#;":
            continue
        else:
            name = stripped.replace(":", "=").partition("=")[0]
            option = name.strip().lower()
            place = f"{section}.{option}"
        first = document.line_by_place.setdefault(place, number)
        if first != number:
            problem = f"already in line {first}"
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
        What it says, with findings of repeated sections and options.

    Raises:
        SettingsError: If it can't be read as an INI file at all.
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
        problem = "an option stands before the first section"
        raise _unreadable(name, [(error.lineno, problem)]) from error
    except configparser.ParsingError as error:
        lines = [(line, f"not an option: {t}") for line, t in error.errors]
        raise _unreadable(name, lines) from error
    document.text_by_option_by_section = {
        section: dict(parser[section]) for section in parser.sections()
    }
    return document


def _unreadable(
    file: str, problems: list[tuple[int, str]]
) -> findings.SettingsError:
    found = []
    for line, problem in problems:
        found.append(findings.Finding(file, "", "", line, problem))
    return findings.SettingsError(found)


__all__ = ["Document", "read"]
