"""Incremental updates of the status of a control instance."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_REMOVED = 4_000

_EMPTY_LOAD = messages.LoadReport()


class ProcessStatus(msgspec.Struct, frozen=True):
    """What a control instance knows about one process.

    Attributes:
        peers: The process's sessions; one of a replaced incarnation may
            exist beside the new one.
        reports: The last report on its target, if the process is an agent.
    """

    peers: tuple[messages.PeerStatus, ...]
    reports: tuple[messages.TargetReport, ...]

    def without_volatile_fields(self) -> ProcessStatus:
        """Returns a copy without the fields that change all the time.

        The times, loads and view revisions are not needed by readers of
        changes, and a new view revision would make all processes count as
        changed at once.
        """
        replace = msgspec.structs.replace
        return ProcessStatus(
            tuple(
                replace(peer, last_heard_ms=0.0, view_revision=0)
                for peer in self.peers
            ),
            tuple(replace(report, load=_EMPTY_LOAD) for report in self.reports),
        )


def status_by_name(reply: messages.StatusReply) -> dict[str, ProcessStatus]:
    """Groups the sessions and reports of a status by process."""
    peers_by_name = collections.defaultdict(list)
    for peer in reply.peers:
        peers_by_name[peer.name].append(peer)
    report_by_target = {report.target: report for report in reply.reports}
    return {
        name: ProcessStatus(
            tuple(peers),
            (report_by_target[name],) if name in report_by_target else (),
        )
        for name, peers in peers_by_name.items()
    }


def merged_status(statuses: Iterable[ProcessStatus]) -> messages.StatusReply:
    """Returns the status that lists some processes."""
    collected = list(statuses)
    return messages.StatusReply(
        tuple(peer for status in collected for peer in status.peers),
        tuple(report for status in collected for report in status.reports),
    )


class StatusChangeTracker:
    """Numbers the changes of a status, so that readers fetch only new ones."""

    def __init__(self, epoch: str) -> None:
        """Starts with an empty status.

        Args:
            epoch: Distinguishes the version numbers of this tracker from
                those of other incarnations.
        """
        self._epoch = epoch
        self._version = 0
        self._min_known_version = 0
        self._stable_status_by_name: dict[str, ProcessStatus] = {}
        self._version_by_name: dict[str, int] = {}
        self._removed_version_by_name: dict[str, int] = {}

    def answer(
        self, fetch: messages.StatusFetch, current: messages.StatusReply
    ) -> messages.StatusReply:
        """Returns the changes since the version that a reader has.

        The reply is the whole status if the reader asks for it or if the
        changes since its version are not known.

        Args:
            fetch: The reader's request with the version that it has.
            current: The instance's current status.
        """
        if not fetch.changes_only:
            return current
        statuses = status_by_name(current)
        self._track(statuses)
        if not self._has_changes_since(fetch):
            return msgspec.structs.replace(
                current, epoch=self._epoch, version=self._version
            )
        changed = merged_status(
            status
            for name, status in statuses.items()
            if self._version_by_name[name] > fetch.version
        )
        removed = tuple(
            name
            for name, version in self._removed_version_by_name.items()
            if version > fetch.version
        )
        return msgspec.structs.replace(
            changed,
            epoch=self._epoch,
            version=self._version,
            is_whole=False,
            gone=removed,
        )

    def _has_changes_since(self, fetch: messages.StatusFetch) -> bool:
        if fetch.epoch != self._epoch:
            return False
        return self._min_known_version <= fetch.version <= self._version

    def _track(self, statuses: dict[str, ProcessStatus]) -> None:
        self._version += 1
        for name, status in statuses.items():
            stable = status.without_volatile_fields()
            if self._stable_status_by_name.get(name) != stable:
                self._stable_status_by_name[name] = stable
                self._version_by_name[name] = self._version
                self._removed_version_by_name.pop(name, None)
        for name in self._stable_status_by_name.keys() - statuses.keys():
            del self._stable_status_by_name[name]
            del self._version_by_name[name]
            self._removed_version_by_name[name] = self._version
        while len(self._removed_version_by_name) > MAX_REMOVED:
            oldest = next(iter(self._removed_version_by_name))
            self._min_known_version = self._removed_version_by_name.pop(oldest)


class RemoteStatus:
    """The status of another instance, kept up to date by its changes."""

    def __init__(self) -> None:
        self._epoch = ""
        self._version = 0
        self._status_by_name: dict[str, ProcessStatus] = {}
        self._received_ms_by_name: dict[str, float] = {}

    def fetch(self) -> messages.StatusFetch:
        """Returns the request for the changes since the last reply."""
        return messages.StatusFetch(
            changes_only=True, epoch=self._epoch, version=self._version
        )

    def update(self, reply: messages.StatusReply, now_ms: float) -> None:
        """Applies a reply, unless a later one was applied before."""
        if reply.epoch == self._epoch and reply.version < self._version:
            return
        if reply.is_whole:
            self._status_by_name.clear()
            self._received_ms_by_name.clear()
        elif reply.epoch != self._epoch:
            return  # its changes are based on another state
        self._epoch = reply.epoch
        self._version = reply.version
        for name in reply.gone:
            self._status_by_name.pop(name, None)
            self._received_ms_by_name.pop(name, None)
        for name, status in status_by_name(reply).items():
            self._status_by_name[name] = status
            self._received_ms_by_name[name] = now_ms

    def status(self, now_ms: float) -> messages.StatusReply:
        """Returns the other instance's whole status as of the last reply."""
        status = merged_status(self._status_by_name.values())
        peers = tuple(
            msgspec.structs.replace(
                peer,
                last_heard_ms=peer.last_heard_ms
                + now_ms
                - self._received_ms_by_name[peer.name],
            )
            for peer in status.peers
        )
        return msgspec.structs.replace(status, peers=peers)


__all__ = [
    "MAX_REMOVED",
    "RemoteStatus",
    "ProcessStatus",
    "StatusChangeTracker",
    "merged_status",
    "status_by_name",
]
