"""The exit codes of every command."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5


__all__ = ["ExitCode"]
