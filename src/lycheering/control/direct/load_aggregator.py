"""Aggregates the load that entries report for direct targets.

Runs on the leader only and keeps its state in memory. A new leader starts
empty: every exchange carries all the load of an entry, so the totals are
complete again after one exchange with each entry.
"""

from __future__ import annotations

import collections
import dataclasses
import secrets
from typing import TYPE_CHECKING

from lycheering.limits import rate_hub
from lycheering.retries import evidence_exchange
from lycheering.streams import version_hub
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock

# the load of an entry that sends no exchange for this long is dropped
ENTRY_EXPIRY_MS = 1_000.0
EXPIRY_CHECK_INTERVAL_MS = 100.0
MAX_KEPT_READS = 4_000
MAX_READS_PER_REPLY = 400
MAX_ENTRIES = 1_000


@dataclasses.dataclass
class _EntryReport:
    """The last exchange received from an entry.

    Attributes:
        incarnation: The incarnation of the entry.
        exchange_number: The number of the exchange.
        loads: The load of the entry on each target.
        received_ms: When the exchange was received.
        leaving: Digests of targets that told the entry that they are leaving.
        read_count: Number of prompt reads that this incarnation of the entry
            has reported so far.
    """

    incarnation: str
    exchange_number: int
    loads: tuple[messages.TargetLoad, ...]
    received_ms: float
    leaving: tuple[int, ...]
    read_count: int


class LoadAggregator:
    """Handles the load exchanges of entries.

    Totals are updated with each exchange, and prompt reads are kept in the
    order of their arrival. The work for an exchange therefore grows with the
    size of the exchange and of its reply, not with the number of entries.

    Attributes:
        streams: The software versions of streams.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._epoch = secrets.token_hex(4)
        self._report_by_entry: dict[str, _EntryReport] = {}
        self._total_by_target: dict[int, messages.TargetLoad] = {}
        # number of entries that report each target as leaving
        self._reporter_count_by_leaving: collections.Counter[int] = (
            collections.Counter()
        )
        self._reads: list[tuple[str, messages.PromptRead]] = []
        # cursor of the first element of _reads
        self._first_read_cursor = 0
        self._last_expiry_check_ms = 0.0
        self._evidence_hub = evidence_exchange.EvidenceHub(time)
        self._rate_hub = rate_hub.RateHub(time)
        self.streams = version_hub.StreamVersionHub(time)

    def handle_exchange(
        self, exchange: messages.LoadExchange
    ) -> messages.LoadReply:
        """Records the load of an entry and returns that of all others."""
        now_ms = self._clock.now_ms()
        self._expire_entries(now_ms)
        new_reads = self._new_reads(exchange)
        if self._record(exchange, now_ms):
            self._reads += [(exchange.entry, read) for read in new_reads]
            self._trim_reads()
        self.streams.add(exchange.begun)
        reads, cursor = self._reads_for_reply(exchange)
        return messages.LoadReply(
            self._loads_of_others(exchange.entry),
            reads,
            self._epoch,
            cursor,
            len(self._report_by_entry),
            tuple(self._reporter_count_by_leaving),
            self._evidence_hub.handle(exchange.evidence),
            self._rate_hub.handle(exchange.entry, exchange.rates),
        )

    def unread_tokens(self, target: int) -> int:
        """Returns how many prompt tokens a target still has to prefill.

        Args:
            target: Digest of the target's key.
        """
        self._expire_entries(self._clock.now_ms())
        total = self._total_by_target.get(target)
        return total.unread_tokens if total is not None else 0

    def _new_reads(
        self, exchange: messages.LoadExchange
    ) -> tuple[messages.PromptRead, ...]:
        """Returns the reads that no earlier exchange contained."""
        report = self._report_by_entry.get(exchange.entry)
        if report is None or report.incarnation != exchange.incarnation:
            return exchange.reads
        return exchange.reads[max(0, report.read_count - exchange.first_read) :]

    def _record(self, exchange: messages.LoadExchange, now_ms: float) -> bool:
        """Records an exchange and returns whether it was recorded.

        It is ignored if the same or a later exchange of this incarnation was
        recorded before, or if there are too many entries.
        """
        report = self._report_by_entry.get(exchange.entry)
        if (
            report is not None
            and report.incarnation == exchange.incarnation
            and exchange.number <= report.exchange_number
        ):
            return False
        if report is None and len(self._report_by_entry) >= MAX_ENTRIES:
            return False
        if report is not None:
            self._update_totals(report, -1)
        report = _EntryReport(
            exchange.incarnation,
            exchange.number,
            exchange.loads,
            now_ms,
            exchange.leaving,
            exchange.first_read + len(exchange.reads),
        )
        self._update_totals(report, 1)
        self._report_by_entry[exchange.entry] = report
        return True

    def _update_totals(self, report: _EntryReport, sign: int) -> None:
        """Adds a report to the totals (sign 1) or subtracts it (sign -1)."""
        for target in report.leaving:
            self._reporter_count_by_leaving[target] += sign
            if not self._reporter_count_by_leaving[target]:
                del self._reporter_count_by_leaving[target]
        for load in report.loads:
            total = self._total_by_target.get(load.target)
            total = _add_load(total or _zero_load(load.target), load, sign)
            if total.requests:
                self._total_by_target[load.target] = total
            else:
                self._total_by_target.pop(load.target, None)

    def _expire_entries(self, now_ms: float) -> None:
        """Drops the reports of entries that stopped sending exchanges."""
        if now_ms - self._last_expiry_check_ms < EXPIRY_CHECK_INTERVAL_MS:
            return
        self._last_expiry_check_ms = now_ms
        for name, report in list(self._report_by_entry.items()):
            if now_ms - report.received_ms > ENTRY_EXPIRY_MS:
                self._update_totals(report, -1)
                del self._report_by_entry[name]

    def _loads_of_others(self, entry: str) -> tuple[messages.TargetLoad, ...]:
        """Returns the totals without the load of an entry itself."""
        load_by_target = dict(self._total_by_target)
        report = self._report_by_entry.get(entry)
        for load in report.loads if report is not None else ():
            if load.target in load_by_target:
                load_by_target[load.target] = _add_load(
                    load_by_target[load.target], load, -1
                )
        return tuple(load for load in load_by_target.values() if load.requests)

    def _trim_reads(self) -> None:
        """Drops old reads, many at a time to keep the mean cost low."""
        surplus = len(self._reads) - MAX_KEPT_READS
        if surplus > MAX_KEPT_READS:
            del self._reads[:surplus]
            self._first_read_cursor += surplus

    def _reads_for_reply(
        self, exchange: messages.LoadExchange
    ) -> tuple[tuple[messages.PromptRead, ...], int]:
        """Returns reads of other entries after the cursor, and the new one."""
        cursor = 0
        if exchange.epoch == self._epoch:
            cursor = exchange.cursor
        oldest = max(0, len(self._reads) - MAX_KEPT_READS)
        start = max(oldest, cursor - self._first_read_cursor)
        batch = self._reads[start : start + MAX_READS_PER_REPLY]
        reads = tuple(read for name, read in batch if name != exchange.entry)
        return reads, self._first_read_cursor + start + len(batch)


def _zero_load(target: int) -> messages.TargetLoad:
    return messages.TargetLoad(target, 0, 0, 0)


def _add_load(
    total: messages.TargetLoad, load: messages.TargetLoad, sign: int
) -> messages.TargetLoad:
    """Returns the total plus (sign 1) or minus (sign -1) a load."""
    return messages.TargetLoad(
        total.target,
        total.unread_tokens + sign * load.unread_tokens,
        total.requests + sign * load.requests,
        total.held_tokens + sign * load.held_tokens,
        total.first_tokens + sign * load.first_tokens,
    )


__all__ = ["ENTRY_EXPIRY_MS", "LoadAggregator"]
