"""Findings of the check of a configuration."""

from __future__ import annotations

import dataclasses
import enum


class Severity(enum.StrEnum):
    """What a finding means for the configuration.

    Attributes:
        ERROR: Control instances refuse it, or part of it can't work.
        WARNING: It is accepted, but part of it has no effect or contradicts
            another part.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem of a configuration.

    Attributes:
        severity: What it means.
        position: The entry and field; empty for the whole configuration.
        problem: A description of the problem.
    """

    severity: Severity
    position: str
    problem: str

    def __str__(self) -> str:
        """Returns the finding as one line for an operator."""
        parts = [self.severity.value, self.position, self.problem]
        return ": ".join(part for part in parts if part)


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of the check of one configuration.

    Attributes:
        findings: The problems.
        differences: What would change; None if nothing is known of the
            configuration in force.
    """

    findings: list[Finding]
    differences: list[str] | None = None

    @property
    def has_errors(self) -> bool:
        """Whether the configuration should not be sent."""
        return any(
            finding.severity is Severity.ERROR for finding in self.findings
        )


def error(position: str, problem: str) -> Finding:
    """Returns a finding that keeps a configuration from being sent."""
    return Finding(Severity.ERROR, position, problem)


def warning(position: str, problem: str) -> Finding:
    """Returns a finding that an operator should look at."""
    return Finding(Severity.WARNING, position, problem)


__all__ = ["Finding", "Report", "Severity", "error", "warning"]
