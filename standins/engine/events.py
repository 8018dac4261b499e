"""The numbered log of cache events, which may lag and lose entries."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec

from lycheering import clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standins.engine import cache

KEPT_EVENTS = 50_000
POLL_MS = 20
TICK_MS = 500


class CacheEvent(msgspec.Struct):
    """One line of the event stream.

    Attributes:
        seq: Number of the event, without gaps where it is published.
        incarnation: Which life of the engine published it.
        kind: `stored`, `evicted`, `cleared` or `tick`.
        block: Key of the block.
        parent: Key of the block before it.
        weights_version: Version of the weights of the block.
        salt: Cache salt of the block.
    """

    seq: int
    incarnation: str
    kind: str
    block: str = ""
    parent: str = ""
    weights_version: str = ""
    salt: str = ""


@dataclasses.dataclass(frozen=True)
class LoggedEvent:
    """An event and when it was published."""

    event: CacheEvent
    published_ms: float


class EventLog:
    """The recent cache events of one engine.

    Attributes:
        incarnation: Which life of the engine this is.
        seq: Number of the latest event.
        lag_ms: How long an event is held back.
        loss: Share of events that are lost.
        rng: Decides which events are lost.
        clock: The clock.
    """

    def __init__(self, incarnation: str, engine_clock: clock.Clock) -> None:
        self.incarnation = incarnation
        self.seq = 0
        self.lag_ms = 0.0
        self.loss = 0.0
        self.rng = random.Random(0)
        self.clock = engine_clock
        self._kept: collections.deque[LoggedEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )

    def publish(
        self, kind: str, weights_version: str, block: cache.Block | None
    ) -> None:
        """Numbers an event and keeps it, unless it is to be lost."""
        self.seq += 1
        if self.loss and self.rng.random() < self.loss:
            return
        event = CacheEvent(self.seq, self.incarnation, kind)
        event.weights_version = weights_version
        if block is not None:
            event.block = block.block
            event.parent = block.parent
            event.salt = block.salt
        self._kept.append(LoggedEvent(event, self.clock.now_ms()))

    def due(self, from_seq: int) -> list[CacheEvent]:
        """Returns the kept events from a number on whose lag has passed."""
        latest_ms = self.clock.now_ms() - self.lag_ms
        found = []
        for logged in reversed(self._kept):
            if logged.event.seq < from_seq:
                break
            if logged.published_ms <= latest_ms:
                found.append(logged.event)
        found.reverse()
        return found

    def tick(self) -> CacheEvent:
        """Returns the heartbeat that shows whether the end was lost."""
        return CacheEvent(self.due_seq(), self.incarnation, "tick")

    def due_seq(self) -> int:
        """Returns the highest number that no held-back event precedes."""
        latest_ms = self.clock.now_ms() - self.lag_ms
        seq = self.seq
        for logged in reversed(self._kept):
            if logged.published_ms <= latest_ms:
                break
            seq = logged.event.seq - 1
        return seq

    async def lines(self, from_seq: int) -> AsyncIterator[bytes]:
        """Yields lines of JSON for ever, the oldest event first."""
        encoder = msgspec.json.Encoder()
        next_seq = from_seq
        next_tick_ms = self.clock.now_ms()
        while True:
            batch = self.due(next_seq)
            if batch:
                next_seq = batch[-1].seq + 1
            if self.clock.now_ms() >= next_tick_ms:
                batch.append(self.tick())
                next_tick_ms = self.clock.now_ms() + TICK_MS
            if batch:
                yield encoder.encode_lines(batch)
            await asyncio.sleep(POLL_MS / clock.MS_PER_S)


__all__ = ["CacheEvent", "EventLog", "LoggedEvent"]
