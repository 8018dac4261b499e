"""Collects the software versions of all entries' streams, on the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.streams import version_history
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheering import clock
    from lycheering.fleet import records

MAX_STREAMS = 100_000


class StreamVersionHub:
    """Remembers which software version began each stream.

    It is kept in memory. Entries report their streams again to a new leader.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._history = version_history.VersionHistory(time)
        self._records = version_history.StreamRecords(time, MAX_STREAMS)

    def observe(self, targets: Iterable[records.DirectTarget]) -> None:
        """Records the versions of all targets that there are now."""
        self._history.observe(targets)

    def add(self, begun: Iterable[messages.BegunStreams]) -> None:
        """Records streams that have begun."""
        for streams in begun:
            for stream in streams.streams:
                self._records.add(stream, streams.version)

    def handle(self, exchange: messages.StreamExchange) -> messages.StreamReply:
        """Records streams and returns the versions that are asked for.

        The version of an unknown stream can be told only if the service had
        no other one for as long as streams are taken up.
        """
        self.add(exchange.begun)
        versions = []
        for wanted in exchange.wanted:
            version = self._records.find(wanted.stream)
            if version is None:
                version = self._history.sole_version(wanted.service)
            versions.append(version)
        return messages.StreamReply(tuple(versions))


__all__ = ["MAX_STREAMS", "StreamVersionHub"]
