"""Streams of a faulty target: sound events, and what spoils them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

NOISE = b"\x93\x07 no"
# bytes with which neither a field nor a comment begins
NOISE_STARTS = b"\x93\xff\x07<"
MAX_NOISE_BYTES = 40
MAX_MISSING_BYTES = 20
EVENT = b"id: %d\ndata: piece %d\n\n"
STREAM_HEADER = "Content-Type: text/event-stream\r\n"


def event(number: int) -> bytes:
    """Returns a sound event."""
    return EVENT % (number, number)


def _without_id(_: int) -> bytes:
    return b"data: noise\n\n"


def _with_empty_id(_: int) -> bytes:
    return b"id:\ndata: noise\n\n"


def _noise(_: int) -> bytes:
    return NOISE + b"\n\n"


def _noise_before(number: int) -> bytes:
    return NOISE + event(number)


def _ahead(number: int) -> bytes:
    return event(number + 1)


def _twice(number: int) -> bytes:
    return event(number - 1)


def _broken_off_in_data(number: int) -> bytes:
    return event(number)[:-4] + event(number + 1)


def _broken_off_and_sent_again(number: int) -> bytes:
    return event(number)[:-4] + event(number)


def _broken_off_and_begun_again(number: int) -> bytes:
    return event(number)[:-4] + event(1)


def _broken_off_and_ahead(number: int) -> bytes:
    return event(number)[:-4] + event(number + 2)


def _joined_with_next(number: int) -> bytes:
    return event(number)[:-4] + 2 * event(number + 1)


def _joined_with_later(number: int) -> bytes:
    return event(number)[:-4] + event(number + 2) + event(number + 1)


def _broken_off_in_name(number: int) -> bytes:
    return b"id: %d\nda" % number + event(number + 1)


def _broken_off_in_id(number: int) -> bytes:
    return b"id: " + event(number + 1)


def _without_data(number: int) -> bytes:
    return b"id: %d\n\n" % number


# what comes before the event with a number, or in its place
SPOILS: dict[str, Callable[[int], bytes]] = {
    "an event without an id": _without_id,
    "an event with an empty id": _with_empty_id,
    "noise that ends with an empty line": _noise,
    "noise before the next event": _noise_before,
    "an event that jumps ahead": _ahead,
    "an event that comes twice": _twice,
    "an event broken off inside its data": _broken_off_in_data,
    "an event broken off and sent again": _broken_off_and_sent_again,
    "an event broken off and the first one": _broken_off_and_begun_again,
    "an event broken off and a later one": _broken_off_and_ahead,
    "an event joined with the next, which comes again": _joined_with_next,
    "an event joined with a later one, out of order": _joined_with_later,
    "an event broken off inside a name": _broken_off_in_name,
    "an event broken off inside its id": _broken_off_in_id,
    "an event without data": _without_data,
}


class Framing(enum.StrEnum):
    """How the end of an answer is told."""

    CHUNKS = "chunks"
    LENGTH = "a length"
    CLOSE = "no length"


class End(enum.StrEnum):
    """What comes after the spoiled event."""

    GOES_ON = "goes on"
    ENDS = "ends"
    CUT = "is cut"


@dataclasses.dataclass(frozen=True)
class SpoiledStream:
    """A stream of events, spoiled after some sound ones.

    Attributes:
        spoil: What spoils it, a key of `SPOILS`; empty for nothing.
        framing: How its end is told.
        end: What comes after the spoiled event.
        sound: Number of sound events before it.
        pieces: Number of events of a whole stream.
        comment: The line that each event begins with; empty for none.
        noise: What takes the place of `NOISE`.
        missing: Number of bytes that are missing at its end.
    """

    spoil: str = ""
    framing: Framing = Framing.CHUNKS
    end: End = End.GOES_ON
    sound: int = 3
    pieces: int = 8
    comment: bytes = b""
    noise: bytes = NOISE
    missing: int = 0

    def parts(self, first: int = 1) -> list[bytes]:
        """Returns the events, or what of them comes before it is cut.

        Args:
            first: Number of the first event.
        """
        parts = [event(number) for number in range(first, self.sound + 1)]
        if self.spoil:
            parts.append(SPOILS[self.spoil](self.sound + 1))
        if self.end is End.GOES_ON:
            rest = range(self._goes_on_at(), self.pieces + 1)
            parts += [event(number) for number in rest]
        parts = [
            part.replace(b"id: ", self.comment + b"id: ").replace(
                NOISE, self.noise
            )
            for part in parts
        ]
        if parts and self.missing:
            # some bytes stay, so that the end is inside an event
            parts[-1] = parts[-1][: -self.missing] or parts[-1][:1]
        return parts

    def body(self, first: int = 1) -> bytes:
        """Returns the body, or what of it comes before it is cut.

        Args:
            first: Number of the first event.
        """
        return b"".join(self.parts(first))

    def _goes_on_at(self) -> int:
        """Returns the number of the first event after the spoiled one."""
        spoiled = SPOILS[self.spoil](self.sound + 1) if self.spoil else b""
        skips = event(self.sound + 2) in spoiled
        replaces = event(self.sound + 1) in spoiled or (
            self.spoil == "an event without data"
        )
        return self.sound + 1 + (2 if skips else int(replaces))

    def headers(self, first: int = 1) -> str:
        """Returns the headers of the answer, as lines.

        Args:
            first: Number of the first event.
        """
        if self.framing is Framing.CHUNKS:
            return STREAM_HEADER + "Transfer-Encoding: chunked\r\n"
        if self.framing is Framing.LENGTH:
            length = len(self.body(first)) + 100 * (self.end is End.CUT)
            return STREAM_HEADER + f"Content-Length: {length}\r\n"
        return STREAM_HEADER

    def framed(self, data: bytes) -> bytes:
        """Returns a part of the body as it is sent."""
        if self.framing is Framing.CHUNKS and data:
            return b"%x\r\n" % len(data) + data + b"\r\n"
        return data

    @property
    def terminator(self) -> bytes:
        """What ends the body besides the connection."""
        is_ended = self.framing is Framing.CHUNKS and self.end is not End.CUT
        return b"0\r\n\r\n" if is_ended else b""


def draw(
    rng: random.Random, first: int, pieces: int, comment: bytes
) -> SpoiledStream:
    """Returns a stream that a caller can tell from a sound one, or a sound one.

    Args:
        rng: Determines the stream.
        first: Number of the first event.
        pieces: Number of events of a whole stream.
        comment: The line that each event begins with.
    """
    spoil = rng.choice(["", *SPOILS])
    framing = rng.choice(list(Framing))
    end = rng.choice(list(End))
    if not spoil and framing is not Framing.CLOSE and end is End.ENDS:
        # its framing would prove that it is whole
        end = End.GOES_ON
    start = rng.choice(NOISE_STARTS)
    return SpoiledStream(
        spoil,
        framing,
        end,
        sound=rng.randrange(first - 1, pieces + 1),
        pieces=pieces,
        comment=comment,
        noise=bytes([start]) + rng.randbytes(rng.randrange(MAX_NOISE_BYTES)),
        missing=rng.choice([0, rng.randrange(MAX_MISSING_BYTES)]),
    )


__all__ = ["SPOILS", "End", "Framing", "SpoiledStream", "draw", "event"]
