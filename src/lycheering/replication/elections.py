"""Elections: when to stand, and how votes are collected."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.replication import core as cores
from lycheering.replication import errors
from lycheering.replication import leadership
from lycheering.replication import messages
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import members

_LOG = logs.get("replication")


class Elections:
    """Stands for election when no leader is heard."""

    def __init__(self, core: cores.Core, randomness: random.Random) -> None:
        self._core = core
        self._random = randomness
        self._transfer = asyncio.Event()

    def request_transfer(self) -> None:
        """Makes this member stand at once, as the leader asked for it."""
        self._transfer.set()

    async def run(self) -> None:
        """Watches the leader, and the own lease while leading."""
        core = self._core
        timeout_ms = self._draw_first_timeout_ms()
        while core.failure is None:
            if await self._is_transfer_requested():
                await self._campaign(is_transfer=True)
                continue
            led = core.leadership
            if led is not None:
                if led.has_lapsed():
                    core.step_down("lease_lapsed")
                continue
            waited_ms = core.clock.now_ms() - core.election_timer_ms
            may_stand = core.configuration.is_voter(core.id)
            if may_stand and waited_ms >= timeout_ms:
                await self._campaign(is_transfer=False)
                core.election_timer_ms = core.clock.now_ms()
                timeout_ms = self._draw_timeout_ms()

    def _draw_timeout_ms(self) -> float:
        least_ms = self._core.settings.election_timeout_ms
        return self._random.uniform(least_ms, 2 * least_ms)

    def _draw_first_timeout_ms(self) -> float:
        # after a start only a lease granted before it has to run out
        least_ms = self._core.settings.start_guard_ms
        return self._random.uniform(least_ms, 1.5 * least_ms)

    async def _is_transfer_requested(self) -> bool:
        pause_ms = self._core.settings.heartbeat_ms / 2
        try:
            async with asyncio.timeout(pause_ms / clock.MS_PER_S):
                await self._transfer.wait()
        except TimeoutError:
            return False
        self._transfer.clear()
        return True

    async def _campaign(self, *, is_transfer: bool) -> None:
        core = self._core
        trial_term = core.term
        if not is_transfer and not await self._collect(is_trial=True):
            return
        if core.term != trial_term or core.leadership is not None:
            return
        core.step_down("election")
        core.term += 1
        core.vote = str(core.id)
        core.leader_id = None
        core.role = cores.Role.CANDIDATE
        term = core.term
        await core.save_hard_state()
        won = await self._collect(is_trial=False, is_transfer=is_transfer)
        if core.term != term or core.role is not cores.Role.CANDIDATE:
            return
        if not won:
            core.step_down("election_lost")
            return
        self._lead()

    def _lead(self) -> None:
        core = self._core
        _LOG.event("election_won", id=core.id, term=core.term)
        core.role = cores.Role.LEADER
        core.leader_id = core.id
        core.leadership = leadership.Leadership(core)
        core.leadership.start()

    async def _collect(
        self, *, is_trial: bool, is_transfer: bool = False
    ) -> bool:
        """Returns whether a quorum votes for this member."""
        core = self._core
        configuration = core.configuration
        term = core.term + 1 if is_trial else core.term
        others = [v for v in configuration.voters() if v.id != core.id]
        granted = {core.id}
        if configuration.has_quorum(granted):
            return True
        asked = [
            asyncio.create_task(
                self._ask(
                    voter,
                    messages.VoteRequest(
                        sender=core.id,
                        receiver=voter.id,
                        term=term,
                        last=core.log.last,
                        is_trial=is_trial,
                        is_transfer=is_transfer,
                    ),
                )
            )
            for voter in others
        ]
        try:
            for reply in asyncio.as_completed(asked):
                granted |= await reply
                if configuration.has_quorum(granted):
                    return True
        finally:
            for task in asked:
                task.cancel()
        return False

    async def _ask(
        self, voter: members.Member, request: messages.VoteRequest
    ) -> set[members.MemberId]:
        """Returns the voter if it grants its vote, or nobody."""
        core = self._core
        try:
            reply = await core.transport.call(
                voter.peer, request, core.settings.election_timeout_ms
            )
        except errors.PeerUnreachableError:
            return set()
        if not isinstance(reply, messages.VoteReply):
            return set()
        if reply.sender != voter.id:
            return set()
        core.adopt_term(reply.term)
        return {voter.id} if reply.is_granted else set()


__all__ = ["Elections"]
