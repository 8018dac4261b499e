"""Elections: when a member becomes a candidate and how it gets votes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from lycheering import clock
from lycheering.replication import core as cores
from lycheering.replication import errors
from lycheering.replication import leadership as leaderships
from lycheering.replication import messages
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering.replication import members

_LOG = logs.get("replication")


class Elections:
    """Starts an election when no leader has been in contact for too long."""

    def __init__(self, core: cores.Core, randomness: random.Random) -> None:
        self._core = core
        self._random = randomness
        self._transfer_requested = asyncio.Event()
        self._transfer_term = 0

    def request_transfer(self, term: int) -> None:
        """Starts an election at once, as the leader hands over leadership.

        Args:
            term: The term of that leader; in a later one the request is void,
                as another leader may have a lease.
        """
        self._transfer_term = term
        self._transfer_requested.set()

    async def run(self) -> None:
        """Starts elections, and steps down when the own lease expires."""
        core = self._core
        timeout_ms = self._random_first_timeout_ms()
        while core.failure is None:
            if await self._wait_for_transfer_request():
                if core.term == self._transfer_term:
                    await self._campaign(is_transfer=True)
                continue
            leadership = core.leadership
            if leadership is not None:
                if leadership.has_lapsed():
                    core.step_down("lease_lapsed")
                continue
            elapsed_ms = core.clock.now_ms() - core.election_wait_start_ms
            is_voter = core.configuration.is_voter(core.id)
            if is_voter and elapsed_ms >= timeout_ms:
                await self._campaign(is_transfer=False)
                core.election_wait_start_ms = core.clock.now_ms()
                timeout_ms = self._random_timeout_ms()

    def _random_timeout_ms(self) -> float:
        min_timeout_ms = self._core.settings.election_timeout_ms
        return self._random.uniform(min_timeout_ms, 2 * min_timeout_ms)

    def _random_first_timeout_ms(self) -> float:
        # after a start it suffices that a lease which this member confirmed
        # before the restart has expired
        min_timeout_ms = self._core.settings.restart_vote_delay_ms
        return self._random.uniform(min_timeout_ms, 1.5 * min_timeout_ms)

    async def _wait_for_transfer_request(self) -> bool:
        pause_ms = self._core.settings.heartbeat_ms / 2
        try:
            async with asyncio.timeout(pause_ms / clock.MS_PER_S):
                await self._transfer_requested.wait()
        except TimeoutError:
            return False
        self._transfer_requested.clear()
        return True

    async def _campaign(self, *, is_transfer: bool) -> None:
        core = self._core
        pre_vote_term = core.term
        if not is_transfer and not await self._collect_votes(is_trial=True):
            return
        if core.term != pre_vote_term or core.leadership is not None:
            return
        core.step_down("election")
        core.term += 1
        core.vote = str(core.id)
        core.leader_id = None
        core.role = cores.Role.CANDIDATE
        term = core.term
        await core.save_hard_state()
        is_elected = await self._collect_votes(
            is_trial=False, is_transfer=is_transfer
        )
        if core.term != term or core.role is not cores.Role.CANDIDATE:
            return
        if not is_elected:
            core.step_down("election_lost")
            return
        self._become_leader()

    def _become_leader(self) -> None:
        core = self._core
        _LOG.event("election_won", id=core.id, term=core.term)
        core.role = cores.Role.LEADER
        core.leader_id = core.id
        core.leadership = leaderships.Leadership(core)
        core.leadership.start()

    async def _collect_votes(
        self, *, is_trial: bool, is_transfer: bool = False
    ) -> bool:
        """Asks all other voters for their votes.

        Args:
            is_trial: Whether this is a pre-vote: members say whether they
                would grant a vote, and the term stays as it is.
            is_transfer: Whether the leader asked for the election.

        Returns:
            Whether a quorum votes for this member.
        """
        core = self._core
        configuration = core.configuration
        term = core.term + 1 if is_trial else core.term
        others = [v for v in configuration.voters() if v.id != core.id]
        granted = {core.id}
        if configuration.has_quorum(granted):
            return True
        vote_tasks = [
            asyncio.create_task(
                self._request_vote(
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
            for reply in asyncio.as_completed(vote_tasks):
                granted |= await reply
                if configuration.has_quorum(granted):
                    return True
        finally:
            for task in vote_tasks:
                task.cancel()
        return False

    async def _request_vote(
        self, voter: members.Member, request: messages.VoteRequest
    ) -> set[members.MemberId]:
        """Returns a set with the voter if it grants its vote, else empty."""
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
