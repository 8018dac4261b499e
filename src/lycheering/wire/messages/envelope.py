"""The envelope of each message, which is one frame."""

from __future__ import annotations

import msgspec

from lycheering.fleet import view_parts
from lycheering.wire.messages import allowances
from lycheering.wire.messages import common
from lycheering.wire.messages import crashes
from lycheering.wire.messages import loads
from lycheering.wire.messages import members
from lycheering.wire.messages import orders
from lycheering.wire.messages import requests
from lycheering.wire.messages import session
from lycheering.wire.messages import streams

PROTOCOL_VERSION = 2

Message = (
    session.Hello
    | session.Welcome
    | session.Heartbeat
    | session.HeartbeatReply
    | session.HelloRequired
    | session.Failure
    | session.Done
    | session.Bye
    | session.ViewFetch
    | session.ViewUpdate
    | view_parts.ViewPart
    | session.ViewLater
    | session.ViewNotice
    | requests.Submit
    | requests.Resume
    | requests.Cancel
    | requests.Ack
    | requests.CacheInquiry
    | requests.CacheReport
    | requests.Accepted
    | requests.Started
    | requests.Chunks
    | requests.Finished
    | requests.NotRun
    | requests.Broken
    | orders.OrderClaim
    | orders.OrderReply
    | orders.OrderFinish
    | orders.OrderRelease
    | orders.OrderLookup
    | orders.OrderInquiry
    | orders.OrderInquiryReply
    | members.Register
    | members.Registered
    | members.Deregister
    | members.TargetOrder
    | members.TargetOrderReply
    | members.TargetReport
    | members.StatusFetch
    | members.StatusReply
    | members.CountersFetch
    | members.CountersReply
    | members.LogCall
    | members.LogReply
    | members.CurrentFetch
    | members.Current
    | loads.LoadExchange
    | loads.LoadReply
    | crashes.EvidenceExchange
    | streams.StreamExchange
    | streams.StreamReply
    | allowances.AllowanceExchange
    | allowances.AllowanceReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame: a message with its session, call and expiry.

    Attributes:
        version: The protocol version.
        sender: Name of the sender's instance; only in Hello and Welcome.
        sender_incarnation: Incarnation of the sender; set in Hello and in all
            frames that a server sends.
        receiver_incarnation: Incarnation that the frame is meant for; set in
            Welcome and in all frames that a client sends except Hello.
        view_revision: Revision of the fleet view that the sender uses.
        call_id: Matches a reply with its call on the connection; 0 for frames
            that are neither.
        expires_ms: Time from which the receiver must ignore the frame, by the
            receiver's clock; 0 for never.
        message: The message.
        load: The sender's load; only in some frames of agents.
    """

    version: int
    sender: str
    sender_incarnation: str
    receiver_incarnation: str
    view_revision: int
    call_id: int
    expires_ms: float
    message: Message
    load: common.LoadReport | None = None


__all__ = ["PROTOCOL_VERSION", "Envelope", "Message"]
