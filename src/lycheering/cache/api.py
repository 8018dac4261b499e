"""What the cache index needs from an engine."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class EventKind(enum.StrEnum):
    """What a cache event tells."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"
    TICK = "tick"


class CacheEvent(msgspec.Struct, frozen=True):
    """One line of an engine's stream of cache events.

    Attributes:
        seq: Its number; for a tick, that of the last event before it.
        incarnation: The engine's incarnation.
        kind: What happened.
        block: The block's key as hex digits.
        weights_version: The weights that the block belongs to.
    """

    seq: int
    incarnation: str
    kind: EventKind
    block: str = ""
    weights_version: str = ""


class ListedBlock(msgspec.Struct, frozen=True):
    """One block that an engine lists.

    Attributes:
        block: Its key as hex digits.
    """

    block: str


class BlockListing(msgspec.Struct, frozen=True):
    """All blocks that an engine has cached.

    Attributes:
        incarnation: The engine's incarnation.
        seq: The last event that the listing includes.
        weights_version: The weights that the blocks belong to.
        blocks: The blocks.
    """

    incarnation: str
    seq: int
    weights_version: str
    blocks: tuple[ListedBlock, ...]


class EventSource(abc.ABC):
    """An engine's account of its cache."""

    @abc.abstractmethod
    async def list_blocks(self) -> BlockListing:
        """Returns what is cached now.

        Raises:
            TargetError: If the engine can't be asked.
        """

    @abc.abstractmethod
    def cache_events(self, from_seq: int) -> AsyncIterator[CacheEvent]:
        """Yields cache events for ever, from a number on.

        Raises:
            TargetError: If the stream ends or goes silent.
        """


__all__ = [
    "BlockListing",
    "CacheEvent",
    "EventKind",
    "EventSource",
    "ListedBlock",
]
