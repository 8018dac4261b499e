"""The root command, with all commands as subcommands."""

from __future__ import annotations

import dataclasses
from typing import Annotated
from typing import Protocol
from typing import cast

import cappa

from lycheering.commands import check
from lycheering.commands import check_config
from lycheering.commands import counters
from lycheering.commands import defaults
from lycheering.commands import exceptions
from lycheering.commands import explain
from lycheering.commands import keys
from lycheering.commands import members
from lycheering.commands import options
from lycheering.commands import orders
from lycheering.commands import roles
from lycheering.commands import seed
from lycheering.commands import status
from lycheering.commands import targets
from lycheering.commands import teams


@cappa.command(name="entry", help="Run an entry, which serves callers.")
@dataclasses.dataclass
class Entry:
    """Runs an entry, which serves callers."""

    file: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("entry", self.file)


@cappa.command(name="agent", help="Run the agent beside one target.")
@dataclasses.dataclass
class Agent:
    """Runs the agent beside one target."""

    file: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("agent", self.file)


@cappa.command(name="control", help="Run one control instance.")
@dataclasses.dataclass
class Control:
    """Runs one control instance."""

    file: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Runs the role."""
        return roles.run("control", self.file)


@cappa.command(name="check", help="Report all findings in settings files.")
@dataclasses.dataclass
class Check:
    """Checks settings files."""

    files: Annotated[
        list[str],
        cappa.Arg(num_args=-1, required=True, help="The settings files."),
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> int:
        """Runs the command."""
        return check.run(self.files, as_json=self.json)


@cappa.command(name="lycheering")
@dataclasses.dataclass
class Lycheering:
    """Routes language-model traffic with long shared prompts."""

    command: cappa.Subcommands[
        Entry
        | Agent
        | Control
        | Check
        | check_config.CheckConfig
        | defaults.Defaults
        | exceptions.Exceptions
        | teams.Teams
        | targets.Targets
        | targets.Drain
        | targets.Undrain
        | status.Status
        | status.History
        | orders.Order
        | members.Members
        | counters.Counters
        | explain.Explain
        | seed.Seed
        | keys.Keys
        | options.Options
    ]


class _CommandGroup(Protocol):
    command: object


def run(arguments: list[str]) -> int:
    """Parses the arguments and runs the command.

    Args:
        arguments: The arguments of the command line, without the program's
            name.

    Returns:
        The exit code.
    """
    parsed = cappa.parse(Lycheering, argv=arguments, completion=False)
    command: object = parsed.command
    while not callable(command):
        # a group of commands contains the chosen subcommand
        command = cast("_CommandGroup", command).command
    return int(command())


__all__ = ["Lycheering", "run"]
