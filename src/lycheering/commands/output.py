"""What commands print."""

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


def as_json(content: bytes) -> None:
    """Prints JSON, indented."""
    print(json.dumps(json.loads(content), indent=2, ensure_ascii=False))


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints rows under headers, in columns."""
    lines = [list(headers)]
    lines += [[_text(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    for line in lines:
        cells = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        print(COLUMN_GAP.join(cells).rstrip())


def _text(cell: object) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if cell is None or cell == "":
        return "-"
    return str(cell)


def moment(at_ms: float) -> str:
    """Returns a time since the epoch as people read it."""
    moment_utc = datetime.datetime.fromtimestamp(
        at_ms / MS_PER_S, tz=datetime.UTC
    )
    return moment_utc.isoformat(sep="T", timespec="milliseconds")


def revision(config_revision: int, *, current: bool) -> None:
    """Prints which revision was read, and whether it is the newest."""
    note = "" if current else " (not confirmed by a quorum)"
    print(f"config revision {config_revision}{note}")


def problem(text: str) -> None:
    """Prints a problem to standard error."""
    for line in text.splitlines():
        print(f"lycheering: {line}", file=sys.stderr)


__all__ = ["as_json", "moment", "problem", "revision", "table"]
