"""Who takes part in a group, and who of them votes."""

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
    """Where an instance listens.

    Attributes:
        instance: Name of the instance.
        address: IP number and port.
    """

    instance: str
    address: str


class MemberId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a member, tied to its disk.

    Attributes:
        instance: Name of the instance.
        disk_id: Random id kept on its disk.
    """

    instance: str
    disk_id: str

    def __str__(self) -> str:
        return f"{self.instance}@{self.disk_id}"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    Attributes:
        id: Its identity.
        address: Where it listens.
        is_voter: Whether it votes and counts for a quorum.
    """

    id: MemberId
    address: str
    is_voter: bool

    @property
    def peer(self) -> PeerAddress:
        """Where the member listens."""
        return PeerAddress(self.id.instance, self.address)


class MemberChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of the members under way.

    Attributes:
        joining: Who becomes a voter, if anyone.
        leaving: Who is removed afterwards, if anyone.
    """

    joining: MemberId | None
    leaving: MemberId | None


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of the group at one index of the log.

    Attributes:
        members: All members.
        change: The change under way.
    """

    members: list[Member] = []
    change: MemberChange | None = None

    def find(self, member_id: MemberId | None) -> Member | None:
        """Returns a member by its identity."""
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
        """Returns whether members make a majority of each group of voters."""
        return all(
            len(group.intersection(ids)) >= _majority(group)
            for group in self._voter_groups()
        )

    def quorum_value(self, value_by_id: Mapping[MemberId, float]) -> float:
        """Returns the highest value that a quorum has reached."""
        reached = []
        for group in self._voter_groups():
            values = sorted(
                (value_by_id[member_id] for member_id in group), reverse=True
            )
            reached.append(values[_majority(group) - 1])
        return min(reached)

    def _voter_groups(self) -> list[set[MemberId]]:
        """Returns the groups of voters, each of which must agree.

        While a newcomer and the member that it replaces both vote, these are
        the voters before and after the change. Counted as one group of four,
        any loss besides the replaced member would leave no majority.
        """
        voters = {member.id for member in self.voters()}
        change = self.change
        if change is None or not {change.joining, change.leaving} <= voters:
            return [voters]
        return [voters - {change.joining}, voters - {change.leaving}]

    def with_learner(
        self, learner: Member, change: MemberChange
    ) -> Configuration:
        """Returns the configuration that a change starts with."""
        return Configuration([*self.members, learner], change)

    def with_voter(self, member_id: MemberId) -> Configuration:
        """Returns the configuration in which a learner votes."""
        members = [
            Member(member.id, member.address, True)
            if member.id == member_id
            else member
            for member in self.members
        ]
        return Configuration(members, self.change)

    def without(self, member_id: MemberId | None) -> Configuration:
        """Returns the configuration without a member, its change over."""
        rest = [member for member in self.members if member.id != member_id]
        return Configuration(rest)

    def encode(self) -> bytes:
        """Returns the configuration as an entry's data."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> Configuration:
        """Returns the configuration in an entry's data."""
        return msgspec.msgpack.decode(data, type=Configuration)


def _majority(group: set[MemberId]) -> int:
    return len(group) // 2 + 1


@dataclasses.dataclass(frozen=True)
class IndexedConfiguration:
    """A configuration and the entry that brought it.

    Attributes:
        index: Index of the entry, 0 for none.
        configuration: The members from there on.
    """

    index: int
    configuration: Configuration


class ConfigurationHistory:
    """The configurations that the log holds; the last one is in use."""

    def __init__(self, base: IndexedConfiguration) -> None:
        self._history = [base]

    @property
    def latest(self) -> IndexedConfiguration:
        """The configuration in use, committed or not."""
        return self._history[-1]

    def at(self, index: int) -> Configuration:
        """Returns the configuration in use at an index."""
        found = self._history[0]
        for item in self._history:
            if item.index <= index:
                found = item
        return found.configuration

    def add(self, added: list[entries.Entry]) -> bool:
        """Takes over appended entries.

        Returns:
            Whether the configuration in use is another one now.
        """
        before = self.latest
        if added:
            self._drop_from(added[0].index)
        for entry in added:
            if entry.kind == entries.EntryKind.CONFIGURATION:
                configuration = Configuration.decode(entry.data)
                item = IndexedConfiguration(entry.index, configuration)
                self._history.append(item)
        return self.latest is not before

    def reset(self, base: IndexedConfiguration) -> None:
        """Starts anew from a snapshot."""
        self._history = [base]

    def forget_before(self, index: int) -> None:
        """Drops configurations that a snapshot replaced."""
        while len(self._history) > 1 and self._history[1].index <= index:
            self._history.pop(0)

    def _drop_from(self, index: int) -> None:
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
