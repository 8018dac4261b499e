"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import re
import sys
from typing import TextIO

import logbook

from lycheering.telemetry import bounded_output

_UNQUOTED_VALUE = re.compile(r"[\w.:/@+,-]+")


def format_value(value: object) -> str:
    """Returns a value formatted for a log line, quoted if needed."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_line(event: str, fields: dict[str, object]) -> str:
    """Returns an event and its fields as key=value pairs."""
    pairs = [f"event={format_value(event)}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


class EventLog:
    """Logger for the events of one part of the process.

    Attributes:
        name: Name of the part, logged as `part`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._logger = logbook.Logger(name)

    def event(self, event: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        self._logger.info(format_line(event, fields))

    def debug(self, event: str, **fields: object) -> None:
        """Logs an event that only helps in debugging."""
        self._logger.debug(format_line(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Logs an event that an operator should look at."""
        self._logger.warning(format_line(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Logs a failure that the process could not recover from."""
        self._logger.error(format_line(event, fields))


def get(name: str) -> EventLog:
    """Returns the event log of a part of the process."""
    return EventLog(name)


def install(
    role: str,
    instance: str,
    level: str = "info",
    stream: TextIO | None = None,
) -> None:
    """Sends all events of this process to standard error or to a stream.

    Args:
        role: Role of the process, written on every line.
        instance: Name of the instance, written on every line.
        level: Lowest level to write, such as `debug` or `info`.
        stream: Output used in place of standard error. It never blocks the
            process: lines are dropped if they are not read fast enough.
    """
    output: TextIO | bounded_output.BoundedOutput = sys.stderr
    if stream is not None:
        output = bounded_output.BoundedOutput(stream)
    handler = logbook.StreamHandler(output, level=level.upper())
    handler.format_string = (
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f} "
        "level={record.level_name} "
        f"role={role} instance={format_value(instance)} "
        "part={record.channel} {record.message}"
    )
    handler.push_application()


__all__ = ["EventLog", "format_line", "format_value", "get", "install"]
