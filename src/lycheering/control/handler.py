"""Handles the messages of entries, agents and control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import failures
from lycheering.control import member_replacements
from lycheering.control import peer_calls
from lycheering.control import transport
from lycheering.retries import evidence_exchange
from lycheering.wire import api as wire_api
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import fleet_status
    from lycheering.control import order_handler
    from lycheering.control import registrations
    from lycheering.control import replica
    from lycheering.control.direct import group_membership
    from lycheering.control.direct import load_aggregator
    from lycheering.control.direct import team_allowances
    from lycheering.telemetry import counters
    from lycheering.wire import server

MAX_OPEN_CALLS = 5_000


class ControlHandler(wire_api.SessionHandler):
    """Runs each call in its own task, so that calls don't wait for each other.

    On a follower, order calls of entries fail with the leader's name instead
    of being forwarded: the entry then knows that the call had no effect, and
    its next call needs one hop only. Calls of agents about their targets are
    forwarded to the leader, since they are idempotent and agents stay
    connected to the same instance.
    """

    def __init__(
        self,
        group: replica.Replica,
        order_calls: order_handler.OrderHandler,
        registration_batcher: registrations.RegistrationBatcher,
        status: fleet_status.FleetStatus,
        counts: counters.Counters,
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._replacements = member_replacements.MemberReplacements(group)
        self._orders = order_calls
        self._registrations = registration_batcher
        self._status = status
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._open_calls = 0
        self.group_membership: group_membership.GroupMembership | None = None
        self.load_aggregator: load_aggregator.LoadAggregator | None = None
        self.allowances: team_allowances.TeamAllowances | None = None
        self._evidence_hub = evidence_exchange.EvidenceHub(time)

    async def handle(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        """Handles a message; calls are answered by a task of their own."""
        message = envelope.message
        if isinstance(message, messages.TargetReport):
            self._status.store_report(session, message)
            if envelope.call_id:
                session.send(messages.Done(), envelope.call_id)
            return
        if self._open_calls >= MAX_OPEN_CALLS:
            self._counters.count_refusal(messages.Reason.FULL)
            failure = messages.Failure(
                messages.Reason.FULL, "", failures.FULL_RETRY_MS
            )
            session.send(failure, envelope.call_id)
            return
        self._open_calls += 1
        kind = type(message).__name__
        self._tasks.spawn(self._answer(session, envelope), f"control:{kind}")

    async def stop(self) -> None:
        """Cancels all open calls."""
        await self._tasks.cancel_all()

    async def _answer(
        self, session: server.Session, envelope: messages.Envelope
    ) -> None:
        try:
            reply = await self._reply(session, envelope.message)
        except Exception as error:
            reply = failures.failure_of(error, self._group.leader_name())
            self._counters.count_refusal(reply.reason)
        finally:
            self._open_calls -= 1
        if not envelope.call_id:
            return
        try:
            session.send(reply, envelope.call_id)
        except wire_errors.PeerUnreachableError:
            self._counters.increment("control.reply_lost")

    async def _reply(
        self, session: server.Session, message: messages.Message
    ) -> messages.Message:
        match message:
            case messages.LogCall(payload):
                return await self._peer_call(session, payload)
            case messages.OrderClaim():
                return await self._orders.claim(message)
            case messages.OrderFinish():
                return await self._orders.finish(message)
            case messages.OrderRelease():
                return await self._orders.release(message)
            case messages.OrderLookup():
                return await self._orders.look_up(message)
            case messages.Register(target):
                fence = await self._registrations.register(target)
                return messages.Registered(fence)
            case messages.Deregister():
                await self._registrations.deregister(message)
                return messages.Done()
            case messages.StatusFetch():
                return self._status.answer(message)
            case messages.LoadExchange() if self.load_aggregator is not None:
                # only the leader sums loads, so that the sums cover all entries
                self._group.log.check_lease()
                if self.allowances is not None:
                    self.allowances.begin_term(self._group.log.term)
                return self.load_aggregator.handle_exchange(message)
            case messages.StreamExchange() if self.load_aggregator is not None:
                self._group.log.check_lease()
                return self.load_aggregator.streams.handle(message)
            case messages.AllowanceExchange() if self.allowances is not None:
                self._group.log.check_lease()
                return self.allowances.handle(message, self._group.log.term)
            case messages.EvidenceExchange():
                self._group.log.check_lease()
                return self._evidence_hub.handle(message)
            case messages.CurrentFetch():
                return await self._answer_current_fetch()
        kind = type(message).__name__
        return messages.Failure(messages.Reason.BAD_REQUEST, kind)

    async def _answer_current_fetch(self) -> messages.Message:
        """Returns the members once the local view is as new as the quorum's."""
        await self._group.wait_until_current()
        addresses = map(transport.wire_address, self._group.peers())
        return messages.Current(
            tuple(
                messages.ControlPeer(address.name, address.ip, address.port)
                for address in addresses
            )
        )

    async def _peer_call(
        self, session: server.Session, payload: bytes
    ) -> messages.Message:
        if session.role != messages.Role.CONTROL:
            return messages.Failure(
                messages.Reason.UNAUTHORIZED, session.role.value
            )
        call = peer_calls.decode(payload)
        answer: peer_calls.PeerMessage
        match call:
            case peer_calls.ReplicationCall(data):
                reply = await self._group.handle(data)
                answer = peer_calls.ReplicationCall(reply)
            case peer_calls.ProposeCall(command):
                result = await self._group.propose_encoded(command)
                answer = peer_calls.Proposed(result)
            case peer_calls.ReadIndexCall():
                answer = peer_calls.ReadIndex(await self._group.read_index())
            case peer_calls.ReplaceCall():
                answer = await self._replacements.replace(call)
            case peer_calls.CancelChangeCall():
                answer = await self._replacements.cancel_change(call)
            case peer_calls.JoinCall() if self.group_membership is not None:
                answer = await self.group_membership.admit_anywhere(call)
            case peer_calls.LeaveCall() if self.group_membership is not None:
                answer = await self.group_membership.release(call)
            case peer_calls.RegisterCall(targets):
                answer = await self._registrations.register_all(targets)
            case _:
                return messages.Failure(messages.Reason.BAD_REQUEST)
        return messages.LogReply(peer_calls.encode(answer))


__all__ = ["MAX_OPEN_CALLS", "ControlHandler"]
