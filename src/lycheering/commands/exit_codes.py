"""The exit codes of the commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5


__all__ = ["ExitCode"]
