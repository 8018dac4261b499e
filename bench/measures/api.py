"""What every part of the measurement is given."""

from __future__ import annotations

import dataclasses
import pathlib

SEEDS = (1, 2, 3)
OUT_FOLDER = pathlib.Path("out")


@dataclasses.dataclass(frozen=True)
class Settings:
    """What the parts are run with.

    Attributes:
        seeds: One run of each trace is made for each seed.
        workers: Fleets that run side by side.
        duration_ms: Length of each trace.
        traces: Names of the traces; every one if empty.
        policies: Names of the policies; every one if empty.
        shifts: Names of the shifts; every one if empty.
        value_by_default: Options set in every fleet.
    """

    seeds: tuple[int, ...] = SEEDS
    workers: int = 4
    duration_ms: float = 20_000
    traces: tuple[str, ...] = ()
    policies: tuple[str, ...] = ()
    shifts: tuple[str, ...] = ()
    value_by_default: dict[str, bool | int | float | str] = dataclasses.field(
        default_factory=dict
    )


def say(line: str = "") -> None:
    """Prints one line at once."""
    print(line, flush=True)


def write_out(name: str, text: str) -> None:
    """Writes a file of plots."""
    OUT_FOLDER.mkdir(exist_ok=True)
    (OUT_FOLDER / name).write_text(text)


__all__ = ["SEEDS", "Settings", "say", "write_out"]
