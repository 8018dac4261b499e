"""What control instances say to each other inside LogCall and LogReply."""

from __future__ import annotations

import msgspec

from lycheering.fleet import records


class ReplicationCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Carries a message of the replicated log, or its reply.

    Attributes:
        data: The encoded message.
    """

    data: bytes


class ProposeCall(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Hands an operator's command to the leader.

    Attributes:
        command: The encoded command.
    """

    command: bytes


class ReadIndexCall(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the leader how far a state must be to be current."""


class ReplaceCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks the leader to replace a member.

    Attributes:
        old: The instance that leaves.
        new: The instance that joins.
        address: Where it listens, as `ip:port`.
    """

    old: str
    new: str
    address: str


class CancelChangeCall(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks the leader to give up the change of members under way.

    Attributes:
        joining: The identity of the newcomer that leaves again.
    """

    joining: str


class RegisterCall(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Hands registrations on to the leader.

    Attributes:
        targets: The targets, with their agents.
    """

    targets: tuple[records.Target, ...]


class JoinCall(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks the leader to take an instance into the group.

    Attributes:
        instance: The instance.
        address: Where it listens, as `ip:port`.
    """

    instance: str
    address: str


class Proposed(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers ProposeCall.

    Attributes:
        reply: The state machine's encoded reply.
    """

    reply: bytes


class ReadIndex(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Answers ReadIndexCall.

    Attributes:
        index: The index that a current state has applied.
    """

    index: int


class Replaced(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Answers ReplaceCall, once the repair is over.

    Attributes:
        joined: The identity of the newcomer.
        left: The identity of the member that left.
        synced_index: Up to where the newcomer had synced the log.
    """

    joined: str
    left: str
    synced_index: int


class ChangeCancelled(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers CancelChangeCall, once the newcomer has left.

    Attributes:
        joining: The identity of the newcomer that left.
    """

    joining: str


class RegisteredAll(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Answers RegisterCall.

    Attributes:
        highest_fence: The highest fencing number granted so far.
        superseded: The agents' incarnations that others have replaced.
    """

    highest_fence: int
    superseded: tuple[str, ...]


PeerMessage = (
    ReplicationCall
    | ProposeCall
    | ReadIndexCall
    | ReplaceCall
    | CancelChangeCall
    | RegisterCall
    | JoinCall
    | Proposed
    | ReadIndex
    | Replaced
    | ChangeCancelled
    | RegisteredAll
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage
)


def encode(message: PeerMessage) -> bytes:
    """Returns a message's bytes."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage:
    """Reads a message.

    Raises:
        msgspec.DecodeError: If the bytes hold none.
    """
    return _DECODER.decode(data)


__all__ = [
    "CancelChangeCall",
    "ChangeCancelled",
    "JoinCall",
    "PeerMessage",
    "ProposeCall",
    "Proposed",
    "ReadIndex",
    "ReadIndexCall",
    "RegisterCall",
    "RegisteredAll",
    "ReplaceCall",
    "Replaced",
    "ReplicationCall",
    "decode",
    "encode",
]
