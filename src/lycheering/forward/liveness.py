"""Detects targets that become unreachable while requests are in flight."""

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
    from lycheering.web import connection_pool

CHECK_INTERVAL_MS = 100
# a working target with requests in flight is not silent for longer
MAX_SILENCE_MS = 450.0
PROBE_TIMEOUT_MS = 250.0
# with a single probe, one lost packet would make a target unreachable
PROBE_ATTEMPTS = 2
# time after a successful connect during which a target is not probed again
PROBE_PAUSE_MS = 1_000.0
RECONNECT_INTERVAL_MS = 500.0

_LOG = logs.get("liveness")


class LivenessMonitor(app_api.Part):
    """Probes silent targets by opening a connection to them.

    A target that accepts the connection is only slow, and its answers are
    waited for. One that does not is unreachable, and its requests are aborted.
    """

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        connections: connection_pool.HttpConnectionPool,
        time: clock.Clock,
        counts: counters.Counters,
    ) -> None:
        self._registry = registry
        self._connections = connections
        self._clock = time
        self._counters = counts
        self._tasks = app_api.TaskOwner()
        self._probed_keys: set[str] = set()

    async def start(self) -> None:
        """Starts to check for silent targets."""
        self._tasks.spawn_with_restarts(self._run, "liveness")

    async def stop(self) -> None:
        """Stops checking."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for key, state in self._registry.state_by_key.items():
                if key in self._probed_keys:
                    continue
                if state.is_unreachable:
                    probe = self._try_reconnect(state)
                elif self._is_silent(state, now_ms):
                    probe = self._probe(state)
                else:
                    continue
                self._probed_keys.add(key)
                self._tasks.spawn(probe, f"liveness:{key}")

    def _is_silent(
        self, state: target_state.TargetState, now_ms: float
    ) -> bool:
        if state.silent_ms(now_ms) < MAX_SILENCE_MS:
            return False
        return now_ms - state.last_connect_ms >= PROBE_PAUSE_MS

    async def _try_reconnect(self, state: target_state.TargetState) -> None:
        """Makes an unreachable target available if a connection succeeds."""
        try:
            await self._clock.sleep(RECONNECT_INTERVAL_MS)
            origin = client.Origin(state.target.ip, state.target.port)
            connection = await self._connections.open(origin, PROBE_TIMEOUT_MS)
        except client.ConnectFailedError:
            return
        else:
            self._connections.add_unused(state.target.key, connection)
            state.is_unreachable = False
            state.last_connect_ms = self._clock.now_ms()
            state.record_success()
            _LOG.event("target_reachable", target=state.target.target_id)
        finally:
            self._probed_keys.discard(state.target.key)

    async def _probe(self, state: target_state.TargetState) -> None:
        target = state.target
        origin = client.Origin(target.ip, target.port)
        silent_ms = state.silent_ms(self._clock.now_ms())
        try:
            for _ in range(PROBE_ATTEMPTS):
                if await self._is_reachable(state, origin):
                    return
            self._counters.increment("target.unreachable")
            _LOG.warning(
                "target_unreachable",
                target=target.target_id,
                silent_ms=round(silent_ms),
                in_flight=len(state.in_flight_by_id),
            )
            state.mark_unreachable(self._clock.now_ms())
        finally:
            self._probed_keys.discard(target.key)

    async def _is_reachable(
        self, state: target_state.TargetState, origin: client.Origin
    ) -> bool:
        try:
            connection = await self._connections.open(origin, PROBE_TIMEOUT_MS)
        except client.ConnectFailedError:
            # the target is reachable if an answer arrived in the meantime
            return state.silent_ms(self._clock.now_ms()) < MAX_SILENCE_MS
        state.last_connect_ms = self._clock.now_ms()
        # kept open for the next request
        self._connections.add_unused(state.target.key, connection)
        return True


__all__ = ["LivenessMonitor"]
