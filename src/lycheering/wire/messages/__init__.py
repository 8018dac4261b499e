"""The messages that entries, agents and control instances exchange."""

from __future__ import annotations

from lycheering.fleet.view_parts import ViewPart
from lycheering.wire.messages.allowances import AllowanceAsk
from lycheering.wire.messages.allowances import AllowanceExchange
from lycheering.wire.messages.allowances import AllowanceGrant
from lycheering.wire.messages.allowances import AllowanceReply
from lycheering.wire.messages.common import LoadReport
from lycheering.wire.messages.common import Reason
from lycheering.wire.messages.common import Role
from lycheering.wire.messages.common import WidthHint
from lycheering.wire.messages.crashes import AnsweredPart
from lycheering.wire.messages.crashes import BrokenPrompt
from lycheering.wire.messages.crashes import CrashEvidence
from lycheering.wire.messages.crashes import EvidenceExchange
from lycheering.wire.messages.crashes import TargetCrash
from lycheering.wire.messages.envelope import PROTOCOL_VERSION
from lycheering.wire.messages.envelope import Envelope
from lycheering.wire.messages.envelope import Message
from lycheering.wire.messages.loads import LoadExchange
from lycheering.wire.messages.loads import LoadReply
from lycheering.wire.messages.loads import PromptRead
from lycheering.wire.messages.loads import TargetLoad
from lycheering.wire.messages.members import ControlPeer
from lycheering.wire.messages.members import CountersFetch
from lycheering.wire.messages.members import CountersReply
from lycheering.wire.messages.members import Current
from lycheering.wire.messages.members import CurrentFetch
from lycheering.wire.messages.members import Deregister
from lycheering.wire.messages.members import LogCall
from lycheering.wire.messages.members import LogReply
from lycheering.wire.messages.members import PeerStatus
from lycheering.wire.messages.members import Register
from lycheering.wire.messages.members import Registered
from lycheering.wire.messages.members import StatusFetch
from lycheering.wire.messages.members import StatusReply
from lycheering.wire.messages.members import TargetOrder
from lycheering.wire.messages.members import TargetOrderKind
from lycheering.wire.messages.members import TargetOrderReply
from lycheering.wire.messages.members import TargetReport
from lycheering.wire.messages.orders import InquiryResult
from lycheering.wire.messages.orders import OrderClaim
from lycheering.wire.messages.orders import OrderFinish
from lycheering.wire.messages.orders import OrderInquiry
from lycheering.wire.messages.orders import OrderInquiryReply
from lycheering.wire.messages.orders import OrderLookup
from lycheering.wire.messages.orders import OrderOutcome
from lycheering.wire.messages.orders import OrderRelease
from lycheering.wire.messages.orders import OrderReply
from lycheering.wire.messages.orders import OrderState
from lycheering.wire.messages.rates import NamedRate
from lycheering.wire.messages.rates import RateReply
from lycheering.wire.messages.rates import RateReport
from lycheering.wire.messages.rates import SendPermits
from lycheering.wire.messages.requests import Accepted
from lycheering.wire.messages.requests import Ack
from lycheering.wire.messages.requests import Broken
from lycheering.wire.messages.requests import CacheInquiry
from lycheering.wire.messages.requests import CacheReport
from lycheering.wire.messages.requests import Cancel
from lycheering.wire.messages.requests import Chunks
from lycheering.wire.messages.requests import Finished
from lycheering.wire.messages.requests import NotRun
from lycheering.wire.messages.requests import OrderTicket
from lycheering.wire.messages.requests import Resume
from lycheering.wire.messages.requests import Started
from lycheering.wire.messages.requests import Submit
from lycheering.wire.messages.session import Bye
from lycheering.wire.messages.session import Done
from lycheering.wire.messages.session import Failure
from lycheering.wire.messages.session import Heartbeat
from lycheering.wire.messages.session import HeartbeatReply
from lycheering.wire.messages.session import Hello
from lycheering.wire.messages.session import HelloRequired
from lycheering.wire.messages.session import ViewFetch
from lycheering.wire.messages.session import ViewLater
from lycheering.wire.messages.session import ViewNotice
from lycheering.wire.messages.session import ViewUpdate
from lycheering.wire.messages.session import Welcome
from lycheering.wire.messages.streams import BegunStreams
from lycheering.wire.messages.streams import StreamExchange
from lycheering.wire.messages.streams import StreamReply
from lycheering.wire.messages.streams import WantedStream

__all__ = [
    "AllowanceReply",
    "AllowanceGrant",
    "AllowanceExchange",
    "AllowanceAsk",
    "WantedStream",
    "StreamReply",
    "StreamExchange",
    "BegunStreams",
    "SendPermits",
    "RateReport",
    "RateReply",
    "NamedRate",
    "Accepted",
    "Ack",
    "Broken",
    "Bye",
    "CacheInquiry",
    "CacheReport",
    "Cancel",
    "Chunks",
    "ControlPeer",
    "AnsweredPart",
    "BrokenPrompt",
    "CountersFetch",
    "CrashEvidence",
    "EvidenceExchange",
    "TargetCrash",
    "CountersReply",
    "Current",
    "CurrentFetch",
    "Deregister",
    "Done",
    "Envelope",
    "Failure",
    "Finished",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "HelloRequired",
    "InquiryResult",
    "LoadExchange",
    "LoadReply",
    "LoadReport",
    "LogCall",
    "LogReply",
    "Message",
    "NotRun",
    "OrderClaim",
    "OrderFinish",
    "OrderInquiry",
    "OrderInquiryReply",
    "OrderLookup",
    "OrderOutcome",
    "OrderRelease",
    "OrderReply",
    "OrderState",
    "OrderTicket",
    "PROTOCOL_VERSION",
    "PeerStatus",
    "PromptRead",
    "Reason",
    "Register",
    "Registered",
    "Resume",
    "Role",
    "Started",
    "StatusFetch",
    "StatusReply",
    "Submit",
    "TargetLoad",
    "TargetOrder",
    "TargetOrderKind",
    "TargetOrderReply",
    "TargetReport",
    "ViewFetch",
    "ViewLater",
    "ViewNotice",
    "ViewPart",
    "ViewUpdate",
    "Welcome",
    "WidthHint",
]
