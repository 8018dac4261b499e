"""Collects the live processes and their view revisions over the group."""

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
    """The merged status of all control instances that answered.

    Attributes:
        peer_by_name: The latest session of every live process.
        report_by_target: The last report on each target.
        unreachable: Control instances that did not answer.
        incarnations_by_name: All incarnations of each process that have a
            session; a replaced incarnation may still be connected.
    """

    peer_by_name: dict[str, messages.PeerStatus]
    report_by_target: dict[str, messages.TargetReport]
    unreachable: tuple[str, ...]
    incarnations_by_name: dict[str, set[str]]

    def names_behind(self, view_revision: int) -> list[str]:
        """Returns the live processes with a lower view revision, sorted."""
        return sorted(
            name
            for name, peer in self.peer_by_name.items()
            if peer.view_revision < view_revision
        )


class FleetStatus:
    """Collects the status of this and the other control instances."""

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
        self._changes = status_changes.StatusChangeTracker(
            link.identity.incarnation
        )
        self._remote_status_by_name: dict[str, status_changes.RemoteStatus] = {}

    def set_server(self, listener: server.Server) -> None:
        """Sets the server whose sessions the local status lists."""
        self._server = listener

    def has_recent_message(self, name: str, within_ms: float) -> bool:
        """Returns whether a process sent a message within a time."""
        if self._server is None:
            return False
        oldest_ms = self._link.clock.now_ms() - within_ms
        return any(
            session.name == name and session.last_received_ms >= oldest_ms
            for session in self._server.session_by_routing_id.values()
        )

    def store_report(
        self, session: server.Session, report: messages.TargetReport
    ) -> None:
        """Stores the last report on a target, from the target's agent only."""
        if session.name != report.target:
            return
        known = self._report_by_target.get(report.target)
        if known is None and len(self._report_by_target) >= MAX_REPORTS:
            return
        self._report_by_target[report.target] = _latest_report(known, report)

    def local_status(self) -> messages.StatusReply:
        """Returns the status of this instance, itself included."""
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
        live_incarnation_by_name = {}
        for session in sessions.values():
            live_incarnation_by_name[session.name] = session.incarnation
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
            if live_incarnation_by_name.get(name) == report.agent_incarnation
        )
        return messages.StatusReply(tuple(peers), reports)

    def answer(self, fetch: messages.StatusFetch) -> messages.StatusReply:
        """Returns the status or the changes that another instance fetches."""
        return self._changes.answer(fetch, self.local_status())

    async def collect(self) -> FleetSnapshot:
        """Fetches the whole status of all control instances and merges it."""
        others = self._others()
        replies = await asyncio.gather(
            *(self._fetch(other) for other in others)
        )
        return self._snapshot(others, replies)

    async def collect_incrementally(self) -> FleetSnapshot:
        """Fetches only changes since the last call and merges all statuses.

        Loads and view revisions are as old as the process's last change.
        """
        others = self._others()
        replies = await asyncio.gather(
            *(self._fetch_changes(other) for other in others)
        )
        return self._snapshot(others, replies)

    def clear_remote_statuses(self) -> None:
        """Discards the fetched statuses; the next fetch gets them whole."""
        self._remote_status_by_name.clear()

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
        statuses = [self.local_status(), *(reply for reply in replies if reply)]
        fleet = self._group.machine.fleet
        return merge_statuses(statuses, unreachable, fleet.target_by_name)

    async def _fetch_changes(
        self, other: members.PeerAddress
    ) -> messages.StatusReply | None:
        remote = self._remote_status_by_name.setdefault(
            other.instance, status_changes.RemoteStatus()
        )
        reply = await self._fetch(other, remote.fetch())
        if reply is None:
            return None
        now_ms = self._link.clock.now_ms()
        remote.update(reply, now_ms)
        return remote.status(now_ms)

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


def merge_statuses(
    statuses: list[messages.StatusReply],
    unreachable: tuple[str, ...],
    target_by_name: Mapping[str, records.Target],
) -> FleetSnapshot:
    """Returns the merged status of several control instances.

    Args:
        statuses: The status of each instance.
        unreachable: Control instances that did not answer.
        target_by_name: The registered targets.
    """
    return FleetSnapshot(
        _latest_peer_by_name(statuses),
        _latest_report_by_target(statuses, target_by_name),
        unreachable,
        incarnations_by_name(statuses),
    )


def _latest_peer_by_name(
    statuses: list[messages.StatusReply],
) -> dict[str, messages.PeerStatus]:
    peer_by_name: dict[str, messages.PeerStatus] = {}
    for status in statuses:
        for peer in status.peers:
            known = peer_by_name.get(peer.name)
            peer_by_name[peer.name] = _latest_peer(known, peer)
    return peer_by_name


def incarnations_by_name(
    statuses: Iterable[messages.StatusReply],
) -> dict[str, set[str]]:
    """Returns the incarnations of each process that have a session."""
    found: dict[str, set[str]] = {}
    for status in statuses:
        for peer in status.peers:
            found.setdefault(peer.name, set()).add(peer.incarnation)
    return found


def _latest_report_by_target(
    statuses: list[messages.StatusReply],
    target_by_name: Mapping[str, records.Target],
) -> dict[str, messages.TargetReport]:
    """Returns the last report of each target's registered agent.

    After an agent moved to another control instance, its old session and its
    last report there remain with the previous instance for a while.
    """
    report_by_target: dict[str, messages.TargetReport] = {}
    for status in statuses:
        for report in status.reports:
            target = target_by_name.get(report.target)
            if (
                target is None
                or target.agent_incarnation != report.agent_incarnation
            ):
                continue
            known = report_by_target.get(report.target)
            report_by_target[report.target] = _latest_report(known, report)
    return report_by_target


def _latest_report(
    known: messages.TargetReport | None, report: messages.TargetReport
) -> messages.TargetReport:
    if known is None or known.agent_incarnation != report.agent_incarnation:
        return report
    return known if known.number > report.number else report


def _latest_peer(
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
    "merge_statuses",
]
