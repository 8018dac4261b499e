"""The last words of processes under test, shown when a step fails."""

from __future__ import annotations

import contextlib
import pathlib

LAST_LINES = 12
LINE_CHARACTERS = 300
TAIL_BYTES = 64_000
GROUPS = []


@contextlib.contextmanager
def watched(group):
    """Shows the processes of a group, as long as it lasts, on a failure."""
    GROUPS.append(group)
    try:
        yield group
    finally:
        GROUPS.remove(group)


def last_words():
    """Returns the state and the last log lines of all watched processes."""
    lines = []
    for group in GROUPS:
        for name, process in group.process_by_name.items():
            lines.append(f"--- {name}: {state(process)}")
            lines += last_lines(process.log_path)
    return lines


def state(process):
    if process.popen is None:
        return "not started"
    if not process.running:
        return f"ended with {process.popen.returncode}"
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    letter = stat.rpartition(")")[2].split()[0]
    return "frozen" if letter == "T" else "running"


def last_lines(path):
    """Returns the end of a log, without reading all of it."""
    if not path.exists():
        return []
    with path.open("rb") as log:
        log.seek(max(0, path.stat().st_size - TAIL_BYTES))
        text = log.read().decode(errors="replace")
    lines = text.splitlines()[-LAST_LINES:]
    return [f"    {line[:LINE_CHARACTERS]}" for line in lines]


__all__ = ["last_words", "watched"]
