"""Warnings about what repeats with every answer."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheering.telemetry import logs

# Causes may contain external input, so their number bounds memory and lines.
MAX_CAUSES = 256
OTHER_CAUSE = "other"


class RepeatedWarning:
    """A warning that is logged once for each cause and counted after that.

    The count of a cause is logged each time that it reaches a power of ten, so
    that a log shows how often it occurs at the cost of few lines.
    """

    def __init__(self, log: logs.EventLog, event: str) -> None:
        """Creates a warning that has not occurred yet.

        Args:
            log: The log that gets it.
            event: Its name.
        """
        self._log = log
        self._event = event
        self._count_by_cause: collections.Counter[str] = collections.Counter()

    def warn(self, cause: str, **fields: object) -> None:
        """Counts the warning, and logs it if it is due.

        Args:
            cause: What occurrences have in common that are logged once.
            **fields: Further fields of the line.
        """
        is_known = cause in self._count_by_cause
        if not is_known and len(self._count_by_cause) >= MAX_CAUSES:
            cause = OTHER_CAUSE
        self._count_by_cause[cause] += 1
        count = self._count_by_cause[cause]
        if count == 10 ** (len(str(count)) - 1):
            self._log.warning(self._event, cause=cause, count=count, **fields)


__all__ = ["MAX_CAUSES", "OTHER_CAUSE", "RepeatedWarning"]
