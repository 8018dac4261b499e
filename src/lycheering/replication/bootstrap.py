"""The first start of a new group."""

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

    The others wait for it. An instance that lost its disk finds that the
    others hold a log, and waits to be taken in as a new member.
    """

    def __init__(
        self, core: cores.Core, initial: list[members.PeerAddress]
    ) -> None:
        self._core = core
        self._initial = initial
        self._waits_for = ""

    async def run(self) -> None:
        """Asks all initial members until all are empty or one is not."""
        core = self._core
        if not self._initial or self._initial[0] != core.address:
            return
        while not core.has_log:
            found = await self._identify_all()
            if found is None:
                await core.clock.sleep(core.settings.heartbeat_ms)
                continue
            if any(reply.has_log for reply in found) or core.has_log:
                _LOG.warning("group_exists", id=core.id)
                return
            await self._create([reply.member_id for reply in found])

    async def _identify_all(self) -> list[messages.IdentifyReply] | None:
        found = []
        for peer in self._initial[1:]:
            try:
                found.append(await identify(self._core, peer))
            except errors.PeerUnreachableError as error:
                self._note_wait(peer.instance, str(error))
                return None
        return found

    def _note_wait(self, instance: str, reason: str) -> None:
        if instance != self._waits_for:
            _LOG.event("group_waits", peer=instance, reason=reason)
        self._waits_for = instance

    async def _create(self, others: list[members.MemberId]) -> None:
        core = self._core
        ids = [core.id, *others]
        group = [
            members.Member(member_id, peer.address, True)
            for member_id, peer in zip(ids, self._initial, strict=True)
        ]
        core.adopt_term(FIRST_TERM)
        data = members.Configuration(group).encode()
        kind = entries.EntryKind.CONFIGURATION
        await core.save_hard_state()
        if core.log.last_index == 0:
            core.append(1, [entries.Entry(1, FIRST_TERM, kind, data)])
            await core.log.sync()
        _LOG.event("group_created", members=",".join(str(i) for i in ids))


async def identify(
    core: cores.Core, peer: members.PeerAddress
) -> messages.IdentifyReply:
    """Returns who listens at an address.

    Raises:
        PeerUnreachableError: Nobody answered.
    """
    reply = await core.transport.call(
        peer, messages.IdentifyRequest(), core.settings.call_timeout_ms
    )
    if not isinstance(reply, messages.IdentifyReply):
        raise errors.PeerUnreachableError(f"no identity from {peer.address}")
    if reply.member_id.instance != peer.instance:
        message = f"{peer.address} is {reply.member_id}, not {peer.instance}"
        raise errors.PeerUnreachableError(message)
    return reply


__all__ = ["FIRST_TERM", "Bootstrap", "identify"]
