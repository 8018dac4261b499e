"""Writes lines to a stream that may stop being read."""

from __future__ import annotations

import contextlib
import os
from typing import TextIO

from lycheering import clock

# lines beyond this many bytes a second are dropped and counted
MAX_BYTES_PER_S = 262_144
BURST_BYTES = 524_288
MAX_LINE_BYTES = 2_048


class BoundedOutput:
    """A text stream that drops lines instead of waiting for its reader.

    What can't be written at once is dropped, and the next line that can be
    written is preceded by one that tells how many were.

    Attributes:
        dropped: Lines dropped since the last one written.
    """

    def __init__(self, stream: TextIO, time: clock.Clock | None = None) -> None:
        self.dropped = 0
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._rest = b""
        self._tokens = float(BURST_BYTES)
        self._clock = time or clock.Clock()
        self._filled_ms = self._clock.now_ms()

    def write(self, text: str) -> int:
        """Writes a line, or drops it."""
        data = text.encode("utf-8", "replace")[:MAX_LINE_BYTES]
        if not data.endswith(b"\n"):
            data += b"\n"
        if self.dropped:
            data = b"event=log_lines_dropped count=%d\n" % self.dropped + data
        if not self._flush_rest() or not self._take(len(data)):
            self.dropped += 1
            return len(text)
        self.dropped = 0
        self._rest = data
        self._flush_rest()
        return len(text)

    def flush(self) -> None:
        """Does nothing; lines are written as they come."""

    def _take(self, size: int) -> bool:
        now_ms = self._clock.now_ms()
        passed_s = (now_ms - self._filled_ms) / clock.MS_PER_S
        earned = passed_s * MAX_BYTES_PER_S
        self._tokens = min(BURST_BYTES, self._tokens + earned)
        self._filled_ms = now_ms
        if self._tokens < size:
            return False
        self._tokens -= size
        return True

    def _flush_rest(self) -> bool:
        """Returns whether nothing is left of a line begun before."""
        while self._rest:
            written = 0
            with contextlib.suppress(BlockingIOError, BrokenPipeError):
                written = os.write(self._descriptor, self._rest)
            if not written:
                return False
            self._rest = self._rest[written:]
        return True


__all__ = ["BURST_BYTES", "MAX_BYTES_PER_S", "BoundedOutput"]
