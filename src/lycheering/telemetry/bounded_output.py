"""Log output with a limited rate that never blocks the process."""

from __future__ import annotations

import contextlib
import os
from typing import TextIO

from lycheering import clock

# Rate and size of a token bucket; lines beyond it are dropped and counted.
MAX_BYTES_PER_S = 262_144
BURST_BYTES = 524_288
MAX_LINE_BYTES = 2_048


class BoundedOutput:
    """A text stream that drops lines instead of waiting for its reader.

    A line that can't be written at once is dropped. The next line that is
    written is preceded by a line with the number of dropped ones.

    Attributes:
        dropped: Number of lines dropped since the last one written.
    """

    def __init__(self, stream: TextIO, time: clock.Clock | None = None) -> None:
        self.dropped = 0
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)
        self._unwritten = b""
        self._available_bytes = float(BURST_BYTES)
        self._clock = time or clock.Clock()
        self._refilled_ms = self._clock.now_ms()

    def write(self, text: str) -> int:
        """Writes a line or drops it; returns the length of the text."""
        data = text.encode("utf-8", "replace")[:MAX_LINE_BYTES]
        if not data.endswith(b"\n"):
            data += b"\n"
        if self.dropped:
            data = b"event=log_lines_dropped count=%d\n" % self.dropped + data
        if not self._flush_unwritten() or not self._consume(len(data)):
            self.dropped += 1
            return len(text)
        self.dropped = 0
        self._unwritten = data
        self._flush_unwritten()
        return len(text)

    def flush(self) -> None:
        """Does nothing, since lines are not buffered."""

    def _consume(self, size_bytes: int) -> bool:
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._refilled_ms) / clock.MS_PER_S
        refill_bytes = elapsed_s * MAX_BYTES_PER_S
        self._available_bytes = min(
            BURST_BYTES, self._available_bytes + refill_bytes
        )
        self._refilled_ms = now_ms
        if self._available_bytes < size_bytes:
            return False
        self._available_bytes -= size_bytes
        return True

    def _flush_unwritten(self) -> bool:
        """Writes the rest of the last line; returns whether all is written."""
        while self._unwritten:
            written = 0
            with contextlib.suppress(BlockingIOError, BrokenPipeError):
                written = os.write(self._descriptor, self._unwritten)
            if not written:
                return False
            self._unwritten = self._unwritten[written:]
        return True


__all__ = ["BURST_BYTES", "MAX_BYTES_PER_S", "BoundedOutput"]
