"""The command line as a tree of commands."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import cappa

from lycheering.commands import check
from lycheering.commands import roles


@cappa.command(name="entry", help="Serve callers on this instance.")
@dataclasses.dataclass
class Entry:
    """Serves callers.

    Args:
        file: The settings file.
    """

    file: str

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("entry", self.file)


@cappa.command(name="agent", help="Run beside one target.")
@dataclasses.dataclass
class Agent:
    """Runs beside one target.

    Args:
        file: The settings file.
    """

    file: str

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("agent", self.file)


@cappa.command(name="control", help="Run one control instance.")
@dataclasses.dataclass
class Control:
    """Runs one control instance.

    Args:
        file: The settings file.
    """

    file: str

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("control", self.file)


@cappa.command(name="check", help="Report all findings in settings files.")
@dataclasses.dataclass
class Check:
    """Checks settings files.

    Args:
        files: The settings files.
        json: Print JSON.
    """

    files: Annotated[list[str], cappa.Arg(num_args=-1, required=True)]
    json: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Runs the command."""
        return check.run(self.files, as_json=self.json)


@cappa.command(name="lycheering")
@dataclasses.dataclass
class Lycheering:
    """Routes language-model traffic with long shared prompts."""

    command: cappa.Subcommands[Entry | Agent | Control | Check]


def run(arguments: list[str]) -> int:
    """Runs the command that the arguments name.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code.
    """
    parsed = cappa.parse(Lycheering, argv=arguments, completion=False)
    return int(parsed.command())


__all__ = ["Lycheering", "run"]
