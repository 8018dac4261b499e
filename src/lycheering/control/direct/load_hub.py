"""Joins what entries have at direct targets, on the leader only.

Nothing here survives a change of the leader, and nothing needs to: entries
tell all they have at targets with each exchange.
"""

from __future__ import annotations

import collections
import dataclasses
import secrets
from typing import TYPE_CHECKING

from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock

# an entry that says nothing for so long counts no more
EXPIRY_MS = 1_000.0
EXPIRY_INTERVAL_MS = 100.0
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
        reads: How many reads this run of the entry has told.
    """

    incarnation: str
    number: int
    loads: tuple[messages.TargetLoad, ...]
    at_ms: float
    leaving: tuple[int, ...]
    reads: int


class LoadHub:
    """Answers the exchanges of entries.

    Sums are kept as entries tell their parts, and what was read is kept in
    order, so that an exchange costs what one entry told and is told, however
    many entries there are.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._epoch = secrets.token_hex(4)
        self._told_by_entry: dict[str, _Told] = {}
        self._total_by_target: dict[int, messages.TargetLoad] = {}
        # how many entries tell of each target that it leaves
        self._tellers_by_leaving: collections.Counter[int] = (
            collections.Counter()
        )
        self._reads: list[tuple[str, messages.PromptRead]] = []
        self._first_read = 0
        self._expired_ms = 0.0

    def answer(self, exchange: messages.LoadExchange) -> messages.LoadReply:
        """Takes an entry's part in and returns what the others have."""
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        new_reads = self._new_reads(exchange)
        if self._take(exchange, now_ms):
            self._reads += [(exchange.entry, read) for read in new_reads]
            self._trim_reads()
        reads, cursor = self._since(exchange)
        return messages.LoadReply(
            self._others(exchange.entry),
            reads,
            self._epoch,
            cursor,
            len(self._told_by_entry),
            tuple(self._tellers_by_leaving),
        )

    def unread_tokens(self, target: int) -> int:
        """Returns the prompt tokens that a target still has to read.

        Args:
            target: Digest of the target's key.
        """
        self._expire(self._clock.now_ms())
        total = self._total_by_target.get(target)
        return total.unread_tokens if total is not None else 0

    def _new_reads(
        self, exchange: messages.LoadExchange
    ) -> tuple[messages.PromptRead, ...]:
        """Returns the reads that didn't come with an exchange before."""
        told = self._told_by_entry.get(exchange.entry)
        if told is None or told.incarnation != exchange.incarnation:
            return exchange.reads
        return exchange.reads[max(0, told.reads - exchange.first_read) :]

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
        if told is not None:
            self._count(told, -1)
        told = _Told(
            exchange.incarnation,
            exchange.number,
            exchange.loads,
            now_ms,
            exchange.leaving,
            exchange.first_read + len(exchange.reads),
        )
        self._count(told, 1)
        self._told_by_entry[exchange.entry] = told
        return True

    def _count(self, told: _Told, sign: int) -> None:
        """Adds what an entry told to the sums, or takes it out of them."""
        for target in told.leaving:
            self._tellers_by_leaving[target] += sign
            if not self._tellers_by_leaving[target]:
                del self._tellers_by_leaving[target]
        for load in told.loads:
            total = self._total_by_target.get(load.target)
            total = _sum(total or _none(load.target), load, sign)
            if total.requests:
                self._total_by_target[load.target] = total
            else:
                self._total_by_target.pop(load.target, None)

    def _expire(self, now_ms: float) -> None:
        """Forgets entries that say nothing any more."""
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        for name, told in list(self._told_by_entry.items()):
            if now_ms - told.at_ms > EXPIRY_MS:
                self._count(told, -1)
                del self._told_by_entry[name]

    def _others(self, entry: str) -> tuple[messages.TargetLoad, ...]:
        others = dict(self._total_by_target)
        told = self._told_by_entry.get(entry)
        for load in told.loads if told is not None else ():
            if load.target in others:
                others[load.target] = _sum(others[load.target], load, -1)
        return tuple(load for load in others.values() if load.requests)

    def _trim_reads(self) -> None:
        surplus = len(self._reads) - MAX_READS
        if surplus > MAX_READS:
            del self._reads[:surplus]
            self._first_read += surplus

    def _since(
        self, exchange: messages.LoadExchange
    ) -> tuple[tuple[messages.PromptRead, ...], int]:
        cursor = 0
        if exchange.epoch == self._epoch:
            cursor = exchange.cursor
        oldest = max(0, len(self._reads) - MAX_READS)
        start = max(oldest, cursor - self._first_read)
        told = self._reads[start : start + MAX_READS_TOLD]
        reads = tuple(read for name, read in told if name != exchange.entry)
        return reads, self._first_read + start + len(told)


def _none(target: int) -> messages.TargetLoad:
    return messages.TargetLoad(target, 0, 0, 0)


def _sum(
    total: messages.TargetLoad, load: messages.TargetLoad, sign: int
) -> messages.TargetLoad:
    return messages.TargetLoad(
        total.target,
        total.unread_tokens + sign * load.unread_tokens,
        total.requests + sign * load.requests,
        total.held_tokens + sign * load.held_tokens,
    )


__all__ = ["EXPIRY_MS", "LoadHub"]
