"""Creation of a new group when its members start for the first time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.replication import errors
from lycheering.replication import members
from lycheering.replication import messages
from lycheering.store import entries
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import core as cores

FIRST_TERM = 1

_LOG = logs.get("replication")


class Bootstrap:
    """Creates the group once, on the first of the initial members.

    The other initial members wait for it. If the first one lost its disk, it
    finds that the others already hold a log, and creates nothing: it has to
    be added to the existing group as a new member.
    """

    def __init__(
        self, core: cores.Core, initial_members: list[members.PeerAddress]
    ) -> None:
        self._core = core
        self._initial_members = initial_members
        self._unreachable_instance = ""

    async def run(self) -> None:
        """Creates the group once all initial members answer with empty logs.

        Returns without creating it as soon as one of them holds a log.
        """
        core = self._core
        if (
            not self._initial_members
            or self._initial_members[0] != core.address
        ):
            return
        while self._may_create():
            replies = await self._identify_all()
            if replies is None:
                await core.clock.sleep(core.settings.heartbeat_ms)
                continue
            if not self._may_create() or any(item.has_log for item in replies):
                _LOG.warning("group_exists", id=core.id)
                return
            await self._create_group([reply.member_id for reply in replies])

    def _may_create(self) -> bool:
        """Returns whether this member has not created or joined a group.

        The first term alone is no sign of a group: this member saves it before
        the first entry, and may have been killed in between.
        """
        return self._core.log.last_index == 0 and self._core.term <= FIRST_TERM

    async def _identify_all(self) -> list[messages.IdentifyReply] | None:
        replies = []
        for peer in self._initial_members[1:]:
            try:
                replies.append(await identify(self._core, peer))
            except errors.PeerUnreachableError as error:
                self._log_wait(peer.instance, str(error))
                return None
        return replies

    def _log_wait(self, instance: str, reason: str) -> None:
        if instance != self._unreachable_instance:
            _LOG.event("group_creation_waiting", peer=instance, reason=reason)
        self._unreachable_instance = instance

    async def _create_group(self, others: list[members.MemberId]) -> None:
        core = self._core
        ids = [core.id, *others]
        group = [
            members.Member(member_id, peer.address, True)
            for member_id, peer in zip(ids, self._initial_members, strict=True)
        ]
        core.adopt_term(FIRST_TERM)
        data = members.Configuration(group, group_id=core.id.disk_id).encode()
        kind = entries.EntryKind.CONFIGURATION
        await core.save_hard_state()
        if core.log.last_index == 0:
            core.append(1, [entries.Entry(1, FIRST_TERM, kind, data)])
            await core.log.sync()
        _LOG.event("group_created", members=",".join(str(i) for i in ids))


async def identify(
    core: cores.Core, peer: members.PeerAddress
) -> messages.IdentifyReply:
    """Asks the member at an address for its identity.

    Raises:
        PeerUnreachableError: No reply, or one of another instance.
    """
    reply = await core.transport.call(
        peer, messages.IdentifyRequest(), core.settings.call_timeout_ms
    )
    if not isinstance(reply, messages.IdentifyReply):
        raise errors.PeerUnreachableError(f"{peer.address} sent no identity")
    if reply.member_id.instance != peer.instance:
        message = (
            f"{peer.address} belongs to {reply.member_id},"
            f" not to {peer.instance}"
        )
        raise errors.PeerUnreachableError(message)
    return reply


__all__ = ["FIRST_TERM", "Bootstrap", "identify"]
