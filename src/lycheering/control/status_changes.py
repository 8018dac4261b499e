"""What changed among the sessions and reports of a control instance."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from lycheering.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_GONE = 4_000

_NO_LOAD = messages.LoadReport()


class Sighting(msgspec.Struct, frozen=True):
    """What an instance sees of one process.

    Attributes:
        peers: Its sessions; a replaced one may linger beside the new one.
        reports: Its target's last report, if it is an agent.
    """

    peers: tuple[messages.PeerStatus, ...]
    reports: tuple[messages.TargetReport, ...]

    def lasting(self) -> Sighting:
        """Returns it without what differs at almost every look.

        Readers of changes do not need it, and a view revision differs in
        all processes at once.
        """
        replace = msgspec.structs.replace
        return Sighting(
            tuple(
                replace(peer, last_heard_ms=0.0, view_revision=0)
                for peer in self.peers
            ),
            tuple(replace(report, load=_NO_LOAD) for report in self.reports),
        )


def sighting_by_name(reply: messages.StatusReply) -> dict[str, Sighting]:
    """Returns what a status tells of each process."""
    peers_by_name = collections.defaultdict(list)
    for peer in reply.peers:
        peers_by_name[peer.name].append(peer)
    report_by_target = {report.target: report for report in reply.reports}
    return {
        name: Sighting(
            tuple(peers),
            (report_by_target[name],) if name in report_by_target else (),
        )
        for name, peers in peers_by_name.items()
    }


def joined(sightings: Iterable[Sighting]) -> messages.StatusReply:
    """Returns the status that tells of some processes."""
    some = list(sightings)
    return messages.StatusReply(
        tuple(peer for sighting in some for peer in sighting.peers),
        tuple(report for sighting in some for report in sighting.reports),
    )


class StatusChanges:
    """Numbers the changes, so that a reader is told only what it lacks."""

    def __init__(self, epoch: str) -> None:
        """Begins with nothing seen.

        Args:
            epoch: Tells these numbers from those of other incarnations.
        """
        self._epoch = epoch
        self._version = 0
        self._forgotten_version = 0
        self._lasting_by_name: dict[str, Sighting] = {}
        self._version_by_name: dict[str, int] = {}
        self._gone_version_by_name: dict[str, int] = {}

    def answer(
        self, fetch: messages.StatusFetch, now: messages.StatusReply
    ) -> messages.StatusReply:
        """Returns what a reader lacks.

        Args:
            fetch: What the reader asks for, and what it has.
            now: All that the instance sees now.
        """
        if not fetch.changes_only:
            return now
        seen = sighting_by_name(now)
        self._follow(seen)
        if not self._knows(fetch):
            return msgspec.structs.replace(
                now, epoch=self._epoch, version=self._version
            )
        changed = joined(
            sighting
            for name, sighting in seen.items()
            if self._version_by_name[name] > fetch.version
        )
        gone = tuple(
            name
            for name, version in self._gone_version_by_name.items()
            if version > fetch.version
        )
        return msgspec.structs.replace(
            changed,
            epoch=self._epoch,
            version=self._version,
            is_whole=False,
            gone=gone,
        )

    def _knows(self, fetch: messages.StatusFetch) -> bool:
        if fetch.epoch != self._epoch:
            return False
        return self._forgotten_version <= fetch.version <= self._version

    def _follow(self, seen: dict[str, Sighting]) -> None:
        self._version += 1
        for name, sighting in seen.items():
            lasting = sighting.lasting()
            if self._lasting_by_name.get(name) != lasting:
                self._lasting_by_name[name] = lasting
                self._version_by_name[name] = self._version
                self._gone_version_by_name.pop(name, None)
        for name in self._lasting_by_name.keys() - seen.keys():
            del self._lasting_by_name[name]
            del self._version_by_name[name]
            self._gone_version_by_name[name] = self._version
        while len(self._gone_version_by_name) > MAX_GONE:
            oldest = next(iter(self._gone_version_by_name))
            self._forgotten_version = self._gone_version_by_name.pop(oldest)


class FollowedStatus:
    """What another instance sees, kept up to date by what changed there."""

    def __init__(self) -> None:
        self._epoch = ""
        self._version = 0
        self._sighting_by_name: dict[str, Sighting] = {}
        self._taken_ms_by_name: dict[str, float] = {}

    def fetch(self) -> messages.StatusFetch:
        """Returns the question for what is lacking here."""
        return messages.StatusFetch(
            changes_only=True, epoch=self._epoch, version=self._version
        )

    def take(self, reply: messages.StatusReply, now_ms: float) -> None:
        """Takes an answer, unless a later one came before it."""
        if reply.epoch == self._epoch and reply.version < self._version:
            return
        if reply.is_whole:
            self._sighting_by_name.clear()
            self._taken_ms_by_name.clear()
        elif reply.epoch != self._epoch:
            return  # it says what changed since something else
        self._epoch = reply.epoch
        self._version = reply.version
        for name in reply.gone:
            self._sighting_by_name.pop(name, None)
            self._taken_ms_by_name.pop(name, None)
        for name, sighting in sighting_by_name(reply).items():
            self._sighting_by_name[name] = sighting
            self._taken_ms_by_name[name] = now_ms

    def status(self, now_ms: float) -> messages.StatusReply:
        """Returns all that the other instance saw at the last answer."""
        status = joined(self._sighting_by_name.values())
        peers = tuple(
            msgspec.structs.replace(
                peer,
                last_heard_ms=peer.last_heard_ms
                + now_ms
                - self._taken_ms_by_name[peer.name],
            )
            for peer in status.peers
        )
        return msgspec.structs.replace(status, peers=peers)


__all__ = [
    "MAX_GONE",
    "FollowedStatus",
    "Sighting",
    "StatusChanges",
    "joined",
    "sighting_by_name",
]
