"""Joins what entries have at direct targets, on the leader only.

Nothing here survives a change of the leader, and nothing needs to: entries
tell all they have at targets with each exchange.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import secrets
from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock

# an entry that says nothing for so long counts no more
EXPIRY_MS = 1_000.0
MAX_READS = 4_000
MAX_READS_TOLD = 400
MAX_ENTRIES = 1_000


@dataclasses.dataclass
class _Told:
    """What one entry told last.

    Attributes:
        incarnation: The run of the entry.
        number: Its last exchange.
        loads: What it has at targets.
        at_ms: When it told.
        leaving: Digests of targets that told it that they leave.
    """

    incarnation: str
    number: int
    loads: tuple[messages.TargetLoad, ...]
    at_ms: float
    leaving: tuple[int, ...]


class LoadHub:
    """Answers the exchanges of entries."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._epoch = secrets.token_hex(4)
        self._told_by_entry: dict[str, _Told] = {}
        self._reads: collections.deque[tuple[str, messages.PromptRead]] = (
            collections.deque(maxlen=MAX_READS)
        )
        self._read_count = 0

    def answer(self, exchange: messages.LoadExchange) -> messages.LoadPicture:
        """Takes an entry's part in and returns what the others have."""
        now_ms = self._clock.now_ms()
        if self._take(exchange, now_ms):
            for read in exchange.reads:
                self._reads.append((exchange.entry, read))
                self._read_count += 1
        reads, cursor = self._since(exchange)
        return messages.LoadPicture(
            self._others(exchange.entry, now_ms),
            reads,
            self._epoch,
            cursor,
            len(self._told_by_entry),
            tuple(
                {
                    target
                    for told in self._told_by_entry.values()
                    for target in told.leaving
                }
            ),
        )

    def unread_tokens(self, target: int) -> int:
        """Returns the prompt tokens that a target still has to read.

        Args:
            target: Digest of the target's key.
        """
        now_ms = self._clock.now_ms()
        return sum(
            load.unread_tokens
            for told in self._told_by_entry.values()
            if now_ms - told.at_ms <= EXPIRY_MS
            for load in told.loads
            if load.target == target
        )

    def _take(self, exchange: messages.LoadExchange, now_ms: float) -> bool:
        """Keeps an exchange, unless a later one was handled already."""
        told = self._told_by_entry.get(exchange.entry)
        if (
            told is not None
            and told.incarnation == exchange.incarnation
            and exchange.number <= told.number
        ):
            return False
        if told is None and len(self._told_by_entry) >= MAX_ENTRIES:
            return False
        self._told_by_entry[exchange.entry] = _Told(
            exchange.incarnation,
            exchange.number,
            exchange.loads,
            now_ms,
            exchange.leaving,
        )
        return True

    def _others(
        self, entry: str, now_ms: float
    ) -> tuple[messages.TargetLoad, ...]:
        sums: dict[int, list[int]] = {}
        for name, told in list(self._told_by_entry.items()):
            if now_ms - told.at_ms > EXPIRY_MS:
                del self._told_by_entry[name]
                continue
            if name == entry:
                continue
            for load in told.loads:
                total = sums.setdefault(load.target, [0, 0, 0])
                total[0] += load.unread_tokens
                total[1] += load.requests
                total[2] += load.held_tokens
        return tuple(
            messages.TargetLoad(target, *total)
            for target, total in sums.items()
        )

    def _since(
        self, exchange: messages.LoadExchange
    ) -> tuple[tuple[messages.PromptRead, ...], int]:
        first = self._read_count - len(self._reads)
        cursor = exchange.cursor if exchange.epoch == self._epoch else first
        skipped = max(0, cursor - first)
        later = itertools.islice(self._reads, skipped, skipped + MAX_READS_TOLD)
        told = list(later)
        reads = tuple(read for name, read in told if name != exchange.entry)
        return reads, first + skipped + len(told)


__all__ = ["EXPIRY_MS", "LoadHub"]
