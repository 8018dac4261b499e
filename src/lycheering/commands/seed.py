"""The command that applies a seed file."""

from __future__ import annotations

import dataclasses
import json
from typing import Annotated

import cappa

from lycheering.commands import base
from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import seed
from lycheering.operator import seeder
from lycheering.settings import findings


@cappa.command(
    name="seed",
    help="Apply the changes of a seed file that were not applied before.",
)
@dataclasses.dataclass(kw_only=True)
class Seed(base.OperatorCommand):
    """Applies the changes of a seed file that were not applied before."""

    file: Annotated[str, cappa.Arg(help="The seed file.")]

    async def run(self) -> int:
        """Runs the command."""
        operator_client = self.client()
        try:
            fleet_seed = seed.load(self.file)
        except findings.SettingsError as error:
            output.print_error(str(error))
            return exit_codes.ExitCode.FAILED
        outcome = await seeder.Seeder(operator_client).apply(fleet_seed)
        if self.json:
            print(json.dumps(dataclasses.asdict(outcome), indent=2))
            return exit_codes.ExitCode.OK
        for change in outcome.made:
            print(f"made: {change}")
        print(
            f"config revision {outcome.config_revision}:"
            f" {len(outcome.made)} made, {len(outcome.known)} made before"
        )
        return exit_codes.ExitCode.OK


__all__ = ["Seed"]
