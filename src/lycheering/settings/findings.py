"""Findings: the problems in a settings file and their locations."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem in a settings file.

    Attributes:
        file: The file's path.
        section: The section; empty if the problem concerns the whole file.
        option: The option; empty if the problem concerns no single option.
        line: The line number; 0 if the problem has no line in the file.
        problem: A description of the problem.
    """

    file: str
    section: str
    option: str
    line: int
    problem: str

    def __str__(self) -> str:
        """Returns the finding as one line for an operator."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        section = f"[{self.section}]" if self.section else ""
        name = f"{section} {self.option}".strip()
        parts = [location, name, self.problem]
        return ": ".join(part for part in parts if part)


class SettingsError(Exception):
    """A settings file is invalid.

    Attributes:
        findings: All findings, in the order of the file.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


__all__ = ["Finding", "SettingsError"]
