"""Buffers an answer's chunks so that they can be sent again."""

from __future__ import annotations

import collections
import itertools

MAX_UNACKNOWLEDGED_CHUNKS = 1_024
MAX_UNACKNOWLEDGED_BYTES = 2_097_152
MAX_ACKNOWLEDGED_BYTES = 65_536
MAX_FRAME_CHUNK_BYTES = 1_048_576


class TrimmedError(Exception):
    """The chunk is not in the buffer."""


class ReplayBuffer:
    """Keeps unacknowledged chunks and a limited tail of acknowledged ones.

    A reader that reconnects may have lost chunks that it acknowledged.

    Attributes:
        first_seq: The number of the first chunk in the buffer.
        next_seq: The number of the next chunk to be appended.
        byte_count: The size of all chunks in the buffer, in bytes.
        unacknowledged_bytes: The size of the chunks that are not yet
            acknowledged, in bytes.
    """

    def __init__(self, first_seq: int) -> None:
        self.first_seq = first_seq
        self.next_seq = first_seq
        self.byte_count = 0
        self.unacknowledged_bytes = 0
        self._acknowledged_seq = first_seq
        self._items: collections.deque[bytes] = collections.deque()

    @property
    def acknowledged_seq(self) -> int:
        """The number of the first chunk not yet acknowledged."""
        return self._acknowledged_seq

    @property
    def has_room(self) -> bool:
        """Whether more chunks may be read from the target."""
        unacknowledged_chunks = self.next_seq - self._acknowledged_seq
        return (
            unacknowledged_chunks < MAX_UNACKNOWLEDGED_CHUNKS
            and self.unacknowledged_bytes < MAX_UNACKNOWLEDGED_BYTES
        )

    def append(self, items: tuple[bytes, ...]) -> None:
        """Appends chunks."""
        self._items.extend(items)
        self.next_seq += len(items)
        size = sum(map(len, items))
        self.byte_count += size
        self.unacknowledged_bytes += size

    def read(self, seq: int) -> tuple[bytes, ...]:
        """Returns chunks from a number on, as many as fit into a frame.

        Raises:
            TrimmedError: If the first of them is not in the buffer.
        """
        if seq < self.first_seq or seq > self.next_seq:
            raise TrimmedError(f"chunk {seq}")
        items: list[bytes] = []
        size = 0
        start = seq - self.first_seq
        for item in itertools.islice(self._items, start, None):
            if items and size + len(item) > MAX_FRAME_CHUNK_BYTES:
                break
            items.append(item)
            size += len(item)
        return tuple(items)

    def acknowledge(self, next_seq: int) -> None:
        """Records that all chunks before a number were received."""
        stop_seq = min(next_seq, self.next_seq)
        if stop_seq <= self._acknowledged_seq:
            return
        start = self._acknowledged_seq - self.first_seq
        stop = stop_seq - self.first_seq
        for item in itertools.islice(self._items, start, stop):
            self.unacknowledged_bytes -= len(item)
        self._acknowledged_seq = stop_seq
        self._trim()

    def _trim(self) -> None:
        acknowledged_bytes = self.byte_count - self.unacknowledged_bytes
        while (
            acknowledged_bytes > MAX_ACKNOWLEDGED_BYTES
            and self.first_seq < self._acknowledged_seq
        ):
            size = len(self._items.popleft())
            self.first_seq += 1
            self.byte_count -= size
            acknowledged_bytes -= size


__all__ = [
    "MAX_ACKNOWLEDGED_BYTES",
    "MAX_UNACKNOWLEDGED_BYTES",
    "MAX_UNACKNOWLEDGED_CHUNKS",
    "ReplayBuffer",
    "TrimmedError",
]
