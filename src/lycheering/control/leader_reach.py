"""Gives leadership away when the other members can't reach this one."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.control import peer_calls
from lycheering.replication import errors
from lycheering.telemetry import logs
from lycheering.wire import errors as wire_errors

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.control import fleet_status
    from lycheering.control import replica
    from lycheering.control import transport
    from lycheering.telemetry import counters

PROBE_INTERVAL_MS = 1_000
PROBE_TIMEOUT_MS = 500
UNREACHED_MS = 4_000

_LOG = logs.get("control")


class LeaderReach(app_api.Part):
    """Followers call the leader; a leader that few call leads no longer.

    A network that lets a leader's messages out but none in would keep it
    in office for good, with nobody able to bring it a write.
    """

    def __init__(
        self,
        group: replica.Replica,
        carrier: transport.WireTransport,
        status: fleet_status.FleetStatus,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._group = group
        self._transport = carrier
        self._status = status
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._reached_ms = 0.0

    async def start(self) -> None:
        """Begins to call or to listen."""
        self._tasks.spawn_lasting(self._run, "control:leader-reach")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS)
            with contextlib.suppress(errors.ReplicationError):
                if self._group.is_leader():
                    await self._give_away_if_unreached()
                else:
                    self._reached_ms = self._clock.now_ms()
                    await self._probe()

    async def _probe(self) -> None:
        leader = await self._group.find_leader()
        if leader is None:
            return
        with contextlib.suppress(wire_errors.WireError):
            await self._transport.call_peer(
                leader, peer_calls.ReadIndexCall(), PROBE_TIMEOUT_MS
            )

    async def _give_away_if_unreached(self) -> None:
        now_ms = self._clock.now_ms()
        if self._is_reached():
            self._reached_ms = now_ms
        if now_ms - self._reached_ms < UNREACHED_MS:
            return
        self._reached_ms = now_ms
        self._counters.increment("control.leader_unreached")
        moved = await self._group.log.transfer_leadership()
        _LOG.warning("leader_unreached", given_away=moved)

    def _is_reached(self) -> bool:
        status = self._group.log.status()
        voters = [member.id for member in status.members if member.is_voter]
        heard = sum(
            voter == status.id
            or self._status.is_heard(voter.instance, UNREACHED_MS)
            for voter in voters
        )
        return heard > len(voters) // 2


__all__ = ["UNREACHED_MS", "LeaderReach"]
