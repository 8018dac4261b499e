"""The envelope that carries each message."""

from __future__ import annotations

import msgspec

from lycheering.fleet import view_parts
from lycheering.wire.messages import common
from lycheering.wire.messages import loads
from lycheering.wire.messages import members
from lycheering.wire.messages import orders
from lycheering.wire.messages import requests
from lycheering.wire.messages import session

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
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame.

    Attributes:
        version: The protocol's version.
        sender: The sender's instance; only in Hello and Welcome.
        sender_incarnation: The sender's incarnation; in Hello, and in all
            that a server sends.
        receiver_incarnation: Whom the frame is for; in Welcome, and in all
            that a client sends but Hello.
        view_revision: The view revision that the sender has in force.
        call_id: Pairs replies with calls on a connection; 0 for neither.
        expires_ms: When the frame must no longer be acted on, by the
            receiver's clock; 0 for never.
        message: What is said.
        load: The sender's load, on some of an agent's frames.
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
