"""Messages by which entries share the software versions of streams."""

from __future__ import annotations

import msgspec


class BegunStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams whose first event a software version brought.

    Attributes:
        version: The software version.
        streams: Digests of the ids of the requests that brought those events.
    """

    version: str
    streams: tuple[int, ...]


class WantedStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream whose software version an entry needs to know.

    Attributes:
        stream: Digest of the id of the request that brought its first event;
            0 if the caller does not name it.
        service: The service that the stream belongs to.
    """

    stream: int
    service: str


class StreamExchange(msgspec.Struct, frozen=True, array_like=True, tag=67):
    """Reports streams that have begun and asks for those of other entries.

    Attributes:
        begun: Streams that began at the sender.
        wanted: Streams that callers take up at the sender.
    """

    begun: tuple[BegunStreams, ...] = ()
    wanted: tuple[WantedStream, ...] = ()


class StreamReply(msgspec.Struct, frozen=True, array_like=True, tag=68):
    """Answers StreamExchange.

    Attributes:
        versions: Software version of each wanted stream, in their order; None
            where it can't be told.
    """

    versions: tuple[str | None, ...] = ()


__all__ = ["BegunStreams", "StreamExchange", "StreamReply", "WantedStream"]
