"""Finds targets that can't be reached while answers are waited for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.app import api as app_api
from lycheering.telemetry import logs
from lycheering.web import client

if TYPE_CHECKING:
    from lycheering import clock
    from lycheering.forward import target_registry
    from lycheering.forward import target_state
    from lycheering.telemetry import counters
    from lycheering.web import kept_connections

CHECK_INTERVAL_MS = 100
# a target that answers others is not silent for longer than this by itself
SILENCE_MS = 450.0
PROBE_TIMEOUT_MS = 250.0
# one lost packet is no reason to give a target up
PROBES = 2
# a target that could be reached is not probed again for this long
REACHED_MS = 1_000.0
RETURN_INTERVAL_MS = 500.0

_LOG = logs.get("liveness")


class Liveness(app_api.Part):
    """Opens a connection to a silent target to learn whether it is there.

    A target that takes a connection is only slow, and its answers are
    waited for; one that does not is given up with all it has.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        connections: kept_connections.KeptConnections,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._registry = registry
        self._connections = connections
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._probed: set[str] = set()

    async def start(self) -> None:
        """Begins to look for silent targets."""
        self._tasks.spawn_lasting(self._run, "liveness")

    async def stop(self) -> None:
        """Ends it."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for key, state in self._registry.state_by_key.items():
                if key in self._probed:
                    continue
                if state.is_unreachable:
                    work = self._await_return(state)
                elif self._is_silent(state, now_ms):
                    work = self._probe(state)
                else:
                    continue
                self._probed.add(key)
                self._tasks.spawn(work, f"liveness:{key}")

    def _is_silent(
        self, state: target_state.TargetState, now_ms: float
    ) -> bool:
        if state.silent_ms(now_ms) < SILENCE_MS:
            return False
        return now_ms - state.reached_ms >= REACHED_MS

    async def _await_return(self, state: target_state.TargetState) -> None:
        """Gives a target work again once it takes a connection."""
        try:
            await self._clock.sleep(RETURN_INTERVAL_MS)
            origin = client.Origin(state.target.ip, state.target.port)
            opened = await self._connections.open(origin, PROBE_TIMEOUT_MS)
        except client.ConnectFailedError:
            return
        else:
            self._connections.keep_fresh(state.target.key, opened)
            state.is_unreachable = False
            state.reached_ms = self._clock.now_ms()
            state.succeeded()
            _LOG.event("target_reachable", target=state.target.target_id)
        finally:
            self._probed.discard(state.target.key)

    async def _probe(self, state: target_state.TargetState) -> None:
        target = state.target
        origin = client.Origin(target.ip, target.port)
        silent_ms = state.silent_ms(self._clock.now_ms())
        try:
            for _ in range(PROBES):
                if await self._reaches(state, origin):
                    return
            self._counters.increment("target.unreachable")
            _LOG.warning(
                "target_unreachable",
                target=target.target_id,
                silent_ms=round(silent_ms),
                outstanding=len(state.outstanding_by_id),
            )
            state.lost(self._clock.now_ms())
        finally:
            self._probed.discard(target.key)

    async def _reaches(
        self, state: target_state.TargetState, origin: client.Origin
    ) -> bool:
        try:
            opened = await self._connections.open(origin, PROBE_TIMEOUT_MS)
        except client.ConnectFailedError:
            # an answer that came meanwhile is as good
            return state.silent_ms(self._clock.now_ms()) < SILENCE_MS
        state.reached_ms = self._clock.now_ms()
        # kept for the next request, which needs no connection of its own
        self._connections.keep_fresh(state.target.key, opened)
        return True


__all__ = ["Liveness"]
