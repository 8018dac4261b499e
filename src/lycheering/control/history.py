"""The history of configuration changes and their outcomes."""

from __future__ import annotations

import collections

import msgspec

from lycheering.control import commands

MAX_OUTCOMES = 10_000
OUTCOME_AGE_MS = 7 * 24 * 3_600_000
MAX_ENTRIES = 2_000


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change.

    Attributes:
        revision: The config revision that the change produced.
        command: The change.
    """

    revision: int
    command: commands.ChangeConfig


class RecordedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome that a change had when it was first applied.

    Attributes:
        at_ms: The history's latest time when the outcome was recorded.
        expected_revision: The config revision that the change was based on.
        edit: The edit of the change.
        outcome: The outcome.
    """

    at_ms: int
    expected_revision: int
    edit: commands.Edit
    outcome: commands.ChangeOutcome


class HistorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the history.

    Attributes:
        latest_ms: The highest proposal time of any change, in milliseconds.
        entries: The accepted changes, oldest first.
        outcomes: The recorded outcomes, oldest first.
    """

    latest_ms: int
    entries: tuple[HistoryEntry, ...]
    outcomes: tuple[RecordedOutcome, ...]


class History:
    """The accepted changes, and the outcomes that resends are answered with.

    Attributes:
        latest_ms: The highest proposal time of any change, in milliseconds.
        entries: The accepted changes, oldest first.
        outcome_by_change_id: The recorded outcomes, oldest first.
    """

    def __init__(self, max_outcomes: int = MAX_OUTCOMES) -> None:
        self.latest_ms = 0
        self.entries: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_ENTRIES
        )
        self.outcome_by_change_id: dict[str, RecordedOutcome] = {}
        self._max_outcomes = max_outcomes

    def snapshot(self) -> HistorySnapshot:
        """Returns a snapshot of the history."""
        return HistorySnapshot(
            self.latest_ms,
            tuple(self.entries),
            tuple(self.outcome_by_change_id.values()),
        )

    def restore(self, snapshot: HistorySnapshot) -> None:
        """Replaces the history by a snapshot."""
        self.latest_ms = snapshot.latest_ms
        self.entries.clear()
        self.entries.extend(snapshot.entries)
        self.outcome_by_change_id = {
            recorded.outcome.change_id: recorded
            for recorded in snapshot.outcomes
        }

    def winner(self, revision: int) -> commands.Winner | None:
        """Returns the change that made a revision.

        If that change is not in the history any more, returns the newest one.
        """
        entry: HistoryEntry | None = None
        if self.entries:
            position = revision - self.entries[0].revision
            in_range = 0 <= position < len(self.entries)
            entry = self.entries[position if in_range else -1]
        if entry is None:
            return None
        command = entry.command
        return commands.Winner(
            entry.revision, command.operator, command.change_id
        )

    def record(
        self,
        command: commands.ChangeConfig,
        outcome: commands.ChangeOutcome,
    ) -> None:
        """Records the first outcome of a change."""
        self.latest_ms = max(self.latest_ms, command.at_ms)
        if outcome.accepted:
            entry = HistoryEntry(outcome.config_revision, command)
            self.entries.append(entry)
        self.outcome_by_change_id[command.change_id] = RecordedOutcome(
            self.latest_ms, command.expected_revision, command.edit, outcome
        )
        self._prune_outcomes()

    def _prune_outcomes(self) -> None:
        outcomes = self.outcome_by_change_id
        while outcomes:
            oldest = next(iter(outcomes))
            age_ms = self.latest_ms - outcomes[oldest].at_ms
            too_many = len(outcomes) > self._max_outcomes
            if not too_many and age_ms <= OUTCOME_AGE_MS:
                return
            del outcomes[oldest]


__all__ = [
    "MAX_ENTRIES",
    "MAX_OUTCOMES",
    "OUTCOME_AGE_MS",
    "History",
    "HistoryEntry",
    "HistorySnapshot",
    "RecordedOutcome",
]
