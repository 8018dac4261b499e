"""Encodes frames to MessagePack and decodes them."""

from __future__ import annotations

import msgspec

from lycheering.wire import errors
from lycheering.wire import messages

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.Envelope)


def encode(envelope: messages.Envelope) -> bytes:
    """Returns the encoded frame."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> messages.Envelope:
    """Decodes a frame.

    Args:
        data: The encoded frame, from an untrusted peer.

    Returns:
        The frame.

    Raises:
        MalformedFrameError: If the bytes are not a valid frame or have
            another protocol version.
    """
    try:
        envelope = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedFrameError(str(error)) from error
    if envelope.version != messages.PROTOCOL_VERSION:
        raise errors.MalformedFrameError(
            f"unsupported protocol version {envelope.version}"
        )
    return envelope


__all__ = ["decode", "encode"]
