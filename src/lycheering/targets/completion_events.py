"""Parses the server-sent events of a streamed completion."""

from __future__ import annotations

import msgspec

from lycheering import json_input
from lycheering.streams import events

DONE = b"[DONE]"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()


def _is_final_chunk(data: bytes) -> bool:
    chunk = json_input.decode(data, _Chunk)
    return any(choice.finish_reason for choice in chunk.choices)


def _describe_no_chunk(data: bytes) -> str:
    start = ascii(data[: events.MAX_REPORTED_BYTES])[1:]
    return f"a chunk is due: no JSON of a chunk, came {start}"


class CompletionEventParser:
    """Reads the numbered chunks of a completion and detects its end.

    Attributes:
        is_complete: Whether the final chunk and then the end mark were read.
        violation: Why nothing more is accepted; empty while all is well.
    """

    def __init__(self, first_seq: int) -> None:
        self.is_complete = False
        self.violation = ""
        self._has_final_chunk = False
        self._reader = events.EventReader(first_seq, end_mark=DONE)

    def feed(self, part: bytes) -> tuple[bytes, ...]:
        """Returns the data of the events that are complete with this part.

        Chunks before a violation are returned as well.

        Args:
            part: The next bytes of the stream.
        """
        chunks: list[bytes] = []
        if self.violation or self.is_complete:
            return ()
        for event in self._reader.feed(part):
            if event.number is None and event.data != DONE:
                continue
            if event.number is None:
                self.is_complete = self._has_final_chunk
                if not self.is_complete:
                    self.violation = "the end mark came before the final chunk"
                return tuple(chunks)
            try:
                is_final = _is_final_chunk(event.data)
            except msgspec.DecodeError:
                self.violation = _describe_no_chunk(event.data)
                return tuple(chunks)
            self._has_final_chunk |= is_final
            chunks.append(event.data)
        self.violation = self._reader.violation
        return tuple(chunks)


__all__ = ["DONE", "CompletionEventParser"]
