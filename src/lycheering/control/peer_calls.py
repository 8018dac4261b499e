"""The calls between control instances inside LogCall and LogReply."""

from __future__ import annotations

import msgspec

from lycheering.fleet import records


class ReplicationCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Carries a message of the replicated log or the reply to one.

    Attributes:
        data: The encoded message.
    """

    data: bytes


class ProposeCall(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Forwards a command to the leader.

    Attributes:
        command: The encoded command.
    """

    command: bytes


class ReadIndexCall(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the leader for the index that a current state has applied."""


class ReplaceCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks the leader to replace a member.

    Attributes:
        old: The instance to remove.
        new: The instance to add.
        address: The address of the new instance as `ip:port`.
    """

    old: str
    new: str
    address: str


class CancelChangeCall(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks the leader to cancel the member change in progress.

    Attributes:
        joining: The identity of the new member, which is removed.
    """

    joining: str


class RegisterCall(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Forwards registrations to the leader.

    Attributes:
        targets: The targets, with their agents' incarnations.
    """

    targets: tuple[records.Target, ...]


class JoinCall(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks the leader to add an instance to the group.

    Attributes:
        instance: The instance to add.
        address: The address of the instance as `ip:port`.
    """

    instance: str
    address: str


class LeaveCall(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks the leader to replace a voter that stops by a learner.

    Attributes:
        voter: The identity of the voter.
    """

    voter: str


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
    """Answers ReplaceCall, JoinCall or LeaveCall once the change is complete.

    Attributes:
        joined: The identity of the new member; empty if there is none.
        left: The identity of the removed member; empty if there is none.
        synced_index: The last log index that the new member had on disk.
    """

    joined: str
    left: str
    synced_index: int


class ChangeCancelled(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers CancelChangeCall once the new member is removed.

    Attributes:
        joining: The identity of the removed member.
    """

    joining: str


class RegisteredAll(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Answers RegisterCall.

    Attributes:
        highest_fence: The highest fencing number granted so far.
        superseded: Agent incarnations that other incarnations have replaced.
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
    | LeaveCall
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
    """Encodes a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: If the bytes are not a message.
    """
    return _DECODER.decode(data)


__all__ = [
    "CancelChangeCall",
    "ChangeCancelled",
    "JoinCall",
    "LeaveCall",
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
