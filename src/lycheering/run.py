"""Entry point of the command line."""

from __future__ import annotations

import sys

from lycheering import reload_signal

ROLE_ARGUMENT_COUNT = 2


def run(arguments: list[str]) -> int:
    """Runs the command given by the arguments.

    Args:
        arguments: The command line arguments without the program name.

    Returns:
        The exit code.
    """
    if len(arguments) == ROLE_ARGUMENT_COUNT and not arguments[1].startswith(
        "-"
    ):
        reload_signal.hold()
        from lycheering.commands import roles

        role, file = arguments
        if role in roles.SECTION_BY_ROLE:
            # A restarted role serves sooner without importing all commands.
            return roles.run(role, file)
        reload_signal.release()

    from lycheering.commands import root

    return root.run(arguments)


def main() -> None:
    """Runs the command line and exits with its exit code."""
    sys.exit(run(sys.argv[1:]))


__all__ = ["main", "run"]
