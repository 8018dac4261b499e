"""The command that makes keys for the internal protocol."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import cappa

from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.settings import findings


@cappa.command(name="make", help="Make key files and a list of public keys.")
@dataclasses.dataclass
class Make:
    """Makes key files and a list of public keys."""

    folder: Annotated[str, cappa.Arg(help="The folder to write the files to.")]
    names: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1,
            help="Peers that get a key pair each; without names, "
            "one pair is made for all peers.",
        ),
    ] = dataclasses.field(default_factory=list)

    def __call__(self) -> int:
        """Runs the command."""
        from lycheering.wire import security

        try:
            files = security.make_keys(pathlib.Path(self.folder), self.names)
        except (OSError, findings.SettingsError) as error:
            output.print_error(str(error))
            return exit_codes.ExitCode.FAILED
        for file in files:
            print(file)
        return exit_codes.ExitCode.OK


@cappa.command(name="keys", help="Make keys for the internal protocol.")
@dataclasses.dataclass
class Keys:
    """Makes keys for the internal protocol."""

    command: cappa.Subcommands[Make]


__all__ = ["Keys", "Make"]
