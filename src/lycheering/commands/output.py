"""Prints and formats the output of commands."""

from __future__ import annotations

import datetime
import json
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MS_PER_S = 1_000
COLUMN_GAP = "  "


def print_json(content: bytes) -> None:
    """Prints a JSON text with indentation."""
    print(json.dumps(json.loads(content), indent=2, ensure_ascii=False))


def print_table(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Prints rows as aligned columns under headers."""
    lines = [list(headers)]
    lines += [[_cell_text(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print(COLUMN_GAP.join(cells).rstrip())


def _cell_text(cell: object) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if cell is None or cell == "":
        return "-"
    return str(cell)


def format_time(at_ms: float) -> str:
    """Returns a time in ms since the epoch as an ISO 8601 text in UTC."""
    time_utc = datetime.datetime.fromtimestamp(
        at_ms / MS_PER_S, tz=datetime.UTC
    )
    return time_utc.isoformat(sep="T", timespec="milliseconds")


def print_revision(config_revision: int, *, current: bool) -> None:
    """Prints the config revision of a read.

    Args:
        config_revision: The revision that was read.
        current: Whether a quorum confirmed that there is no newer one.
    """
    note = "" if current else " (not confirmed by a quorum)"
    print(f"config revision {config_revision}{note}")


def print_error(text: str) -> None:
    """Prints an error message to standard error."""
    for line in text.splitlines():
        print(f"lycheering: {line}", file=sys.stderr)


__all__ = [
    "format_time",
    "print_error",
    "print_json",
    "print_revision",
    "print_table",
]
