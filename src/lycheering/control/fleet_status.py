"""Which processes live, and what they have in force."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from lycheering.control import status_changes
from lycheering.wire import errors as wire_errors
from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lycheering.control import replica
    from lycheering.fleet import records
    from lycheering.replication import members
    from lycheering.wire import api as wire_api
    from lycheering.wire import pool
    from lycheering.wire import server

STATUS_TIMEOUT_MS = 500
MAX_REPORTS = 20_000


@dataclasses.dataclass(frozen=True)
class FleetSnapshot:
    """What all control instances that answered see together.

    Attributes:
        peer_by_name: Every live process, as it was heard of last.
        report_by_target: The last report of each target.
        unreachable: Control instances that did not answer.
        incarnations_by_name: All that is heard of a process; one that
            another replaced may still speak.
    """

    peer_by_name: dict[str, messages.PeerStatus]
    report_by_target: dict[str, messages.TargetReport]
    unreachable: tuple[str, ...]
    incarnations_by_name: dict[str, set[str]]

    def lacking(self, view_revision: int) -> list[str]:
        """Returns the live processes that have a lower view revision."""
        return sorted(
            name
            for name, peer in self.peer_by_name.items()
            if peer.view_revision < view_revision
        )


class FleetStatus:
    """Collects the sessions of this control instance and of the others."""

    def __init__(
        self,
        group: replica.Replica,
        link: wire_api.Link,
        connections: pool.ConnectionPool,
    ) -> None:
        self._group = group
        self._link = link
        self._connections = connections
        self._server: server.Server | None = None
        self._report_by_target: dict[str, messages.TargetReport] = {}
        self._changes = status_changes.StatusChanges(link.identity.incarnation)
        self._followed_by_name: dict[str, status_changes.FollowedStatus] = {}

    def attach(self, listener: server.Server) -> None:
        """Names the server whose sessions are looked at."""
        self._server = listener

    def is_heard(self, name: str, within_ms: float) -> bool:
        """Returns whether a process spoke to this one of late."""
        if self._server is None:
            return False
        oldest_ms = self._link.clock.now_ms() - within_ms
        return any(
            session.name == name and session.last_received_ms >= oldest_ms
            for session in self._server.session_by_routing_id.values()
        )

    def take_report(
        self, session: server.Session, report: messages.TargetReport
    ) -> None:
        """Keeps the last report of a target, from its own agent only."""
        if session.name != report.target:
            return
        known = self._report_by_target.get(report.target)
        if known is None and len(self._report_by_target) >= MAX_REPORTS:
            return
        self._report_by_target[report.target] = _last(known, report)

    def own(self) -> messages.StatusReply:
        """Returns what this instance sees, itself included."""
        identity = self._link.identity
        peers = [
            messages.PeerStatus(
                identity.name,
                identity.role,
                identity.incarnation,
                identity.failure_domain,
                self._link.view.revision(),
                0.0,
            )
        ]
        now_ms = self._link.clock.now_ms()
        sessions = self._server.session_by_routing_id if self._server else {}
        live = {}
        for session in sessions.values():
            live[session.name] = session.incarnation
            if session.role == messages.Role.CONTROL:
                continue
            peers.append(
                messages.PeerStatus(
                    session.name,
                    session.role,
                    session.incarnation,
                    session.failure_domain,
                    session.view_revision,
                    now_ms - session.last_received_ms,
                )
            )
        reports = tuple(
            report
            for name, report in self._report_by_target.items()
            if live.get(name) == report.agent_incarnation
        )
        return messages.StatusReply(tuple(peers), reports)

    def answer(self, fetch: messages.StatusFetch) -> messages.StatusReply:
        """Returns what another instance asks for of what this one sees."""
        return self._changes.answer(fetch, self.own())

    async def collect(self) -> FleetSnapshot:
        """Asks all control instances and returns what they see together."""
        others = self._others()
        replies = await asyncio.gather(*(self._fetch(o) for o in others))
        return self._snapshot(others, replies)

    async def follow(self) -> FleetSnapshot:
        """Returns the same at less cost, by what changed since last time.

        Loads and view revisions are as old as the process's last change.
        """
        others = self._others()
        replies = await asyncio.gather(*(self._follow(o) for o in others))
        return self._snapshot(others, replies)

    def forget(self) -> None:
        """Drops what `follow` builds on; the next one fetches all."""
        self._followed_by_name.clear()

    def _others(self) -> list[members.PeerAddress]:
        return [
            member
            for member in self._group.peers()
            if member.instance != self._link.identity.name
        ]

    def _snapshot(
        self,
        others: list[members.PeerAddress],
        replies: list[messages.StatusReply | None],
    ) -> FleetSnapshot:
        unreachable = tuple(
            other.instance
            for other, reply in zip(others, replies, strict=True)
            if reply is None
        )
        answers = [self.own(), *(reply for reply in replies if reply)]
        fleet = self._group.machine.fleet
        return seen_together(answers, unreachable, fleet.target_by_name)

    async def _follow(
        self, other: members.PeerAddress
    ) -> messages.StatusReply | None:
        followed = self._followed_by_name.setdefault(
            other.instance, status_changes.FollowedStatus()
        )
        reply = await self._fetch(other, followed.fetch())
        if reply is None:
            return None
        now_ms = self._link.clock.now_ms()
        followed.take(reply, now_ms)
        return followed.status(now_ms)

    async def _fetch(
        self,
        other: members.PeerAddress,
        fetch: messages.StatusFetch | None = None,
    ) -> messages.StatusReply | None:
        address = self._group.wire_address(other)
        connection = self._connections.get(address)
        try:
            reply = await connection.call(
                fetch or messages.StatusFetch(), STATUS_TIMEOUT_MS
            )
        except wire_errors.WireError:
            return None
        return reply if isinstance(reply, messages.StatusReply) else None


def seen_together(
    answers: list[messages.StatusReply],
    unreachable: tuple[str, ...],
    target_by_name: Mapping[str, records.Target],
) -> FleetSnapshot:
    """Returns what some control instances see together.

    Args:
        answers: What each of them sees.
        unreachable: Those that did not answer.
        target_by_name: The registered targets.
    """
    return FleetSnapshot(
        _newest_peers(answers),
        _last_reports(answers, target_by_name),
        unreachable,
        incarnations_by_name(answers),
    )


def _newest_peers(
    answers: list[messages.StatusReply],
) -> dict[str, messages.PeerStatus]:
    peer_by_name: dict[str, messages.PeerStatus] = {}
    for answer in answers:
        for peer in answer.peers:
            known = peer_by_name.get(peer.name)
            peer_by_name[peer.name] = _newer(known, peer)
    return peer_by_name


def incarnations_by_name(
    answers: Iterable[messages.StatusReply],
) -> dict[str, set[str]]:
    """Returns which incarnations of each process are heard."""
    found: dict[str, set[str]] = {}
    for answer in answers:
        for peer in answer.peers:
            found.setdefault(peer.name, set()).add(peer.incarnation)
    return found


def _last_reports(
    answers: list[messages.StatusReply],
    target_by_name: Mapping[str, records.Target],
) -> dict[str, messages.TargetReport]:
    """Returns what each target's registered agent reported last, anywhere.

    An agent that moved to another control instance keeps its session with
    the one before for a while, and so does its last report there.
    """
    report_by_target: dict[str, messages.TargetReport] = {}
    for answer in answers:
        for report in answer.reports:
            target = target_by_name.get(report.target)
            if (
                target is None
                or target.agent_incarnation != report.agent_incarnation
            ):
                continue
            known = report_by_target.get(report.target)
            report_by_target[report.target] = _last(known, report)
    return report_by_target


def _last(
    known: messages.TargetReport | None, report: messages.TargetReport
) -> messages.TargetReport:
    if known is None or known.agent_incarnation != report.agent_incarnation:
        return report
    return known if known.number > report.number else report


def _newer(
    known: messages.PeerStatus | None, peer: messages.PeerStatus
) -> messages.PeerStatus:
    if known is None:
        return peer
    if known.incarnation == peer.incarnation:
        return max(known, peer, key=lambda status: status.view_revision)
    return min(known, peer, key=lambda status: status.last_heard_ms)


__all__ = [
    "STATUS_TIMEOUT_MS",
    "FleetSnapshot",
    "FleetStatus",
    "incarnations_by_name",
    "seen_together",
]
