"""Messages between the members of a group."""

from __future__ import annotations

import msgspec

from lycheering.replication import members
from lycheering.store import entries


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages."""


class IdentifyRequest(Message, frozen=True):
    """Asks who listens at an address."""


class IdentifyReply(Message, frozen=True):
    """Says who listens here.

    Attributes:
        member_id: Identity of the member.
        has_log: Whether it holds any entry or has ever voted.
    """

    member_id: members.MemberId
    has_log: bool


class MemberRequest(Message, frozen=True):
    """Base of requests from one member to another.

    Attributes:
        sender: Who sends it.
        receiver: Whom it is meant for; another disk refuses it.
        term: Term of the sender.
    """

    sender: members.MemberId
    receiver: members.MemberId
    term: int


class VoteRequest(MemberRequest, frozen=True):
    """Asks for a vote.

    Attributes:
        last: The candidate's last entry.
        is_trial: Asks only whether a vote would be granted.
        is_transfer: The leader itself asked for the election.
    """

    last: entries.Position
    is_trial: bool = False
    is_transfer: bool = False


class AppendRequest(MemberRequest, frozen=True):
    """Carries entries; without any it is a heartbeat.

    Attributes:
        previous: The entry right before the first one carried.
        commit_index: Last index known to be on a quorum.
        entries: The entries.
    """

    previous: entries.Position
    commit_index: int
    entries: list[entries.Entry]


class SnapshotRequest(MemberRequest, frozen=True):
    """Carries a piece of a snapshot.

    Attributes:
        position: The last entry that the snapshot covers.
        configuration: The members at that entry.
        offset: Where in the data the piece starts, in bytes.
        total_bytes: Length of the data.
        piece: The piece.
    """

    position: entries.Position
    configuration: bytes
    offset: int
    total_bytes: int
    piece: bytes


class ElectNowRequest(MemberRequest, frozen=True):
    """Asks a follower to stand for election at once."""


class MemberReply(Message, frozen=True):
    """Base of replies from one member to another.

    Attributes:
        sender: Who replies.
        term: Term of the sender.
    """

    sender: members.MemberId
    term: int


class VoteReply(MemberReply, frozen=True):
    """Answers a request for a vote.

    Attributes:
        is_granted: Whether the vote is given.
    """

    is_granted: bool


class AppendReply(MemberReply, frozen=True):
    """Answers a request to append.

    Attributes:
        is_matching: Whether the log agrees with the leader's.
        index: If so, up to where that is synced by now; if not, where to
            try next.
    """

    is_matching: bool
    index: int


class SnapshotReply(MemberReply, frozen=True):
    """Answers a piece of a snapshot.

    Attributes:
        received_bytes: How much of the data has arrived.
    """

    received_bytes: int


class ElectNowReply(MemberReply, frozen=True):
    """Answers a request to stand for election."""


class RefusedReply(Message, frozen=True):
    """Refuses a request that was meant for another disk, or any on a fault.

    Attributes:
        member_id: Who listens here in truth.
        reason: Why it is refused.
    """

    member_id: members.MemberId
    reason: str


AnyMessage = (
    IdentifyRequest
    | IdentifyReply
    | VoteRequest
    | AppendRequest
    | SnapshotRequest
    | ElectNowRequest
    | VoteReply
    | AppendReply
    | SnapshotReply
    | ElectNowReply
    | RefusedReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)


def encode(message: Message) -> bytes:
    """Returns a message as bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Returns the message in the bytes.

    Raises:
        msgspec.DecodeError: The bytes hold no valid message.
    """
    return _decoder.decode(data)


__all__ = [
    "AnyMessage",
    "AppendReply",
    "AppendRequest",
    "ElectNowReply",
    "ElectNowRequest",
    "IdentifyReply",
    "IdentifyRequest",
    "MemberReply",
    "MemberRequest",
    "Message",
    "SnapshotReply",
    "SnapshotRequest",
    "VoteReply",
    "VoteRequest",
    "RefusedReply",
    "decode",
    "encode",
]
