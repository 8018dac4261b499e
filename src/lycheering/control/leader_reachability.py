"""Transfers leadership if the other members can't reach the leader."""

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
UNREACHABLE_MS = 4_000

_LOG = logs.get("control")


class LeaderReachability(app_api.Part):
    """Probes the leader from followers; a leader without probes resigns.

    If the network drops messages to the leader but not those from it, its
    heartbeats would keep it leader forever, though no follower could forward
    a write to it.
    """

    def __init__(
        self,
        group: replica.Replica,
        wire_transport: transport.WireTransport,
        status: fleet_status.FleetStatus,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._group = group
        self._transport = wire_transport
        self._status = status
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._last_reachable_ms = 0.0

    async def start(self) -> None:
        """Starts probing the leader, or checking for probes as leader."""
        self._tasks.spawn_with_restarts(
            self._run, "control:leader-reachability"
        )

    async def stop(self) -> None:
        """Stops probing and checking."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(PROBE_INTERVAL_MS)
            with contextlib.suppress(errors.ReplicationError):
                if self._group.is_leader():
                    await self._resign_if_unreachable()
                else:
                    self._last_reachable_ms = self._clock.now_ms()
                    await self._probe()

    async def _probe(self) -> None:
        leader = await self._group.find_remote_leader()
        if leader is None:
            return
        with contextlib.suppress(wire_errors.WireError):
            await self._transport.call_peer(
                leader, peer_calls.ReadIndexCall(), PROBE_TIMEOUT_MS
            )

    async def _resign_if_unreachable(self) -> None:
        now_ms = self._clock.now_ms()
        if self._is_reachable():
            self._last_reachable_ms = now_ms
        if now_ms - self._last_reachable_ms < UNREACHABLE_MS:
            return
        self._last_reachable_ms = now_ms
        self._counters.increment("control.leader_unreached")
        transferred = await self._group.log.transfer_leadership()
        _LOG.warning("leadership_resigned", transferred=transferred)

    def _is_reachable(self) -> bool:
        status = self._group.log.status()
        voters = [member.id for member in status.members if member.is_voter]
        reachable_from = sum(
            voter == status.id
            or self._status.has_recent_message(voter.instance, UNREACHABLE_MS)
            for voter in voters
        )
        return reachable_from > len(voters) // 2


__all__ = ["UNREACHABLE_MS", "LeaderReachability"]
