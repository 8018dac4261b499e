"""Messages that the members of a group exchange."""

from __future__ import annotations

import msgspec

from lycheering.replication import members
from lycheering.store import entries


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages."""


class IdentifyRequest(Message, frozen=True):
    """Asks for the identity of the member at an address."""


class IdentifyReply(Message, frozen=True):
    """Answers with the identity of this member.

    Attributes:
        member_id: Identity of the member.
        has_log: Whether its disk has ever been part of a group: its log holds
            an entry, or it has seen a term.
        group_id: Identity of the group whose log it holds; empty if unknown.
        has_entries: Whether its log holds an entry.
    """

    member_id: members.MemberId
    has_log: bool
    group_id: str = ""
    has_entries: bool = True


class MemberRequest(Message, frozen=True):
    """Base of requests from one member to another.

    Attributes:
        sender: The member that sends it.
        receiver: The member it is meant for; a member with another disk
            refuses it.
        term: Term of the sender.
    """

    sender: members.MemberId
    receiver: members.MemberId
    term: int


class VoteRequest(MemberRequest, frozen=True):
    """Asks for a vote.

    Attributes:
        last: Position of the candidate's last log entry.
        is_trial: Whether this is a pre-vote, which only asks whether a vote
            would be granted.
        is_transfer: Whether the leader asked for the election.
    """

    last: entries.Position
    is_trial: bool = False
    is_transfer: bool = False


class AppendRequest(MemberRequest, frozen=True):
    """Sends log entries; without any it is a heartbeat.

    Attributes:
        previous: Position of the entry right before the first one sent.
        commit_index: Last index known to be synced on a quorum.
        entries: The entries.
    """

    previous: entries.Position
    commit_index: int
    entries: list[entries.Entry]


class SnapshotRequest(MemberRequest, frozen=True):
    """Sends a piece of a snapshot.

    Attributes:
        position: Position of the last entry that the snapshot covers.
        configuration: The encoded configuration at that entry.
        offset: Offset of the piece in the snapshot's data, in bytes.
        total_bytes: Length of the snapshot's data.
        piece: The bytes of the piece.
    """

    position: entries.Position
    configuration: bytes
    offset: int
    total_bytes: int
    piece: bytes


class ElectNowRequest(MemberRequest, frozen=True):
    """Asks a follower to start an election at once."""


class MemberReply(Message, frozen=True):
    """Base of replies from one member to another.

    Attributes:
        sender: The member that replies.
        term: Term of the sender.
    """

    sender: members.MemberId
    term: int


class VoteReply(MemberReply, frozen=True):
    """Answers a VoteRequest.

    Attributes:
        is_granted: Whether the vote is granted.
    """

    is_granted: bool


class AppendReply(MemberReply, frozen=True):
    """Answers an AppendRequest.

    Attributes:
        is_matching: Whether the log agrees with the leader's.
        index: If it does, the last agreeing index that is synced by now; if
            not, the index from which the leader tries next.
    """

    is_matching: bool
    index: int


class SnapshotReply(MemberReply, frozen=True):
    """Answers a SnapshotRequest.

    Attributes:
        received_bytes: Bytes of the data received so far, which is the next
            offset.
    """

    received_bytes: int


class ElectNowReply(MemberReply, frozen=True):
    """Answers an ElectNowRequest."""


class RefusedReply(Message, frozen=True):
    """Refuses a request for a member with another disk, or after a failure.

    Attributes:
        member_id: Identity of the member that refuses.
        reason: Why it refuses.
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
    """Returns a message, encoded."""
    return _encoder.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Returns the message that the bytes encode.

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
