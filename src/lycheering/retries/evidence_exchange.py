"""Exchanges evidence of crashes between entries, through the leader."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from lycheering.retries import crash_ledger
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock


class EvidenceHub:
    """Merges the evidence of all entries, on the leader.

    It is kept in memory only. A hub that knows nothing has another epoch, for
    which each entry sends all that it knows.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._ledger = crash_ledger.CrashLedger(time)
        self._epoch = secrets.token_hex(4)

    def handle(
        self, exchange: messages.EvidenceExchange
    ) -> messages.EvidenceExchange:
        """Merges the evidence of an entry and returns what is new to it."""
        self._ledger.expire()
        self._ledger.merge(exchange.evidence)
        cursor = exchange.cursor if exchange.epoch == self._epoch else 0
        return messages.EvidenceExchange(
            self._ledger.evidence_since(cursor),
            self._epoch,
            self._ledger.version,
        )


class EvidenceReporter:
    """Reports the evidence of an entry and merges that of the others."""

    def __init__(self, ledger: crash_ledger.CrashLedger) -> None:
        self._ledger = ledger
        self._epoch = ""
        self._cursor = 0
        self._reported_version = 0
        self._acknowledged_version = 0

    @property
    def has_news(self) -> bool:
        """Whether there is evidence that the leader has not acknowledged."""
        return self._ledger.version > self._acknowledged_version

    def next_exchange(self) -> messages.EvidenceExchange:
        """Returns the next report; one that gets no reply is repeated."""
        self._reported_version = self._ledger.version
        return messages.EvidenceExchange(
            self._ledger.evidence_since(self._acknowledged_version),
            self._epoch,
            self._cursor,
        )

    def apply_reply(self, reply: messages.EvidenceExchange) -> None:
        """Merges the reply to the last report."""
        self._acknowledged_version = self._reported_version
        if reply.epoch != self._epoch:
            self._acknowledged_version = 0
        self._epoch = reply.epoch
        self._cursor = reply.cursor
        self._ledger.merge(reply.evidence)


__all__ = ["EvidenceHub", "EvidenceReporter"]
