"""Answers that a target begins before it has read the body of a request."""

from __future__ import annotations

import dataclasses
import enum

from standins import spoiled_streams

# what a target reads of a body before it answers
READ_BYTES = 10_000
RECEIVE_BUFFER_BYTES = 32_768
SHORT = b"early" * 200
# more than an entry buffers of an answer
LONG = b"early" * 120_000


class End(enum.StrEnum):
    """What a target does after the part of its answer that it sends.

    Attributes:
        RESETS: Resets the connection once that part has arrived.
        RESETS_AT_ONCE: Resets it at once, so that the part may be lost.
        CLOSES: Closes it with a part of the body unread.
        ENDS: Ends its side, and resets the connection later.
        READS_ON: Ends its answer properly and reads the rest of the body.
    """

    RESETS = "resets its connection"
    RESETS_AT_ONCE = "resets its connection at once"
    CLOSES = "closes its connection"
    ENDS = "ends its side and resets its connection"
    READS_ON = "reads on"


@dataclasses.dataclass(frozen=True)
class EarlyAnswer:
    """An answer to a request whose body is still being written.

    Attributes:
        body: The part of the answer's body that is sent.
        framing: How the end of the answer is told.
        end: What comes after that part.
        is_stream: Whether the body consists of events.
    """

    body: bytes
    framing: spoiled_streams.Framing
    end: End
    is_stream: bool = False

    @property
    def headers(self) -> str:
        """The headers of the answer, as lines."""
        kind = "text/event-stream" if self.is_stream else "text/plain"
        lines = f"Content-Type: {kind}\r\n"
        missing = 0 if self.end is End.READS_ON else 100
        match self.framing:
            case spoiled_streams.Framing.LENGTH:
                lines += f"Content-Length: {len(self.body) + missing}\r\n"
            case spoiled_streams.Framing.CHUNKS:
                lines += "Transfer-Encoding: chunked\r\n"
        return lines

    @property
    def framed_body(self) -> bytes:
        """The part of the body as it is sent."""
        if self.framing is not spoiled_streams.Framing.CHUNKS:
            return self.body
        terminator = b"0\r\n\r\n" if self.end is End.READS_ON else b""
        return b"%x\r\n" % len(self.body) + self.body + b"\r\n" + terminator


_BODY_BY_NAME = {
    "a short answer": SHORT,
    "a long answer": LONG,
    "a stream": spoiled_streams.event(1) + spoiled_streams.event(2),
}
ANSWERS = {
    f"begins {name} with {framing} early and {end}": EarlyAnswer(
        body, framing, end, is_stream=name == "a stream"
    )
    for name, body in _BODY_BY_NAME.items()
    for framing in spoiled_streams.Framing
    for end in End
}

__all__ = [
    "ANSWERS",
    "READ_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "EarlyAnswer",
    "End",
]
