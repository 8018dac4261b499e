"""The command that lists the fleet's options."""

from __future__ import annotations

import dataclasses
import json
from typing import Annotated

import cappa

from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.fleet import options


@dataclasses.dataclass(frozen=True)
class OptionItem:
    """An option of the fleet, as listed by the command.

    Attributes:
        option: The option's name.
        type: The type of its values.
        default: The built-in default, used if no operator set one.
        allowed: The allowed values, as text.
        scopes: The kinds of scopes that exceptions to it may have.
        help: What the option does.
    """

    option: str
    type: str
    default: options.OptionValue
    allowed: str
    scopes: list[str]
    help: str


def items() -> list[OptionItem]:
    """Returns all options, in the order of their definition."""
    return [_item(option) for option in options.OPTION_BY_NAME.values()]


def _item(option: options.Option) -> OptionItem:
    return OptionItem(
        option.name,
        type(option.default).__name__,
        option.default,
        _allowed_text(option),
        sorted(scope.value for scope in option.scopes),
        option.help,
    )


def _allowed_text(option: options.Option) -> str:
    if option.choices:
        return ", ".join(option.choices)
    if isinstance(option.default, bool):
        return "true, false"
    if isinstance(option.default, int | float):
        return f"{option.low:g} to {option.high:g}"
    return "any text"


@cappa.command(name="options", help="List the fleet's options.")
@dataclasses.dataclass
class Options:
    """Lists the fleet's options."""

    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> int:
        """Runs the command."""
        if self.json:
            option_rows = [dataclasses.asdict(item) for item in items()]
            print(json.dumps({"options": option_rows}, indent=2))
            return exit_codes.ExitCode.OK
        rows = [
            (
                item.option,
                item.type,
                item.default,
                ",".join(item.scopes),
                item.help,
            )
            for item in items()
        ]
        output.print_table(
            ("OPTION", "TYPE", "DEFAULT", "SCOPES", "HELP"), rows
        )
        return exit_codes.ExitCode.OK


__all__ = ["OptionItem", "Options", "items"]
