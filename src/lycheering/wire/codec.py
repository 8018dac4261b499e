"""Frames to bytes and back."""

from __future__ import annotations

import msgspec

from lycheering.wire import errors
from lycheering.wire import messages

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.Envelope)


def encode(envelope: messages.Envelope) -> bytes:
    """Returns a frame's bytes."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> messages.Envelope:
    """Reads a frame.

    Args:
        data: The frame's bytes, from a peer that is not trusted.

    Returns:
        The frame.

    Raises:
        MalformedFrameError: If it can't be read or is of another version.
    """
    try:
        envelope = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedFrameError(str(error)) from error
    if envelope.version != messages.PROTOCOL_VERSION:
        raise errors.MalformedFrameError(f"version {envelope.version}")
    return envelope


__all__ = ["decode", "encode"]
