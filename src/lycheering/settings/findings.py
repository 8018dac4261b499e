"""What is wrong with a settings file, and where."""

from __future__ import annotations

import dataclasses


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
        section = f"[{self.section}]" if self.section else ""
        name = f"{section} {self.option}".strip()
        parts = [place, name, self.problem]
        return ": ".join(part for part in parts if part)


class SettingsError(Exception):
    """A settings file can't be used.

    Attributes:
        findings: Everything found wrong, in the order of the file.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


__all__ = ["Finding", "SettingsError"]
