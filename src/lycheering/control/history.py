"""Changes of the configuration as they were decided, by change id."""

from __future__ import annotations

import collections

import msgspec

from lycheering.control import commands

MAX_OUTCOMES = 10_000
OUTCOME_AGE_MS = 7 * 24 * 3_600_000
MAX_HISTORY = 2_000


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change.

    Attributes:
        revision: The config revision that it made.
        command: What was asked.
    """

    revision: int
    command: commands.ChangeConfig


class KeptOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The first outcome of a change.

    Attributes:
        at_ms: When it was decided, in the history's time.
        expected_revision: What the change expected.
        edit: What it asked for.
        outcome: What became of it.
    """

    at_ms: int
    expected_revision: int
    edit: commands.Edit
    outcome: commands.ChangeOutcome


class HistorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the history keeps.

    Attributes:
        now_ms: The highest time seen in a change.
        entries: Accepted changes, oldest first.
        outcomes: First outcomes, oldest first.
    """

    now_ms: int
    entries: tuple[HistoryEntry, ...]
    outcomes: tuple[KeptOutcome, ...]


class History:
    """Accepted changes and the outcomes that resends get.

    Attributes:
        now_ms: The highest time seen in a change.
        entries: Accepted changes, oldest first.
        outcome_by_change_id: First outcomes, oldest first.
    """

    def __init__(self, max_outcomes: int = MAX_OUTCOMES) -> None:
        self.now_ms = 0
        self.entries: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self.outcome_by_change_id: dict[str, KeptOutcome] = {}
        self._max_outcomes = max_outcomes

    def snapshot(self) -> HistorySnapshot:
        """Returns all that the history keeps."""
        return HistorySnapshot(
            self.now_ms,
            tuple(self.entries),
            tuple(self.outcome_by_change_id.values()),
        )

    def restore(self, snapshot: HistorySnapshot) -> None:
        """Replaces all that the history keeps."""
        self.now_ms = snapshot.now_ms
        self.entries.clear()
        self.entries.extend(snapshot.entries)
        self.outcome_by_change_id = {
            kept.outcome.change_id: kept for kept in snapshot.outcomes
        }

    def winner(self, revision: int) -> commands.Winner | None:
        """Returns who made a revision, or the newest one if that is gone."""
        found: HistoryEntry | None = None
        if self.entries:
            position = revision - self.entries[0].revision
            in_range = 0 <= position < len(self.entries)
            found = self.entries[position if in_range else -1]
        if found is None:
            return None
        command = found.command
        return commands.Winner(
            found.revision, command.operator, command.change_id
        )

    def keep(
        self,
        command: commands.ChangeConfig,
        outcome: commands.ChangeOutcome,
    ) -> None:
        """Keeps the first outcome of a change."""
        self.now_ms = max(self.now_ms, command.at_ms)
        if outcome.accepted:
            entry = HistoryEntry(outcome.config_revision, command)
            self.entries.append(entry)
        self.outcome_by_change_id[command.change_id] = KeptOutcome(
            self.now_ms, command.expected_revision, command.edit, outcome
        )
        self._forget_old()

    def _forget_old(self) -> None:
        outcomes = self.outcome_by_change_id
        while outcomes:
            oldest = next(iter(outcomes))
            age_ms = self.now_ms - outcomes[oldest].at_ms
            too_many = len(outcomes) > self._max_outcomes
            if not too_many and age_ms <= OUTCOME_AGE_MS:
                return
            del outcomes[oldest]


__all__ = [
    "MAX_HISTORY",
    "MAX_OUTCOMES",
    "OUTCOME_AGE_MS",
    "History",
    "HistoryEntry",
    "HistorySnapshot",
    "KeptOutcome",
]
