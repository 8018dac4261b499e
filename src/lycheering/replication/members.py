"""Members of a group, its configurations and their quorums."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from lycheering.store import entries

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Address at which an instance listens.

    Attributes:
        instance: Name of the instance.
        address: IP address and port.
    """

    instance: str
    address: str


class MemberId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a member.

    It belongs to the disk: an instance that lost its log must not vote as the
    member that it was before.

    Attributes:
        instance: Name of the instance.
        disk_id: Random id that is stored on its disk.
    """

    instance: str
    disk_id: str

    def __str__(self) -> str:
        return f"{self.instance}@{self.disk_id}"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    Attributes:
        id: Its identity.
        address: The address at which it listens.
        is_voter: Whether it votes and counts towards a quorum; a learner only
            receives the log.
    """

    id: MemberId
    address: str
    is_voter: bool

    @property
    def peer(self) -> PeerAddress:
        """The address at which the member listens."""
        return PeerAddress(self.id.instance, self.address)


class MemberChange(msgspec.Struct, frozen=True, array_like=True):
    """A pending membership change.

    Attributes:
        joining: The member that becomes a voter, None for none.
        leaving: The member that is removed afterwards, None for none.
    """

    joining: MemberId | None
    leaving: MemberId | None


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the group at one index of the log.

    Attributes:
        members: All members, voters and learners.
        change: The pending membership change, None for none.
        group_id: Identity of the group, which tells its logs from those of
            another group; empty in the logs of earlier releases.
    """

    members: list[Member] = []
    change: MemberChange | None = None
    group_id: str = ""

    def find(self, member_id: MemberId | None) -> Member | None:
        """Returns the member of an identity, or None."""
        for member in self.members:
            if member.id == member_id:
                return member
        return None

    def is_voter(self, member_id: MemberId) -> bool:
        """Returns whether a member votes."""
        member = self.find(member_id)
        return member is not None and member.is_voter

    def voters(self) -> list[Member]:
        """Returns the members that vote."""
        return [member for member in self.members if member.is_voter]

    def has_quorum(self, ids: Collection[MemberId]) -> bool:
        """Returns whether members are a majority of each group of voters."""
        return all(
            len(group.intersection(ids)) >= _majority(group)
            for group in self._voter_groups()
        )

    def quorum_value(self, value_by_id: Mapping[MemberId, float]) -> float:
        """Returns the highest value that a quorum has reached."""
        quorum_values = []
        for group in self._voter_groups():
            values = sorted(
                (value_by_id[member_id] for member_id in group), reverse=True
            )
            quorum_values.append(values[_majority(group) - 1])
        return min(quorum_values)

    def _voter_groups(self) -> list[set[MemberId]]:
        """Returns the groups of voters; a quorum is a majority of each.

        While a new member and the one that it replaces both vote, the groups
        are the voters before and those after the change. In a single group of
        four, the loss of any member besides the replaced one would leave no
        majority.
        """
        voters = {member.id for member in self.voters()}
        change = self.change
        if change is None or not {change.joining, change.leaving} <= voters:
            return [voters]
        return [voters - {change.joining}, voters - {change.leaving}]

    def with_learner(self, learner: Member) -> Configuration:
        """Returns a configuration with a learner added."""
        return msgspec.structs.replace(self, members=[*self.members, learner])

    def with_change(self, change: MemberChange) -> Configuration:
        """Returns a configuration with a change pending."""
        return msgspec.structs.replace(self, change=change)

    def with_group_id(self, group_id: str) -> Configuration:
        """Returns a configuration with an identity, unless it has one."""
        return msgspec.structs.replace(self, group_id=self.group_id or group_id)

    def with_voter(self, member_id: MemberId) -> Configuration:
        """Returns a configuration in which a learner is a voter."""
        members = [
            Member(member.id, member.address, True)
            if member.id == member_id
            else member
            for member in self.members
        ]
        return msgspec.structs.replace(self, members=members)

    def without(self, member_id: MemberId | None) -> Configuration:
        """Returns a configuration without a member and a pending change."""
        remaining = [
            member for member in self.members if member.id != member_id
        ]
        return msgspec.structs.replace(self, members=remaining, change=None)

    def encode(self) -> bytes:
        """Returns the configuration, encoded as the data of a log entry."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> Configuration:
        """Returns the configuration encoded in a log entry."""
        return msgspec.msgpack.decode(data, type=Configuration)


def _majority(group: set[MemberId]) -> int:
    return len(group) // 2 + 1


@dataclasses.dataclass(frozen=True)
class IndexedConfiguration:
    """A configuration and the log entry that holds it.

    Attributes:
        index: Index of the entry, 0 for none.
        configuration: The configuration in use from that index on.
    """

    index: int
    configuration: Configuration


class ConfigurationHistory:
    """The configurations in the log, of which the last one is in use."""

    def __init__(self, base: IndexedConfiguration) -> None:
        self._history = [base]

    @property
    def latest(self) -> IndexedConfiguration:
        """The configuration in use, committed or not."""
        return self._history[-1]

    def at(self, index: int) -> Configuration:
        """Returns the configuration in use at an index."""
        in_use = self._history[0]
        for indexed in self._history:
            if indexed.index <= index:
                in_use = indexed
        return in_use.configuration

    def add(self, new_entries: list[entries.Entry]) -> bool:
        """Updates the history for entries that were appended to the log.

        They replace all earlier entries at or after their first index.

        Returns:
            Whether the configuration in use has changed.
        """
        previous = self.latest
        if new_entries:
            self._truncate_from(new_entries[0].index)
        for entry in new_entries:
            if entry.kind == entries.EntryKind.CONFIGURATION:
                configuration = Configuration.decode(entry.data)
                indexed = IndexedConfiguration(entry.index, configuration)
                self._history.append(indexed)
        return self.latest is not previous

    def reset(self, base: IndexedConfiguration) -> None:
        """Replaces the history with the configuration of a snapshot."""
        self._history = [base]

    def discard_before(self, index: int) -> None:
        """Drops the configurations before the one in use at an index."""
        while len(self._history) > 1 and self._history[1].index <= index:
            self._history.pop(0)

    def _truncate_from(self, index: int) -> None:
        while len(self._history) > 1 and self._history[-1].index >= index:
            self._history.pop()


__all__ = [
    "Configuration",
    "ConfigurationHistory",
    "IndexedConfiguration",
    "Member",
    "MemberChange",
    "MemberId",
    "PeerAddress",
]
