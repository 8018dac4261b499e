"""The command line's entry point."""

from __future__ import annotations

import sys

from lycheering.commands import roles

ROLE_ARGUMENTS = 2


def run(arguments: list[str]) -> int:
    """Runs the command that the arguments name.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code.
    """
    if len(arguments) == ROLE_ARGUMENTS and not arguments[1].startswith("-"):
        role, file = arguments
        if role in roles.SECTION_BY_ROLE:
            # a restarted role serves sooner without the command tree
            return roles.run(role, file)

    from lycheering.commands import root

    return root.run(arguments)


def main() -> None:
    """Runs the command line and exits with its code."""
    sys.exit(run(sys.argv[1:]))


__all__ = ["main", "run"]
