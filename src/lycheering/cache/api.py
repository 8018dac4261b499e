"""The cache listing and cache events that an engine provides."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from lycheering import json_input

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class EventKind(enum.StrEnum):
    """What changed in the cache; a tick reports no change."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"
    TICK = "tick"


_Text = Annotated[str, msgspec.Meta(max_length=json_input.MAX_TEXT_LENGTH)]
_Key = Annotated[
    str,
    msgspec.Meta(
        pattern=r"\A(?:[0-9a-fA-F]{2})*\Z",
        max_length=json_input.MAX_TEXT_LENGTH,
    ),
]
_Number = Annotated[int, msgspec.Meta(ge=0, le=json_input.MAX_INTEGER)]


class CacheEvent(msgspec.Struct, frozen=True):
    """One line of an engine's stream of cache events.

    Attributes:
        seq: The event's sequence number; a tick carries the number of the
            last event before it.
        incarnation: The engine's incarnation.
        kind: The kind of the event.
        block: The block's key in hexadecimal.
        weights_version: The version of the weights that computed the block.
    """

    seq: _Number
    incarnation: _Text
    kind: EventKind
    block: _Key = ""
    weights_version: _Text = ""


class ListedBlock(msgspec.Struct, frozen=True):
    """One block of a listing.

    Attributes:
        block: The block's key in hexadecimal.
    """

    block: _Key


class BlockListing(msgspec.Struct, frozen=True):
    """All blocks in an engine's cache.

    Attributes:
        incarnation: The engine's incarnation.
        seq: The number of the last event that the listing reflects.
        weights_version: The version of the weights that computed the blocks.
        blocks: The blocks.
    """

    incarnation: _Text
    seq: _Number
    weights_version: _Text
    blocks: tuple[ListedBlock, ...]


class EventSource(abc.ABC):
    """Provides the listing and the events of an engine's cache."""

    @abc.abstractmethod
    async def list_blocks(self) -> BlockListing:
        """Returns the blocks that are cached now.

        Raises:
            TargetError: If the listing can't be fetched.
        """

    @abc.abstractmethod
    def cache_events(self, from_seq: int) -> AsyncIterator[CacheEvent]:
        """Yields cache events until the stream fails.

        Args:
            from_seq: The sequence number of the first event to yield.

        Raises:
            TargetError: If the stream ends or no data arrives in time.
        """


__all__ = [
    "BlockListing",
    "CacheEvent",
    "EventKind",
    "EventSource",
    "ListedBlock",
]
